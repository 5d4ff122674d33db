"""What a statement is: request.py reads its fields and its table group."""
