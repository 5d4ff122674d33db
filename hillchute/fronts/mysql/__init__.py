"""The MySQL front: packets.py is the protocol without I/O, door.py the sessions on sockets."""
