"""Decisions on queries. Performs no I/O. scheduler.py is the facade, interface.py has its types."""
