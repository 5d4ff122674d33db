"""Optional extensions of a router: peers, the answer history and partners. Imported only when enabled."""
