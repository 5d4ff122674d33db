"""The platform's line protocol: wire.py is the codec without I/O, links.py the connections on sockets."""
