"""The answer history: records of keyed queries, kept by the routers together as each policy wants."""
