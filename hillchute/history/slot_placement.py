"""Which routers hold what: a key falls in one of 1,024 slots, a slot has its holders among the members of a
view.

Owns the two mappings. Pure; must never know who lives: the members come in.
"""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

SLOTS = 1024


def slot_of(customer: str, key: str) -> int:
    data = f"{len(customer)}:{customer}{key}".encode()
    return int.from_bytes(blake2b(data, digest_size=4).digest()) % SLOTS


@lru_cache(maxsize=1 << 16)
def weight(slot: int, name: str) -> bytes:
    return blake2b(f"{slot} {name}".encode(), digest_size=8).digest()


def holders(slot: int, members: Iterable[str], many: int) -> tuple[str, ...]:
    """The first `many` by rendezvous: one that comes or goes changes a slot's holders by one at the most, and
    of few slots. The first of them orders what the others copy."""
    return tuple(sorted(members, key=lambda name: (weight(slot, name), name), reverse=True)[:many])
