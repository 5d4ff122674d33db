"""Choices of many routers that add up, worked out by each alone; pure, and no rule hangs on them."""
