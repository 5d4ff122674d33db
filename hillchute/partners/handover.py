"""How a slot changes hands: its title, whose number only rises, and the one rule by which a title follows
another.

Owns titles and that rule. Pure: what is known comes in, the next title goes out. Must never decide who is to
own a slot (split.py), keep a title, or send anything. A title is kept like a record of the history, by the
slot's holders, and its first holder alone moves it; so at any instant there is one.

Planned: the old owner's routers take no more of the slot; each says when nothing of it is out that the
history does not list; then the number rises and the new owner leads. After a death there is nobody to say so:
the new owner waits until the lease of the last of the old owner's routers has ended and nothing that they
sent can still be out. What the history lists (queries with a token) need not end: their keys wait for them
there, whoever leads.

Times are whole tenths of a millisecond; all are durations by the clock of the one who judges.
"""

from collections.abc import Mapping

import msgspec

from hillchute.decision.interface import Time
from hillchute.history.records import STILL_OUT
from hillchute.history.views import DRIFT, LEASE

GONE_FOR: Time = int(LEASE * (1 + DRIFT)) + STILL_OUT  # after the last word of a router that may have led


class Title(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    number: int
    owner: str  # the partner that leads the slot's queries
    to: str = ""  # whom it is being handed to: then nobody leads what comes


class Router(msgspec.Struct, frozen=True):
    """One router of a title's owner, as the slot's first holder knows it."""

    lives: bool
    silent: Time  # since its last word
    done: int = 0  # the number of the title of which it said that nothing is out but what is listed


def may_lead(title: Title | None, partner: str, number: int) -> bool:
    """Whether a query of the slot may be led by a router that knows of this title number."""
    return title is not None and title.owner == partner and title.number == number and not title.to


def over(title: Title, routers: Mapping[str, Router]) -> bool:
    """Whether nothing of the old owner's can be out any more. `routers`: all that ever led under this
    title."""
    return all(
        router.done == title.number
        if router.lives
        else router.done == title.number or router.silent > GONE_FOR
        for router in routers.values()
    )


def step(title: Title | None, wanted: str, routers: Mapping[str, Router]) -> Title | None:
    """The next title; the same one while there is something to be waited for. `wanted`: who is to own the
    slot by the agreement in force, "" for nobody: then whoever owns it goes on to its end, and nobody
    follows."""
    if title is None:
        return Title(1, wanted) if wanted else None
    if wanted == title.owner:
        return Title(title.number, title.owner) if not title.to else back(title, routers)
    if not wanted:
        return title
    if title.to and over(title, routers):
        return Title(title.number + 1, wanted)
    return Title(title.number, title.owner, wanted)


def back(title: Title, routers: Mapping[str, Router]) -> Title:
    """The owner keeps what was on its way to another. Its routers may have said already that they are done
    with this number, and lead under a new one."""
    done = any(router.done == title.number for router in routers.values())
    return Title(title.number + done, title.owner)


def fenced(title: Title | None, number: int) -> bool:
    """Whether what comes under this number is of an owner that was: it stood still, and wakes up."""
    return title is None or number < title.number
