"""Sharing of one engine pool by several operators: share agreements, slot ownership and forwarded queries."""
