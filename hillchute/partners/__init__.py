"""Several operators over one pool of engines: which of them owns which slots, by shares that they agreed
on.
"""
