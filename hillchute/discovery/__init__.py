"""The list of engines: event_bus.py is the codec, watcher.py follows it on a socket."""
