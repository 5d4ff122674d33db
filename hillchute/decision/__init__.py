"""Every decision on a query, without I/O; scheduler.py is the facade, interface.py what it takes and gives."""
