"""What routers say to each other beside who lives: typed values to bytes and back, each field bounded.

Owns the layout and the bounds. Must never do I/O, look at a clock, or believe anything: the mark says who
spoke, this says that it can be read, and signals.py and quotas.py say what is made of it.
"""

from collections.abc import Iterable

import msgspec

from hillchute.accord.quotas import SPAN, Ask, Grant, Want, Word
from hillchute.accord.signals import FIGURES, Drain, Ill, Load, News, Spent, Turned
from hillchute.errors import InvalidDatagramError

MOST = {"loads": 64, "ills": 32, "drains": 32, "spent": 16, "turned": 16, "wants": 8, "asks": 8, "grants": 8}
NAME = 64  # characters of a limit's name
WHOLE = 1 << 62
AGE = 1 << 30  # tenths of a millisecond: over a day


class Parcel(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """One load of a datagram. `edition` tells whether both were named the same routers."""

    edition: int = 0
    loads: tuple[Load, ...] = ()
    ills: tuple[Ill, ...] = ()
    drains: tuple[Drain, ...] = ()
    spent: tuple[Spent, ...] = ()
    turned: tuple[Turned, ...] = ()
    wants: dict[str, Want] = {}
    asks: dict[str, Ask] = {}
    grants: dict[str, Grant] = {}

    @property
    def news(self) -> News:
        return News(self.loads, self.ills, self.drains, self.spent, self.turned)


encoder, decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Parcel)


def parcel(edition: int, news: News, wants: dict[str, Want], words: Iterable[Word]) -> Parcel:
    """All that goes to one router: of each limit one ask and one grant at the most, the last."""
    asks = {word.limit: word.what for word in words if isinstance(word.what, Ask)}
    grants = {word.limit: word.what for word in words if isinstance(word.what, Grant)}
    return Parcel(edition, *news, wants, asks, grants)


def encode(parcel: Parcel) -> bytes:
    """The bytes; raises ValueError for what no receiver would take."""
    if fault := unfit(parcel):
        raise ValueError(fault)
    return encoder.encode(parcel)


def decode(data: bytes, sender: str) -> Parcel:
    """The parcel; raises InvalidDatagramError with the field that is out of its bounds."""
    if not data:
        return Parcel()
    try:
        found = decoder.decode(data)
    except msgspec.DecodeError as fault:
        raise InvalidDatagramError(f"load: {fault}", sender) from fault
    if fault := unfit(found):
        raise InvalidDatagramError(f"load: {fault}", sender)
    return found


def unfit(parcel: Parcel) -> str:
    """The first field out of its bounds. Guards against a peer that may mark what it likes."""
    for name, most in MOST.items():
        if len(getattr(parcel, name)) > most:
            return name
    if any(not 0 < len(name) <= NAME for said in (parcel.wants, parcel.asks, parcel.grants) for name in said):
        return "limit"
    if not 0 <= parcel.edition < 1 << 32:
        return "edition"
    for load in parcel.loads:
        if not (0 <= load.engine < 1 << 32 and 0 <= load.age < AGE and len(load.figures) <= FIGURES):
            return "loads"
        if any(not -1 <= figure < 1 << 31 for figure in load.figures):
            return "loads"
    if any(not (0 <= ill.engine < 1 << 32 and 0 <= ill.age < AGE) for ill in parcel.ills):
        return "ills"
    rows = (
        ("drains", parcel.drains),
        ("spent", parcel.spent),
        ("turned", parcel.turned),
        ("wants", parcel.wants.values()),
        ("asks", parcel.asks.values()),
        ("grants", parcel.grants.values()),
    )
    for name, row in rows:
        if any(not 0 <= figure < WHOLE for said in row for figure in said):
            return name
    if any(grant.span > SPAN for grant in parcel.grants.values()):
        return "span"
    if any(turned.away > turned.taken for turned in parcel.turned):
        return "turned"
    return ""
