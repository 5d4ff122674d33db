"""Network addresses in the form host:port, as configuration files state them."""

import ipaddress
import re
from typing import NamedTuple

MAX_HOST_CHARACTERS = 253  # of a host name: RFC 1035
MAX_PORT = 65_535
HOST_LABEL = r"[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?"
HOST_NAME = re.compile(rf"{HOST_LABEL}(\.{HOST_LABEL})*\.?")
PORT = re.compile(r"[0-9]{1,5}")
MAX_SHOWN_CHARACTERS = 60  # of an invalid address in a message


class Address(NamedTuple):
    """A host, as a name or an IP address without brackets, and a port from 1 to MAX_PORT."""

    host: str
    port: int


class InvalidAddressError(ValueError):
    """A text is not an address of the form host:port."""


def parse_address(text: str) -> Address:
    """The address in a text; raises InvalidAddressError. Does not resolve the host."""
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT or not is_host(host):
        raise InvalidAddressError(f"not an address of the form host:port: {text[:MAX_SHOWN_CHARACTERS]!r}")
    return Address(host, int(port))


def is_host(text: str) -> bool:
    """Whether a text is an IP address or a host name, which may be internationalized."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        name = text if text.isascii() else _to_ascii(text)
        return len(name) <= MAX_HOST_CHARACTERS and HOST_NAME.fullmatch(name) is not None
    return True


def _to_ascii(name: str) -> str:
    """An internationalized host name as it is resolved; empty if it is invalid."""
    import idna  # rarely needed

    try:
        return idna.encode(name, uts46=True).decode("ascii")
    except UnicodeError:  # IDNAError is one
        return ""
