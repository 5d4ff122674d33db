"""Stand-in engines, simulations, fault injection and rule checkers. Nothing that serves imports it."""
