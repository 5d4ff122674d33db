"""SQL engines that speak Arrow Flight SQL: links.py holds the gRPC channels and the calls on them."""
