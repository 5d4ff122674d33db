"""Reads an operator file against the schema in this package, defaults filled in.

Owns the file's place on disk and what refers to other files. Must never hold a tuned value: those stand in
schema.cue with their bounds and their words.
"""

from functools import cache
from importlib.resources import files
from pathlib import Path

from hillchute.operator.records import Document, Holding, OperatorFileError, explain, parse

KEY_LEAST = 16  # bytes of a key between two routers: shorter ones can be tried out


@cache
def schema() -> Document:
    return parse(files(__package__).joinpath("schema.cue").read_text(), "schema.cue")


def read(path: str | Path) -> dict[str, object]:
    """What holds after defaults, as nested records; raises OperatorFileError with every fault, one a line."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as fault:
        raise OperatorFileError(f"{path}: {fault.strerror}") from fault
    except UnicodeDecodeError as fault:
        raise OperatorFileError(f"{path}: not UTF-8 text") from fault
    return hold(text, str(path))


def hold(text: str, name: str = "operator file") -> dict[str, object]:
    settings = Holding(schema(), parse(text, name)).whole()
    for n, user in enumerate((settings.get("flight") or {}).get("users", ())):
        here = f"flight.users[{n}]"
        if sum(key in user for key in ("password", "password_file", "token", "token_file")) != 1:
            raise OperatorFileError(
                f"{name}: {here}: expected one of password, password_file, token, token_file"
            )
    if settings.get("peers"):
        hold_peers(settings["peers"], name)
    if settings.get("history"):
        hold_history(settings, name)
    if settings.get("partners"):
        hold_partners(settings, name)
    return settings


def hold_peers(peers: dict[str, object], name: str) -> None:
    """Names are told apart, and each pair has a key that can't be tried out; keys come out of their files."""
    names = {peers["name"]}
    for n, other in enumerate(peers["others"]):
        here = f"{name}: peers.others[{n}]"
        if other["name"] in names:
            raise OperatorFileError(f"{here}.name: {other['name']} stands twice")
        names.add(other["name"])
        if ("key" in other) == ("key_file" in other):
            raise OperatorFileError(f"{here}: expected one of key, key_file")
        if "key_file" in other:
            try:
                other["key"] = Path(other["key_file"]).read_text(encoding="utf-8").strip()
            except (OSError, UnicodeDecodeError) as fault:
                raise OperatorFileError(f"{here}.key_file: {other['key_file']}: {fault}") from fault
        if len(other["key"].encode()) < KEY_LEAST:
            raise OperatorFileError(f"{here}: expected a key of {KEY_LEAST} characters or more")


def hold_history(settings: dict[str, object], name: str) -> None:
    """Its holders are the peers; customers are told apart; every policy can be honoured."""
    history = settings["history"]
    if not settings.get("peers"):
        raise OperatorFileError(f"{name}: history: expected `peers`, which hold it together")
    names = [customer["name"] for customer in history["customers"]]
    for n, customer in enumerate(names):
        if customer in names[:n]:
            raise OperatorFileError(f"{name}: history.customers[{n}].name: {customer} stands twice")
    policies = [("default", history["default"])]
    policies += [(f"customers[{n}].policy", one["policy"]) for n, one in enumerate(history["customers"])]
    for where, policy in policies:
        if policy["least_ms"] > policy["most_ms"]:
            raise OperatorFileError(f"{name}: history: {where}.least_ms: expected at most {where}.most_ms")


def hold_partners(settings: dict[str, object], name: str) -> None:
    """Each router is one partner's, this one is the own partner's; who marks has all that it needs for it."""
    partners, here = settings["partners"], f"{name}: partners"
    if not settings.get("history"):
        raise OperatorFileError(f"{here}: expected `history`, whose holders keep whose each slot is")
    whose: dict[str, str] = {}
    for n, member in enumerate(partners["members"]):
        if member["name"] in [other["name"] for other in partners["members"][:n]]:
            raise OperatorFileError(f"{here}.members[{n}].name: {member['name']} stands twice")
        for router in member["routers"]:
            if router in whose:
                raise OperatorFileError(f"{here}.members[{n}].routers: {router} is {whose[router]}'s")
            whose[router] = member["name"]
    peers = settings["peers"]
    for router in (peers["name"], *(other["name"] for other in peers["others"])):
        if router not in whose:
            raise OperatorFileError(f"{here}.members: expected router {router} of `peers` in one of them")
    if whose[peers["name"]] != partners["own"]:
        raise OperatorFileError(f"{here}.own: router {peers['name']} is {whose[peers['name']]}'s")
    marks = [key in partners for key in ("offer", "key_file", "marks_file")]
    if any(marks) != all(marks):
        raise OperatorFileError(
            f"{here}: expected offer, key_file and marks_file together, on the router that marks"
        )
    if any(marks):
        offer = partners["offer"]
        if not offer["least"] <= offer["want"] <= offer["most"]:
            raise OperatorFileError(f"{here}.offer: expected least <= want <= most")
        if offer["begins_ms"] >= offer["ends_ms"]:
            raise OperatorFileError(f"{here}.offer.ends_ms: expected more than begins_ms")
        from hillchute.partners.signature_journal import read_private_key

        try:
            read_private_key(partners["key_file"])  # it is read where it is used: what holds may be printed
        except (OSError, ValueError) as fault:
            raise OperatorFileError(f"{here}.key_file: {partners['key_file']}: {fault}") from fault


def defaults() -> dict[str, object]:
    """What holds where there is no operator file."""
    return hold("", "no file")


def fields() -> list[tuple[str, str, str]]:
    """Every field: its path, what it may be, its doc text."""
    return list(explain(schema()))
