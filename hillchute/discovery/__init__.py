"""The endpoint list of SQL engines and its watch: event_bus.py is the codec, watcher.py performs the I/O."""
