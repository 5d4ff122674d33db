"""The resource groups of this router, and the checks on requests."""

from hillchute.decision.interface import Time
from hillchute.settings import UNLIMITED, Effect, Settings
from hillchute.statements.request import Request

MAX_SHOWN_CHARACTERS = 40  # of an invalid value in a message

# Prefix of a table group in place of a key; client keys never begin with it.
TABLE_GROUP_PREFIX = "\0tables "


class RequestRules:
    """The resource groups by name, and the limits on requests.

    A cost or memory figure beyond what any engine could provide within the longest client timeout is not a
    usable estimate and must not enter the averages.
    """

    def __init__(self, settings: Settings) -> None:
        groups = settings.groups
        self.groups = {group.name: group.number for group in groups}
        self.idempotent = {group.number for group in groups if group.effect == Effect.IDEMPOTENT}
        self.non_idempotent = {group.number for group in groups if group.effect == Effect.NON_IDEMPOTENT}
        self.ordered = {group.number for group in groups if group.keeps_order}
        self.max_timeout: Time = settings.longest_queue_timeout or UNLIMITED
        self.max_cores = settings.largest_engine_cores
        self.max_memory_mb = settings.largest_engine_memory_mb
        self.max_open_queries = settings.max_open_queries

    def group_of(self, request: Request) -> int:
        """Returns the number of a request's resource group."""
        return self.groups[request.group]

    def invalid_reason(self, request: Request) -> str | None:
        """Returns why a request is invalid, naming the field as clients write it, or None if it is valid."""
        group = self.group_of(request)
        if group in self.idempotent and request.idempotency_key is None:
            return "field nonce is absent"
        if group in self.ordered and request.ordering_key is None:
            return "field entity is absent"
        if request.client_timeout > self.max_timeout:
            return "field patience is out of range"
        if (request.cost or 0) > self.max_timeout * self.max_cores:
            return "field weight is out of range"
        if request.memory_mb > self.max_memory_mb:
            return "field mb is out of range"
        return None


def history_key(request: Request) -> tuple[str, str, str]:
    """Returns the customer, key and idempotency key under which the answer history lists a query.

    Without an ordering key, the idempotency key serves as the key. A query without an idempotency key is
    listed under its table group for all customers, distinguished by its id.
    """
    if request.idempotency_key is None:
        return "", f"{TABLE_GROUP_PREFIX}{request.table_group}", request.id
    return request.customer, request.ordering_key or request.idempotency_key, request.idempotency_key
