"""Reads an operator file, validates it against schema.cue, and fills in defaults.

Also checks conditions between fields, and the files that the operator file refers to. Settings, their bounds,
defaults and descriptions are defined in schema.cue only.
"""

from functools import cache
from importlib.resources import files
from pathlib import Path

from hillchute.net.address import InvalidAddressError, parse_address
from hillchute.operator.records import Document, OperatorFileError, Validator, describe_fields, parse

MIN_PEER_KEY_BYTES = 16  # shorter keys are open to brute force


@cache
def schema() -> Document:
    return parse(files(__package__).joinpath("schema.cue").read_text(), "schema.cue")


def read(path: str | Path) -> dict[str, object]:
    """Return the settings of a file, with defaults. Raises OperatorFileError with each error on a line."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise OperatorFileError(f"{path}: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise OperatorFileError(f"{path}: not UTF-8 text") from error
    except ValueError as error:
        raise OperatorFileError(f"{path}: not the name of a file: {error}") from error
    return parse_settings(text, str(path))


def parse_settings(text: str, name: str = "operator file") -> dict[str, object]:
    """Return the settings in a text, as `read` does; errors name the text by `name`."""
    try:
        settings = Validator(schema(), parse(text, name)).validate()
    except RecursionError as error:
        raise OperatorFileError(f"{name}: nested too deeply") from error
    if settings.get("flight"):
        validate_flight(settings["flight"], name)
    if settings.get("peers"):
        validate_peers(settings["peers"], name)
    if settings.get("history"):
        validate_history(settings, name)
    if settings.get("partners"):
        validate_partners(settings, name)
    return settings


def validate_address(text: str, path: str) -> None:
    """Check an address; `path` is the file and the field."""
    try:
        parse_address(text)
    except InvalidAddressError as error:
        raise OperatorFileError(f"{path}: {error}") from error


def read_text_file(file: str, path: str) -> str:
    """Return the text of a file that a field refers to; `path` is the operator file and the field."""
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except (OSError, ValueError) as error:
        raise OperatorFileError(f"{path}: {file}: {error}") from error


def validate_flight(flight: dict[str, object], name: str) -> None:
    """Check the address, and that each user has one secret, whose file is readable."""
    validate_address(flight["listen"], f"{name}: flight.listen")
    for index, user in enumerate(flight["users"]):
        path = f"{name}: flight.users[{index}]"
        if sum(key in user for key in ("password", "password_file", "token", "token_file")) != 1:
            raise OperatorFileError(f"{path}: expected one of password, password_file, token, token_file")
        for key in user.keys() & {"password_file", "token_file"}:
            read_text_file(user[key], f"{path}.{key}")


def validate_peers(peers: dict[str, object], name: str) -> None:
    """Check that names are unique, read keys from their files, and check that they are long enough."""
    validate_address(peers["listen"], f"{name}: peers.listen")
    names = {peers["name"]}
    for index, other in enumerate(peers["others"]):
        path = f"{name}: peers.others[{index}]"
        if other["name"] in names:
            raise OperatorFileError(f"{path}.name: {other['name']} is listed twice")
        names.add(other["name"])
        validate_address(other["address"], f"{path}.address")
        if ("key" in other) == ("key_file" in other):
            raise OperatorFileError(f"{path}: expected one of key, key_file")
        if "key_file" in other:
            other["key"] = read_text_file(other["key_file"], f"{path}.key_file")
        if len(other["key"].encode()) < MIN_PEER_KEY_BYTES:
            raise OperatorFileError(f"{path}: expected a key of {MIN_PEER_KEY_BYTES} characters or more")


def validate_history(settings: dict[str, object], name: str) -> None:
    """Check that there are peers, that customers are unique, and that least_ms <= most_ms in each policy."""
    history = settings["history"]
    if not settings.get("peers"):
        raise OperatorFileError(f"{name}: history: expected `peers`, which store it")
    names = [customer["name"] for customer in history["customers"]]
    for index, customer in enumerate(names):
        if customer in names[:index]:
            raise OperatorFileError(f"{name}: history.customers[{index}].name: {customer} is listed twice")
    policies = [("default", history["default"])]
    policies += [
        (f"customers[{index}].policy", each["policy"]) for index, each in enumerate(history["customers"])
    ]
    for path, policy in policies:
        if policy["least_ms"] > policy["most_ms"]:
            raise OperatorFileError(f"{name}: history: {path}.least_ms: expected at most {path}.most_ms")


def validate_partners(settings: dict[str, object], name: str) -> None:
    """Check that each router belongs to one partner, and this router to the own partner.

    Also checks the settings of the router that signs for the own partner, and that its key file is readable.
    """
    partners, path = settings["partners"], f"{name}: partners"
    if not settings.get("history"):
        raise OperatorFileError(f"{path}: expected `history`, whose routers store the owner of each slot")
    partner_of: dict[str, str] = {}
    for index, member in enumerate(partners["members"]):
        if member["name"] in [other["name"] for other in partners["members"][:index]]:
            raise OperatorFileError(f"{path}.members[{index}].name: {member['name']} is listed twice")
        for router in member["routers"]:
            if router in partner_of:
                raise OperatorFileError(
                    f"{path}.members[{index}].routers: {router} is {partner_of[router]}'s already"
                )
            partner_of[router] = member["name"]
    peers = settings["peers"]
    for router in (peers["name"], *(other["name"] for other in peers["others"])):
        if router not in partner_of:
            raise OperatorFileError(f"{path}.members: expected router {router} of `peers` in one of them")
    if partner_of[peers["name"]] != partners["own"]:
        raise OperatorFileError(
            f"{path}.own: router {peers['name']} is {partner_of[peers['name']]}'s, not {partners['own']}'s"
        )
    signing = [key in partners for key in ("offer", "key_file", "marks_file")]
    if any(signing) != all(signing):
        raise OperatorFileError(
            f"{path}: expected offer, key_file and marks_file together, on the router that signs"
        )
    if any(signing):
        offer = partners["offer"]
        if not offer["least"] <= offer["want"] <= offer["most"]:
            raise OperatorFileError(f"{path}.offer: expected least <= want <= most")
        if offer["begins_ms"] >= offer["ends_ms"]:
            raise OperatorFileError(f"{path}.offer.ends_ms: expected more than begins_ms")
        from hillchute.partners.signature_journal import read_private_key

        try:
            # Only checked here and read again by its user: the settings may be printed.
            read_private_key(partners["key_file"])
        except (OSError, ValueError) as error:
            raise OperatorFileError(f"{path}.key_file: {partners['key_file']}: {error}") from error


def defaults() -> dict[str, object]:
    """Return the settings that apply without an operator file."""
    return parse_settings("", "no file")


def fields() -> list[tuple[str, str, str]]:
    """Return path, type with default, and description of every field."""
    return list(describe_fields(schema()))
