// Settings that an operator may add to the platform's configuration. Optional sections are off unless set.

// The server for Arrow Flight SQL clients.
flight?: #Flight

// Connections to the sql engines.
engines: #Engines

// The log.
log: #Log

// The other routers of the fleet, with which this router shares its observations.
peers?: #Peers

// The answer history of keyed queries, stored by all routers together; needs `peers`.
history?: #History

// Other operators that share the pool of engines; needs `history`.
partners?: #Partners

#Flight: {
	// Address for Flight SQL clients, as host:port.
	listen: string & =~"^(\\[[0-9a-fA-F:]+\\]|[^:\\[\\]]+):[0-9]+$"
	// Users that may connect; if there are none, anyone who can reach the port may.
	users: [...#User]
	// Certificate and key of the server; without them connections are not encrypted.
	tls?: #Tls
	// Resource group of calls that name none.
	default_route: string | *""
	// Client timeout of calls that state no `patience`, in milliseconds.
	default_patience_ms: int & >=1 & <=86400000 | *5000
	// Maximum number of tickets that were issued and not used yet.
	tickets: int & >=1 & <=1000000 | *10000
	// Time after which a ticket expires, in milliseconds.
	ticket_ms: int & >=100 & <=3600000 | *60000
	// Maximum number of open prepared statements.
	prepared: int & >=1 & <=1000000 | *1000
	// Maximum size of one message, including statements, in bytes.
	message_bytes: int & >=65536 & <=268435456 | *65536
	// Maximum number of open streams to clients.
	streams: int & >=1 & <=100000 | *256
}

#User: {
	name: string & =~"^[^:\\s]+$"
	// Password for basic authentication, or the file that contains it.
	password?:      string
	password_file?: string
	// Token for bearer authentication, or the file that contains it.
	token?:      string
	token_file?: string
}

#Tls: {
	certificate: string
	key:         string
	// Certificate file of the authority that must have signed the clients' certificates; without it clients need none.
	client_authority?: string
	// Interval at which the files are checked for new keys, in milliseconds.
	reload_ms: int & >=100 | *1000
}

#Peers: {
	// Name of this router among the peers.
	name: string & =~"^[!-~]{1,64}$"
	// Address at which the other routers reach this one, by UDP and TCP, as host:port.
	listen: string & =~"^(\\[[0-9a-fA-F:]+\\]|[^:\\[\\]]+):[0-9]+$"
	// All other routers; all routers must be given the same names.
	others: [...#Peer]
}

#Peer: {
	name: string & =~"^[!-~]{1,64}$"
	address: string & =~"^(\\[[0-9a-fA-F:]+\\]|[^:\\[\\]]+):[0-9]+$"
	// Secret shared by these two routers only, at least 16 characters, or the file that contains it.
	key?: string
	key_file?: string
}

#History: {
	// Number of these policies; they replace policies with a lower number.
	number: int & >=1 & <=1000000000
	// Routers that store a record in addition to its first holder.
	copies: int & >=0 & <=8 | *2
	// Time within which data that must be erased is gone from every live holder, in milliseconds.
	erase_ms: int & >=100 & <=3600000 | *2000
	// Start of the history, in Unix milliseconds; slots without records until a minute later count as empty, not lost.
	founded_ms: int & >=0 & <=100000000000000 | *0
	// File that keeps records over a restart; without it they are in memory only.
	disk?: string
	// Policy of all customers without their own.
	default: #Keep
	// Customers with their own policy, by their user names at the Flight server.
	customers: [...#Customer]
	// Records to erase; keep an entry as long as copies of its records may come back.
	forget: [...#Forget]
}

#Keep: {
	// Minimum time for which a record is kept, in milliseconds.
	least_ms: int & >=1000 & <=31622400000 | *600000
	// Maximum time for which a record is kept and answers resent queries, in milliseconds.
	most_ms: int & >=1000 & <=31622400000 | *3600000
	// Maximum number of queries of one key.
	most: int & >=1 & <=1048576 | *256
	// Maximum bytes of one key, including rows.
	most_bytes: int & >=1 & <=1073741824 | *1048576
	// Maximum number of the customer's queries that one router holds.
	most_records: int & >=1 & <=16777216 | *100000
	// Whether result rows are kept with the outcome.
	rows: bool | *false
	// Whether a resent query is answered from the history.
	replay: bool | *true
	// Whether all records are kept without a time limit, and erasure requests are ignored.
	hold: bool | *false
	// Whether a record must be on disk before its query is first submitted to an engine.
	disk: bool | *false
	// What is done with a query whose record may have been lost with all its holders.
	lost: *"defer" | "run"
}

#Customer: {
	name: string & =~"^.{1,128}$"
	policy: #Keep
}

#Forget: {
	// Erases the records of queries that were granted before this time, in Unix milliseconds.
	before_ms: int & >=0 & <=100000000000000
	// Customer whose records are erased; "" if the settings name no customers.
	customer: string | *""
	// Key whose records are erased; without it, all keys of the customer.
	key?: string
}

#Partners: {
	// Name of the partner that operates this router.
	own: string & =~"^[!-~]{1,64}$"
	// All partners, the same at all routers; an agreement needs the signature of every partner.
	members: [...#Member]
	// Terms that the own partner would agree to; only on the one router that signs for it.
	offer?: #PartnerOffer
	// File with the own partner's Ed25519 private key, 64 hex digits; only on the router that signs.
	key_file?: string
	// File in which the router that signs records what it has signed; it must survive restarts.
	marks_file?: string
	// Whether the own partner gives notice to the agreement that is in force.
	leave: bool | *false
}

#Member: {
	name: string & =~"^[!-~]{1,64}$"
	// Ed25519 public key of the partner, 64 hex digits.
	key: string & =~"^[0-9a-f]{64}$"
	// Routers of the partner, by their names under `peers`.
	routers: [...string]
	// Engines of the partner: those in these zones and of these kinds, by their names in the settings; none means any.
	zones: [...string]
	kinds: [...string]
}

#PartnerOffer: {
	// Number of this offer; a later offer must have a higher one.
	turn: int & >=1 & <=1000000000
	// Cores that the partner contributes.
	capacity: int & >=0 & <=100000000
	// Desired share, and the lowest and highest share that the partner would agree to, in parts of 10,000.
	want: int & >=0 & <=10000
	least: int & >=0 & <=10000
	most: int & >=0 & <=10000
	// Start and end of the offered period, in Unix milliseconds.
	begins_ms: int & >=0 & <=100000000000000
	ends_ms: int & >=1 & <=100000000000000
	// Time for which a partner's engines may be missing before its share is reduced, in milliseconds.
	grace_ms: int & >=0 & <=31622400000 | *60000
	// Time between a partner's notice and its leaving, in milliseconds.
	notice_ms: int & >=0 & <=31622400000 | *3600000
}

#Engines: {
	// Protocol of all sql engines.
	protocol: *"line" | "flight"
	// Maximum size of one message of a Flight engine, in bytes.
	message_bytes: int & >=65536 & <=268435456 | *16777216
	// Certificate file of the authority that must have signed the engines' certificates; without it connections are
	// not encrypted.
	authority?: string
	// Token for authentication at the engines.
	token?: string
}

#Log: {
	// Maximum number of lines of one event per second; further lines are counted, not written.
	alike: int & >=1 | *20
}
