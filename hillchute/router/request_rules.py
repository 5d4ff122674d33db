"""What this router knows of its resource groups, and which requests it can take as queries."""

from hillchute.decision.interface import Time
from hillchute.settings import UNLIMITED, Effect, Settings
from hillchute.statements.request import Request

SHOWN = 40  # characters of a wrong value in a message

# Before a table group, where a key would stand: no key of a client begins so.
TABLE_GROUP_PREFIX = "\0tables "


class RequestRules:
    """The resource groups by name, and the bounds on requests.

    Bounds on a request's figures are more than any engine could do in the longest client timeout: what lies
    beyond them is no estimate, and must not enter the averages.
    """

    def __init__(self, settings: Settings) -> None:
        groups = settings.groups
        self.groups = {group.name: group.number for group in groups}
        self.idempotent = {group.number for group in groups if group.effect == Effect.IDEMPOTENT}
        self.non_idempotent = {group.number for group in groups if group.effect == Effect.NON_IDEMPOTENT}
        self.ordered = {group.number for group in groups if group.keeps_order}
        self.longest_timeout: Time = settings.longest_queue_timeout or UNLIMITED
        self.most_cores = settings.largest_engine_cores
        self.most_memory_mb = settings.largest_engine_memory_mb
        self.max_open = settings.max_open_queries

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


def history_key(request: Request) -> tuple[str, str, str]:
    """Customer, key and idempotency key under which the answer history lists a query.

    A query with an idempotency key and without an ordering key is a key of its own. One without an
    idempotency key is listed by its table group, whoever sent it, and its id tells it apart.
    """
    if request.token is None:
        return "", f"{TABLE_GROUP_PREFIX}{request.tables}", request.id
    return request.customer, request.key or request.token, request.token
