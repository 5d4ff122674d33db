"""The bench's wire: codec.py reads and writes lines, host.py runs one decision module for each instance."""
