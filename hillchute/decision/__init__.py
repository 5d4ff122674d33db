"""Every decision on a query, without I/O; scheduler.py is the facade, interface.py the types around it."""
