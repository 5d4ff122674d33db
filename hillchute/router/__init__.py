"""The router on sockets: docs/architecture.md tells how its files fit together."""
