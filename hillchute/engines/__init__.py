"""Connections to SQL engines: one package per protocol."""
