"""Runs the schedulers of a simulated deployment: reads batches of messages and writes lines of decisions.

All decisions are made by the schedulers; this module only passes messages to them.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TextIO, TypeAlias

from hillchute.benchlink.codec import (
    Fields,
    MalformedInputError,
    attempt_result,
    encode,
    health_check_result,
)
from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import (
    MILLISECOND,
    AttemptEnded,
    EndpointEntry,
    ListMode,
    NewQuery,
    Scheduler,
    Time,
)
from hillchute.decision.scheduler import QueryScheduler
from hillchute.net.clock import round_up_to_time_units
from hillchute.settings import Settings

NumberedLines: TypeAlias = Iterator[tuple[int, str]]

CORE_TIME_UNITS_PER_MILLISECOND = 4_096  # unit of `used_up`, the core time that a query has used


@dataclass(frozen=True, slots=True)
class SimulatedRouter:
    """One router of the simulated deployment."""

    scheduler: Scheduler
    subset: Subset


class Host:
    """Runs one scheduler for each router that the simulator has started.

    Raises MalformedInputError for input that does not follow the simulator's protocol.
    """

    def __init__(self, output: TextIO) -> None:
        self.output = output
        self.now: Time = 0
        self._routers: dict[int, SimulatedRouter] = {}
        self._current: int | None = None  # number of the router that messages are addressed to
        self._censuses: dict[int, list[EndpointEntry]] = {}  # by buffer number
        self._handlers: dict[str, Callable[[Fields], None]] = {
            "UP": self._on_up,
            "EXIT": self._on_exit,
            "MEMBERSHIP": self._on_membership,
            "ASK": self._on_ask,
            "COMPLETED": self._on_completed,
            "CHECK_RESULT": self._on_check_result,
            "CHANGE": self._on_change,
            "STARTED": self._on_started,
            "EXPIRED": self._on_expired,
            "TIMEOUT_FIRED": self._on_timeout_fired,
            "MEMO": self._on_memo,
        }

    def serve(self, lines: Iterable[str]) -> None:
        """Reads batches and answers each, until the input ends."""
        numbered = iter(enumerate(lines, 1))
        for line_number, line in numbered:
            head = Fields(line, line_number)
            if head.message != "SYNC":
                raise head.error("a batch begins with SYNC")
            self.now = head.instant("clock")
            batch = head.required_integer("number")
            touched = self._read_batch(numbered)
            self.output.write(self._reply(touched, batch))
            self.output.flush()

    def _read_batch(self, numbered: NumberedLines) -> Iterable[int]:
        """Handles the messages of one batch; returns the routers they address, in order of first message."""
        self._current = None
        touched: dict[int, None] = {}
        for line_number, line in numbered:
            fields = Fields(line, line_number)
            if fields.message == "YOUR_TURN":
                return touched
            if fields.message == "SWITCH_TO":
                self._current = fields.required_integer("who")
            elif fields.message == "CENSUS":
                self._read_census(fields, numbered)
            elif handler := self._handlers.get(fields.message):
                handler(fields)
                if self._current is not None:
                    touched[self._current] = None
            else:
                raise fields.error("no such message")
        raise MalformedInputError("input ended inside a batch")

    def _reply(self, touched: Iterable[int], batch: int) -> str:
        """The lines with the decisions of these routers, and the line that ends the batch."""
        lines = []
        for number in touched:
            router = self._routers.get(number)
            decisions = [] if router is None else self._decide(router.scheduler)
            if decisions:
                lines.append(f"ON_BEHALF {number}")
                lines.extend(decisions)
        lines.append(f"FINISHED {batch}\n")
        return "\n".join(lines)

    def _decide(self, scheduler: Scheduler) -> list[str]:
        """The lines of all decisions that a scheduler has due."""
        lines = []
        try:
            while (decision := scheduler.next_decision(self.now)) is not None:
                lines.append(encode(decision))
        except Exception as error:  # noqa: BLE001  # reported to the simulator; the process must continue
            lines.append(f"BUG {type(error).__name__}: {error}".replace("\n", " "))
        return lines

    def _router(self, fields: Fields) -> SimulatedRouter:
        """The router that the message is addressed to."""
        router = None if self._current is None else self._routers.get(self._current)
        if router is None:
            raise fields.error(f"instance {self._current} has not started")
        return router

    def _scheduler(self, fields: Fields) -> Scheduler:
        return self._router(fields).scheduler

    # ---- messages ---------------------------------------------------------------------------------

    def _on_up(self, fields: Fields) -> None:
        if self._current is None:
            raise fields.error("no SWITCH_TO before it")
        seed = fields.required_integer("init_seed")
        settings = Settings.from_catalog(fields.catalog())
        self._routers[self._current] = SimulatedRouter(
            scheduler=QueryScheduler(seed, settings, self.now),
            subset=Subset(settings.router, settings.routers),
        )

    def _on_exit(self, _fields: Fields) -> None:
        if self._current is not None:
            self._routers.pop(self._current, None)

    def _read_census(self, fields: Fields, numbered: NumberedLines) -> None:
        """Reads a list of engines, one per line, to which a later MEMBERSHIP refers by buffer number."""
        buffer = fields.required_integer("buffer")
        entries = []
        for _ in range(fields.required_integer("records")):
            line_number, line = next(numbered, (fields.line_number, ""))
            entries.append(Fields(line, line_number).endpoint_entry())
        self._censuses[buffer] = entries

    def _on_membership(self, fields: Fields) -> None:
        mode = fields.one_of(ListMode, "mode")
        fields.optional_integer("index")
        buffer = fields.optional_integer("buffer")
        if mode == ListMode.ERROR:
            entries = []
        elif buffer is not None and buffer in self._censuses:
            entries = self._censuses[buffer]
        else:
            raise fields.error(f"no CENSUS {buffer} before it")
        router = self._router(fields)
        router.scheduler.on_endpoint_list(self.now, mode, entries)
        ready = [engine for engine, state in router.scheduler.engines.items() if state.ready]
        router.scheduler.on_subset(self.now, router.subset.select(ready))

    def _on_ask(self, fields: Fields) -> None:
        query = fields.required_text("call")
        tenant = fields.integer("owner", 0)
        cost_ns = fields.optional_integer("plan_cost_ns")
        memory_mb = fields.real("mem_mb", 0.0)
        fields.text("is_write")
        fields.text("repeat")
        group = fields.required_integer("profile")
        deadline = fields.deadline("drop_dead_ns")
        ordering_key = fields.text("table")
        table_group = fields.optional_integer("table_group")
        arrival = NewQuery(
            id=query,
            group=group,
            deadline=deadline,
            table_group=table_group,
            tenant=tenant,
            cost=round_up_to_time_units(cost_ns) if cost_ns else None,
            memory_mb=memory_mb,
            ordering_key=ordering_key,
        )
        self._scheduler(fields).on_query(self.now, arrival)

    def _on_completed(self, fields: Fields) -> None:
        query = fields.required_text("call")
        final = fields.integer("final", 0) == 1
        result = attempt_result(fields.required_text("result"))
        used = fields.integer("used_up", 0)
        fields.text("engine")
        elapsed = fields.duration("spent_ns")
        attempt = fields.integer("leg", 0)
        report = fields.load_report("feedback")
        ended = AttemptEnded(
            query=query,
            attempt=attempt,
            result=result,
            final=final,
            elapsed=elapsed,
            cost=used // CORE_TIME_UNITS_PER_MILLISECOND * MILLISECOND if used else None,
            report=report,
        )
        self._scheduler(fields).on_attempt_ended(self.now, ended)

    def _on_check_result(self, fields: Fields) -> None:
        result = health_check_result(fields.required_text("result"))
        fields.text("spent_ns")
        engine = fields.required_integer("engine")
        report = fields.load_report("feedback")
        self._scheduler(fields).on_health_check(self.now, engine, result, report)

    def _on_change(self, fields: Fields) -> None:
        query = fields.required_text("call")
        value = fields.real("x", 0.0)
        fields.text("engine")
        topic = fields.integer("topic", 0)
        attempt = fields.integer("leg", 0)
        self._scheduler(fields).on_progress(self.now, query, attempt, topic, value)

    def _on_started(self, fields: Fields) -> None:
        scheduler = self._scheduler(fields)
        scheduler.on_stream_started(self.now, fields.required_text("call"))

    def _on_expired(self, fields: Fields) -> None:
        scheduler = self._scheduler(fields)
        scheduler.on_client_left(self.now, fields.required_text("call"))

    def _on_timeout_fired(self, fields: Fields) -> None:
        scheduler = self._scheduler(fields)
        scheduler.on_timer(self.now, fields.text("nonce") or "")

    def _on_memo(self, fields: Fields) -> None:
        """Ignores a message from another router, since simulated routers exchange none."""
        self._router(fields)
