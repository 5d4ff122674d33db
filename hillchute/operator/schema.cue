// What an operator may set beside the platform's configuration. Everything here is off unless it is set.

// Clients that speak Arrow Flight SQL.
flight?: #Flight

// How sql engines are reached.
engines: #Engines

// The log.
log: #Log

// The other routers of the fleet, with which this one shares what it sees.
peers?: #Peers

// The keyed queries' answer history, kept by the routers together; needs `peers`.
history?: #History

// Other operators with whom the pool of engines is shared; needs `history`.
partners?: #Partners

#Flight: {
	// Where Flight SQL clients connect.
	listen: string & =~"^(\\[[0-9a-fA-F:]+\\]|[^:\\[\\]]+):[0-9]+$"
	// Who may connect; with none, whoever can reach the port.
	users: [...#User]
	// Keys of the server; without them the connection is plain.
	tls?: #Tls
	// The resource group of a call that names none.
	default_route: string | *""
	// How long a client that states no patience waits, in milliseconds.
	default_patience_ms: int & >=1 & <=86400000 | *5000
	// Tickets that were handed out and not used yet.
	tickets: int & >=1 & <=1000000 | *10000
	// How long a ticket may be used, in milliseconds.
	ticket_ms: int & >=100 & <=3600000 | *60000
	// Prepared statements that are open.
	prepared: int & >=1 & <=1000000 | *1000
	// Bytes of one message, statements included.
	message_bytes: int & >=65536 & <=268435456 | *16777216
	// Streams to clients that are open at once.
	streams: int & >=1 & <=100000 | *256
}

#User: {
	name: string & =~"^[^:\\s]+$"
	// The password for basic authentication, or the file that holds it.
	password?:      string
	password_file?: string
	// The token for bearer authentication, or the file that holds it.
	token?:      string
	token_file?: string
}

#Tls: {
	certificate: string
	key:         string
	// With it, clients must show a certificate that this authority signed.
	client_authority?: string
	// How often the files are looked at for new keys, in milliseconds.
	reload_ms: int & >=100 | *1000
}

#Peers: {
	// This router's name among them.
	name: string & =~"^[!-~]{1,64}$"
	// Where the others reach it, by UDP and TCP.
	listen: string & =~"^(\\[[0-9a-fA-F:]+\\]|[^:\\[\\]]+):[0-9]+$"
	// All others; the same names at all routers.
	others: [...#Peer]
}

#Peer: {
	name: string & =~"^[!-~]{1,64}$"
	address: string & =~"^(\\[[0-9a-fA-F:]+\\]|[^:\\[\\]]+):[0-9]+$"
	// What only these two routers know, 16 characters or more, or the file that holds it.
	key?: string
	key_file?: string
}

#History: {
	// The number of these policies: they hold where it is higher than what held before.
	number: int & >=1 & <=1000000000
	// Routers that hold a record beside the first.
	copies: int & >=0 & <=8 | *2
	// Within this what is forbidden is gone from every living holder, in milliseconds.
	erase_ms: int & >=100 & <=3600000 | *2000
	// When the history began, in Unix milliseconds: what nobody holds until a minute after, nobody has had.
	founded_ms: int & >=0 & <=100000000000000 | *0
	// The file that keeps records over a restart; without it they are in memory alone.
	disk?: string
	// The policy of all customers that have none of their own.
	default: #Keep
	// Customers with a policy of their own: users of the Flight front by their names.
	customers: [...#Customer]
	// What is to be forgotten; leave it here as long as copies of it may come back.
	forget: [...#Forget]
}

#Keep: {
	// Nothing is forgotten before, in milliseconds.
	least_ms: int & >=1000 & <=31622400000 | *600000
	// Nothing is answered or kept beyond, in milliseconds.
	most_ms: int & >=1000 & <=31622400000 | *3600000
	// Queries of one key.
	most: int & >=1 & <=1048576 | *256
	// Bytes of one key, rows included.
	most_bytes: int & >=1 & <=1073741824 | *1048576
	// Queries of the customer that one router holds.
	most_records: int & >=1 & <=16777216 | *100000
	// Whether the rows are kept with the ending.
	rows: bool | *false
	// Whether a resend is answered from the history.
	replay: bool | *true
	// Whether nothing at all is forgotten.
	hold: bool | *false
	// Whether a record is on the disk, too, before its first submission leaves.
	disk: bool | *false
	// What a query gets whose record may be lost with all its holders.
	lost: *"defer" | "run"
}

#Customer: {
	name: string & =~"^.{1,128}$"
	policy: #Keep
}

#Forget: {
	// All that was taken before, in Unix milliseconds.
	before_ms: int & >=0 & <=100000000000000
	// Of this customer; "" where the settings name none.
	customer: string | *""
	// Of this key alone.
	key?: string
}

#Partners: {
	// Which of them runs this router.
	own: string & =~"^[!-~]{1,64}$"
	// All of them, the same at all routers; a text holds with the mark of every one.
	members: [...#Member]
	// What the own partner would agree to; on the one router that marks for it.
	offer?: #PartnerOffer
	// The file that holds the own partner's Ed25519 key, 64 hex digits; on that router alone.
	key_file?: string
	// The file in which that router keeps what it has marked, over restarts.
	marks_file?: string
	// Whether the own partner gives notice to the text that holds.
	leave: bool | *false
}

#Member: {
	name: string & =~"^[!-~]{1,64}$"
	// Its Ed25519 public key, 64 hex digits.
	key: string & =~"^[0-9a-f]{64}$"
	// Its routers, by their names under `peers`.
	routers: [...string]
	// Its engines: those of these zones and these kinds, by their names in the settings; none: of any.
	zones: [...string]
	kinds: [...string]
}

#PartnerOffer: {
	// Which offer this is; a later one has a higher turn.
	turn: int & >=1 & <=1000000000
	// Cores that it brings.
	capacity: int & >=0 & <=100000000
	// The share that it wants, and the bounds of what it would agree to, in parts of 10,000.
	want: int & >=0 & <=10000
	least: int & >=0 & <=10000
	most: int & >=0 & <=10000
	// From when until when, in Unix milliseconds.
	begins_ms: int & >=0 & <=100000000000000
	ends_ms: int & >=1 & <=100000000000000
	// How long a partner's engines may be gone before it counts with those that are there, in milliseconds.
	grace_ms: int & >=0 & <=31622400000 | *60000
	// How long before it leaves a partner must say so, in milliseconds.
	notice_ms: int & >=0 & <=31622400000 | *3600000
}

#Engines: {
	// The protocol that all sql engines speak.
	protocol: *"line" | "flight"
	// Bytes of one message of a Flight engine.
	message_bytes: int & >=65536 & <=268435456 | *16777216
	// With it, the engines' certificates are held against this authority; without, connections are plain.
	authority?: string
	// The token that is shown to the engines.
	token?: string
}

#Log: {
	// Lines of one event in a second; more are counted, not written.
	alike: int & >=1 | *20
}
