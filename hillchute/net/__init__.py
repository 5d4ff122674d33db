"""Sockets and clocks below every protocol.

system_calls.py makes the system calls, poller.py finds the sockets that are ready, buffered_socket.py reads
and writes one socket, clock.py is the clock that never goes back.
"""
