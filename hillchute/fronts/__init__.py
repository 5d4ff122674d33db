"""Frontends for clients: one package for each protocol; seats.py limits how many sessions are connected."""
