"""Maps keys to slots, and slots to their holders among the members of a view, by rendezvous hashing."""

from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

SLOTS = 1024


def slot_of(customer: str, ordering_key: str) -> int:
    """Returns the slot of a customer's key."""
    data = f"{len(customer)}:{customer}{ordering_key}".encode()
    return int.from_bytes(blake2b(data, digest_size=4).digest()) % SLOTS


@lru_cache(maxsize=1 << 16)
def weight(slot: int, name: str) -> bytes:
    """Returns the rendezvous weight of a router for a slot; the routers with the highest weights hold it."""
    return blake2b(f"{slot} {name}".encode(), digest_size=8).digest()


def holders(slot: int, members: Iterable[str], count: int) -> tuple[str, ...]:
    """Returns the first `count` members by rendezvous weight, beginning with the first holder.

    A member that joins or leaves changes at most one holder of a slot, and only in few slots.
    """
    return tuple(sorted(members, key=lambda name: (weight(slot, name), name), reverse=True)[:count])
