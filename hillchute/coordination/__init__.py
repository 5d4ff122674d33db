"""Coordination of routers that decide independently: subsets, jitter, load signals, quota leases."""
