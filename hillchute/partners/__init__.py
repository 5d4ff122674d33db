"""Several operators over one pool of engines: agreements on shares, slot ownership, and forwarded queries."""
