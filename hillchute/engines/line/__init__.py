"""The platform's line protocol: wire.py is the codec and does no I/O, links.py holds the connections."""
