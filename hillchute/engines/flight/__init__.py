"""Sql engines that speak Arrow Flight SQL: links.py holds the channels and the calls on them."""
