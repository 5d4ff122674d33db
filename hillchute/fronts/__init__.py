"""Clients: one package a protocol, bytes to typed values and back; seats.py says who may stay connected."""
