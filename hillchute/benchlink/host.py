"""Runs one decision module for each instance the bench names: decodes into calls, encodes from results."""

from collections.abc import Iterable
from typing import TextIO

from hillchute.benchlink.codec import Fields, Malformed, attempt_result, encode, health_check_result
from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import AttemptEnded, ListMode, NewQuery, Scheduler
from hillchute.decision.scheduler import QueryScheduler
from hillchute.net.clock import round_down_to_time_units, round_up_to_time_units
from hillchute.settings import Settings


class Host:
    def __init__(self, answers: TextIO) -> None:
        self.answers = answers
        self.routers: dict[int, Scheduler] = {}
        self.sights: dict[int, Subset] = {}
        self.censuses: dict[int, list] = {}
        self.who: int | None = None
        self.now = 0

    def serve(self, lines: Iterable[str]) -> None:
        numbered = iter(enumerate(lines, 1))
        for number, line in numbered:
            head = Fields(line, number)
            if head.name != "SYNC":
                raise head.fault("a batch begins with SYNC")
            self.now = round_up_to_time_units(head.needed(head.integer("clock"), "clock"))
            batch = head.needed(head.integer("number"), "number")
            self.answers.write(self.batch(numbered, batch))
            self.answers.flush()

    def batch(self, numbered, batch: int) -> str:
        self.who = None
        touched: dict[int, None] = {}
        for number, line in numbered:
            fields = Fields(line, number)
            if fields.name == "YOUR_TURN":
                return self.reply(touched, batch)
            read = getattr(self, f"on_{fields.name.lower()}", None)
            if read is None or not fields.name.isupper():
                raise fields.fault("no such message")
            if fields.name == "CENSUS":
                read(fields, numbered)
                continue
            read(fields)
            if fields.name != "SWITCH_TO":
                touched[self.who] = None
        raise Malformed("input ended inside a batch")

    def reply(self, touched: Iterable[int], batch: int) -> str:
        lines = []
        for who in touched:
            router = self.routers.get(who)
            if router is None:
                continue
            said = []
            try:
                while (decision := router.next_decision(self.now)) is not None:
                    said.append(encode(decision))
            except Exception as fault:  # the bench wants a failed decision named, not a dead process
                said.append(f"BUG {type(fault).__name__}: {fault}".replace("\n", " "))
            if said:
                lines.append(f"ON_BEHALF {who}")
                lines.extend(said)
        lines.append(f"FINISHED {batch}\n")
        return "\n".join(lines)

    def router(self, fields: Fields) -> Scheduler:
        if self.who not in self.routers:
            raise fields.fault(f"instance {self.who} has not started")
        return self.routers[self.who]

    def on_switch_to(self, fields: Fields) -> None:
        self.who = fields.needed(fields.integer("who"), "who")

    def on_up(self, fields: Fields) -> None:
        if self.who is None:
            raise fields.fault("no SWITCH_TO before it")
        seed = fields.needed(fields.integer("init_seed"), "init_seed")
        settings = Settings.from_catalog(fields.catalog())
        self.routers[self.who] = QueryScheduler(seed, settings, self.now)
        self.sights[self.who] = Subset(settings.router, settings.routers)

    def on_exit(self, fields: Fields) -> None:
        self.routers.pop(self.who, None)
        self.sights.pop(self.who, None)

    def on_census(self, fields: Fields, numbered) -> None:
        buffer = fields.needed(fields.integer("buffer"), "buffer")
        entries = []
        for _ in range(fields.needed(fields.integer("records"), "records")):
            number, line = next(numbered, (fields.number, ""))
            entries.append(Fields(line, number).listing())
        self.censuses[buffer] = entries

    def on_membership(self, fields: Fields) -> None:
        mode = fields.one_of(ListMode, "mode")
        fields.integer("index")
        buffer = fields.integer("buffer")
        if mode == ListMode.ERROR:
            entries = []
        elif buffer in self.censuses:
            entries = self.censuses[buffer]
        else:
            raise fields.fault(f"no CENSUS {buffer} before it")
        router = self.router(fields)
        router.on_endpoint_list(self.now, mode, entries)
        ready = [engine for engine, known in router.engines.items() if known.ready]
        router.on_subset(self.now, self.sights[self.who].select(ready))

    def on_ask(self, fields: Fields) -> None:
        query = fields.needed(fields.text("call"), "call")
        tenant = fields.integer("owner", 0)
        cost = fields.integer("plan_cost_ns")
        memory = fields.real("mem_mb", 0.0)
        fields.text("is_write")
        fields.text("repeat")
        group = fields.needed(fields.integer("profile"), "profile")
        due = round_down_to_time_units(fields.needed(fields.integer("drop_dead_ns"), "drop_dead_ns"))
        key = fields.text("table")
        tables = fields.integer("table_group")
        cost = round_up_to_time_units(cost) if cost else None
        arrival = NewQuery(query, group, due, tables, tenant, cost, memory, key)
        self.router(fields).on_query(self.now, arrival)

    def on_completed(self, fields: Fields) -> None:
        query = fields.needed(fields.text("call"), "call")
        final = fields.integer("final", 0) == 1
        result = attempt_result(fields.needed(fields.text("result"), "result"))
        used = fields.integer("used_up", 0)
        fields.text("engine")
        elapsed = round_up_to_time_units(fields.integer("spent_ns", 0))
        attempt = fields.integer("leg", 0)
        report = fields.report("feedback")
        cost = used // 4096 * 10 if used else None
        ended = AttemptEnded(query, attempt, result, final, elapsed, cost, report)
        self.router(fields).on_attempt_ended(self.now, ended)

    def on_check_result(self, fields: Fields) -> None:
        result = health_check_result(fields.needed(fields.text("result"), "result"))
        fields.text("spent_ns")
        engine = fields.needed(fields.integer("engine"), "engine")
        report = fields.report("feedback")
        self.router(fields).on_health_check(self.now, engine, result, report)

    def on_change(self, fields: Fields) -> None:
        query = fields.needed(fields.text("call"), "call")
        figure = fields.real("x", 0.0)
        fields.text("engine")
        topic = fields.integer("topic", 0)
        attempt = fields.integer("leg", 0)
        self.router(fields).on_progress(self.now, query, attempt, topic, figure)

    def on_started(self, fields: Fields) -> None:
        self.router(fields).on_stream_started(self.now, fields.needed(fields.text("call"), "call"))

    def on_expired(self, fields: Fields) -> None:
        self.router(fields).on_client_left(self.now, fields.needed(fields.text("call"), "call"))

    def on_timeout_fired(self, fields: Fields) -> None:
        self.router(fields).on_timer(self.now, fields.text("nonce") or "")

    def on_memo(self, fields: Fields) -> None:
        self.router(fields)  # routers share nothing: word from a peer changes nothing
