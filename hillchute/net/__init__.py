"""Sockets and clocks, independent of any protocol.

system_calls.py makes the system calls, poller.py reports the sockets that are ready, buffered_socket.py reads
and writes one socket, clock.py is the router's clock, which never goes back.
"""
