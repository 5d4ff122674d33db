"""The simulator adapter: codec.py reads and writes lines, host.py runs one scheduler for each router."""
