"""The list of engines: event_bus.py is the codec, follower.py follows it on a socket."""
