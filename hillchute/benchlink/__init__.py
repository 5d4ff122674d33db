"""The simulator adapter: runs one query scheduler per simulated router on the simulator's messages."""
