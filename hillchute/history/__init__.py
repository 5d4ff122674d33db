"""The answer history: records of keyed queries, replicated among the routers as the policies require."""
