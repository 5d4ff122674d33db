"""Runs one decision module for each instance the bench names: decodes into calls, encodes from results."""

from collections.abc import Iterable
from typing import TextIO

from hillchute.benchlink.codec import RESULTS, Fields, Malformed, encode
from hillchute.catalog import down, up
from hillchute.coordination.subsetting import Subset
from hillchute.decision.interface import Router
from hillchute.decision.teamwork import Teamwork


class Host:
    def __init__(self, answers: TextIO) -> None:
        self.answers = answers
        self.routers: dict[int, Router] = {}
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
            self.now = up(head.needed(head.integer("clock"), "clock"))
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
                while (decision := router.decide(self.now)) is not None:
                    said.append(encode(decision))
            except Exception as fault:  # the bench wants a failed decision named, not a dead process
                said.append(f"BUG {type(fault).__name__}: {fault}".replace("\n", " "))
            if said:
                lines.append(f"ON_BEHALF {who}")
                lines.extend(said)
        lines.append(f"FINISHED {batch}\n")
        return "\n".join(lines)

    def router(self, fields: Fields) -> Router:
        if self.who not in self.routers:
            raise fields.fault(f"instance {self.who} has not started")
        return self.routers[self.who]

    def on_switch_to(self, fields: Fields) -> None:
        self.who = fields.needed(fields.integer("who"), "who")

    def on_up(self, fields: Fields) -> None:
        if self.who is None:
            raise fields.fault("no SWITCH_TO before it")
        seed = fields.needed(fields.integer("init_seed"), "init_seed")
        catalog = fields.catalog()
        self.routers[self.who] = Teamwork(seed, catalog, self.now)
        self.sights[self.who] = Subset(catalog.get("me", 0), catalog.get("n_instances", 1))

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
        mode = fields.needed(fields.text("mode"), "mode")
        fields.integer("index")
        buffer = fields.integer("buffer")
        if mode == "Error":
            entries = []
        elif buffer in self.censuses:
            entries = self.censuses[buffer]
        else:
            raise fields.fault(f"no CENSUS {buffer} before it")
        router = self.router(fields)
        router.roster(self.now, mode, entries)
        ready = [engine for engine, known in router.engines.items() if known.ready]
        router.nearby(self.now, self.sights[self.who].select(ready))

    def on_ask(self, fields: Fields) -> None:
        query = fields.needed(fields.text("call"), "call")
        tenant = fields.integer("owner", 0)
        cost = fields.integer("plan_cost_ns")
        memory = fields.real("mem_mb", 0.0)
        fields.text("is_write")
        fields.text("repeat")
        group = fields.needed(fields.integer("profile"), "profile")
        due = down(fields.needed(fields.integer("drop_dead_ns"), "drop_dead_ns"))
        key = fields.text("table")
        tables = fields.integer("table_group")
        cost = up(cost) if cost else None
        self.router(fields).take(self.now, query, group, due, tables, tenant, cost, memory, key)

    def on_completed(self, fields: Fields) -> None:
        query = fields.needed(fields.text("call"), "call")
        final = fields.integer("final", 0) == 1
        result = fields.needed(fields.text("result"), "result")
        used = fields.integer("used_up", 0)
        fields.text("engine")
        elapsed = up(fields.integer("spent_ns", 0))
        leg = fields.integer("leg", 0)
        report = fields.report("feedback")
        cost = used // 4096 * 10 if used else None
        result = RESULTS.get(result, result)
        self.router(fields).outcome(self.now, query, leg, result, final, elapsed, cost, report)

    def on_check_result(self, fields: Fields) -> None:
        result = fields.needed(fields.text("result"), "result")
        fields.text("spent_ns")
        engine = fields.needed(fields.integer("engine"), "engine")
        report = fields.report("feedback")
        self.router(fields).probed(self.now, engine, RESULTS.get(result, result), report)

    def on_change(self, fields: Fields) -> None:
        query = fields.needed(fields.text("call"), "call")
        figure = fields.real("x", 0.0)
        fields.text("engine")
        topic = fields.integer("topic", 0)
        leg = fields.integer("leg", 0)
        self.router(fields).progress(self.now, query, leg, topic, figure)

    def on_started(self, fields: Fields) -> None:
        self.router(fields).streaming(self.now, fields.needed(fields.text("call"), "call"))

    def on_expired(self, fields: Fields) -> None:
        self.router(fields).left(self.now, fields.needed(fields.text("call"), "call"))

    def on_timeout_fired(self, fields: Fields) -> None:
        self.router(fields).woken(self.now, fields.text("nonce") or "")

    def on_memo(self, fields: Fields) -> None:
        self.router(fields)  # routers share nothing: word from a peer changes nothing
