"""The router process. docs/architecture.md describes how its modules work together."""
