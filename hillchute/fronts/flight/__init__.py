"""The Flight SQL frontend: server.py serves calls on gRPC; the other modules do no I/O during calls.

Imported only if the operator file enables it.
"""
