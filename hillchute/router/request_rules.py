"""What this router knows of its resource groups, and which requests it can take as queries."""

import sys
from collections.abc import Mapping
from typing import Any

from hillchute.decision.interface import Time
from hillchute.statements.request import Request

UNLIMITED = 10**9  # where the settings state no limit
SHOWN = 40  # characters of a wrong value in a message

# Before a table group, where a key would stand: no key of a client begins so.
TABLE_GROUP_PREFIX = "\0tables "


class RequestRules:
    """The resource groups by name, and the bounds on requests.

    Bounds on a request's figures are more than any engine could do in the longest client timeout: what lies
    beyond them is no estimate, and must not enter the averages.
    """

    def __init__(self, catalog: Mapping[str, Any]) -> None:
        self.groups = {
            str(catalog.get(f"groups.{number}.name")): number
            for number in range(catalog.get("groups.count", 0))
        }
        numbers = self.groups.values()
        effects = {number: catalog.get(f"groups.{number}.effect", "mutating") for number in numbers}
        self.idempotent = {number for number, effect in effects.items() if effect == "tokened"}
        self.non_idempotent = {number for number, effect in effects.items() if effect == "mutating"}
        self.ordered = {number for number in numbers if catalog.get(f"groups.{number}.keep_order")}
        timeouts = [catalog.get(f"groups.{number}.queue_timeout", 0) for number in numbers]
        self.longest_timeout: Time = max(timeouts, default=0) or UNLIMITED
        self.most_cores: float = largest(catalog.get("domain.kind_cores", 1))
        self.most_memory_mb: float = largest(catalog.get("domain.ram_of_kind_mb") or UNLIMITED)
        self.max_open: int = catalog.get("limits.open_cap") or sys.maxsize

    def group_of(self, request: Request) -> int:
        """The number of a request's resource group."""
        return self.groups[request.group]

    def fault(self, request: Request) -> str | None:
        """What is wrong with a request, named by the field as clients write it; None if nothing is."""
        group = self.group_of(request)
        if group in self.idempotent and request.token is None:
            return "field nonce is absent"
        if group in self.ordered and request.key is None:
            return "field entity is absent"
        if request.patience > self.longest_timeout:
            return "field patience is out of range"
        if (request.cost or 0) > self.longest_timeout * self.most_cores:
            return "field weight is out of range"
        if request.memory > self.most_memory_mb:
            return "field mb is out of range"
        return None


def largest(value: Any) -> float:
    """The largest of a list, or the one value that stands for all."""
    return float(max(value)) if isinstance(value, list) else float(value)


def history_key(request: Request) -> tuple[str, str, str]:
    """Customer, key and idempotency key under which the answer history lists a query.

    A query with an idempotency key and without an ordering key is a key of its own. One without an
    idempotency key is listed by its table group, whoever sent it, and its id tells it apart.
    """
    if request.token is None:
        return "", f"{TABLE_GROUP_PREFIX}{request.tables}", request.id
    return request.customer, request.key or request.token, request.token
