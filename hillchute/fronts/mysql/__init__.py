"""The MySQL frontend: packets.py implements the protocol without I/O, door.py the sessions on sockets."""
