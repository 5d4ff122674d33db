"""The operator file: its language (records.py), its schema (schema.cue) and its validation (reading.py).

Imported only if an operator file is named.
"""
