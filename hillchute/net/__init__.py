"""Sockets and time below every protocol: system.py has the system calls, poller.py tells which sockets are
ready, pipe.py reads and writes one, clock.py tells the time."""
