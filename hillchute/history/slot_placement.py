"""Which routers hold what: a key falls in one of 1,024 slots, and a slot has its holders among the members of
a view.

Owns the two mappings. Pure; it does not know who lives: the members come in.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

SLOTS = 1024


def slot_of(customer: str, ordering_key: str) -> int:
    """The slot of a customer's key."""
    data = f"{len(customer)}:{customer}{ordering_key}".encode()
    return int.from_bytes(blake2b(data, digest_size=4).digest()) % SLOTS


@lru_cache(maxsize=1 << 16)
def weight(slot: int, name: str) -> bytes:
    """The rendezvous weight of a router for a slot: the highest holds it."""
    return blake2b(f"{slot} {name}".encode(), digest_size=8).digest()


def holders(slot: int, members: Iterable[str], count: int) -> tuple[str, ...]:
    """The first `count` members by rendezvous hashing: a member that comes or goes changes one of a slot's
    holders at the most, and of few slots. The first holder orders what the others copy."""
    return tuple(sorted(members, key=lambda name: (weight(slot, name), name), reverse=True)[:count])
