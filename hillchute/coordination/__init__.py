"""Decisions that many routers make alone and that add up: subsets, jitter, load signals, quota leases."""
