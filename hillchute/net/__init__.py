"""Sockets below every protocol: poller.py tells which are ready, pipe.py reads and writes one."""
