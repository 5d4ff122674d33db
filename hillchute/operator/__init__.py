"""The operator file: records.py reads its grammar, schema.cue says what may stand in it, reading.py puts both
together. Imported only where a file is named."""
