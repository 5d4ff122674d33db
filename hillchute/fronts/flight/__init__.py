"""The Flight SQL front: codec.py, tickets.py and identity.py do no I/O; server.py serves on grpc. Imported
only where the operator file asks for it."""
