"""Sql engines: one package a protocol."""
