"""The answer history: the keyed queries taken, in their order, and how they ended, as each customer wants."""
