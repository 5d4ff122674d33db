"""Parsing of client statements: the fields in the leading comment and the table group."""
