"""Optional parts of a router: peers, the answer history and partners. Imported only where they are on."""
