"""Query QueryScheduler: every decision of one router, in one module. One instance is one router.

A front calls the inputs (roster, take, outcome, ...), which only update what is known, and pulls decide()
until it gives None: see interface.py. Times are whole tenths of a millisecond.
docs/design.md tells what departs from the design and when; docs/oncall.md what will be seen at night."""

from bisect import bisect
from collections import defaultdict, deque
from heapq import heappop, heappush
from itertools import accumulate
from zlib import crc32

from hillchute.decision.engine_state import EngineOrder, EngineState
from hillchute.decision.interface import (
    MAY_STILL_RUN,
    MILLISECOND,
    NEVER_RAN,
    SECOND,
    AttemptResult,
    Cancel,
    Fail,
    HealthCheck,
    ListMode,
    Reject,
    SetPriority,
    Submit,
    Wake,
    WatchEndpoints,
)
from hillchute.decision.query_state import Attempt, Lane, QueryState, ResourceGroup
from hillchute.decision.slow_start import SlowStart
from hillchute.decision.statistics import TRAFFIC_SPAN, LightTraffic, PaceSample, TrafficWindow

# Every constant: its unit, and why it has this size.
FACTOR = 2.0  # threads a core, all routers together: the design's starting bound
MARGIN = 5 * MILLISECOND  # a final answer goes out this long before the client's end, plus two ticks
SWEEP = 25 * MILLISECOND  # held work is looked at this often; far under any target runtime
SMOOTH = 0.1  # share of the newest figure in a running mean: the last ten or so count
SLOW = 3.0  # times its time alone that is pressure: targets commonly leave room for about that
PRESSED = 2 * SECOND  # a busy report counts until the next one, but no longer than this
BUSY = 0.9  # share of a resource in use that is a busy report: reports are noisy by a few hundredths
LAG = 500 * MILLISECOND  # a report may be this old when it comes: sends before it still count beside it
FLOOR = 0.4  # threads a core added to every load: an engine that looks idle does not draw all routers at once
SHARPNESS = 4  # power of the draw's weight: twice the load, a sixteenth of the draws
REST = 100 * MILLISECOND  # first rest of an engine that failed; doubles with each failure in a row
LONGEST_REST = 5 * SECOND  # an engine that is back is found at the latest after this
PATIENCE = 2.5  # times the expected run until a submission is taken as hung, badly planned or its answer lost
LINE_PATIENCE = 6.0  # the same where engines queue for memory: a wait holds nothing, a cut loses the place
FADE = 1 * SECOND  # a report's half life: most queries that it counted have ended two or three of them later
FEW = 4.0  # threads: a few short queries; with less out, a router's part of an engine is mostly chance
PROBE_EVERY = 400 * MILLISECOND  # per engine; reports are rarely fresher than that
LOOK = 100 * MILLISECOND  # a query waits so long for word of the engine drawn: a handshake, a slow loop
KNEE = 1.5  # threads a core at which an engine does the most; looked at, it is taken so far: others come too
LOOKS = 3  # crowded engines that a query looks at before it goes to the best of them, or to none
LOOK_SHARE = 0.05  # of its own value that a query's look may cost: it raises its odds by about so much
PROBE_SHARE = 0.01  # of all value that probes beside the looks may cost: they serve nobody in particular
OVER = 1.25  # times a customer's fraction of the traffic: beyond chance; it feels the pressure so much more
CROWD = 1.5  # times the bound: with so many threads a core a dashboard would only come too late
PACE_EVERY = 5 * MILLISECOND  # so long a pace stands: it is asked for several times for each query
PACE_SPAN = 4 * SECOND  # submissions of late: enough of them at a quiet router, few of a time that has gone
SAMPLE = 500  # queries of TRAFFIC_SPAN up to which each submission counts in the pace; beyond, one in some
CALM = 4  # submissions at their time alone, counted with a quiet router's few before it gives up on a query
GRAIN = 20 * MILLISECOND  # shorter times are mostly the network's and the clock's
FULL = 10.0  # threads a core that a refusal as full counts as: more than any target leaves room for
EASE = 2.4  # times alone, or threads a core, at which all heavier than the mean are kept out: past every knee
BACKLOG = 3.0  # pressure when the queue's head has waited all its slack: few start then in time
SPARE = 0.2  # share of the sessions: with fewer free, those who wait outside count more than those inside
DEAR = 2.0  # times the mean time for its value, over one, that a query may hold one then; less as they end
MOST_LATE = 100 * MILLISECOND  # queries read so late: the margin that answers have at the least
COLD_GRAINS = 16  # queries at the least that tip a cold engine: few heavy ones must not by chance
STEEP = 3  # at half that pressure eight times the mean still gets in, at twice an eighth of it

WAITING = ("lane", "queue", "dash", "behind")  # places of a query that stands in a line here
BROKEN = (
    AttemptResult.CONNECTION_REFUSED,
    AttemptResult.UNREACHABLE,
    AttemptResult.CONNECTION_LOST,
    AttemptResult.FAILED,
)  # endings that speak against the engine


class QueryScheduler:
    def __init__(self, seed, catalog, now):
        self.seed, self.catalog, self.now = seed, catalog, now
        self.drawn, self.wake_at = 0, None
        self.groups = [ResourceGroup.read(catalog, n) for n in range(catalog.get("groups.count", 0))]
        self.routers = max(1, catalog.get("n_instances", 1))
        self.margin = MARGIN + 2 * catalog.get("tick", 0)
        names = ("cold_from", "fall", "tip_multiple")
        cold_from, span, multiple = (catalog.get(f"guarantees.{x}", 0) for x in names)
        cores = catalog.get("domain.kind_cores", 1)
        tips = multiple * cold_from * span * (min(cores) if isinstance(cores, list) else cores)
        self.light = LightTraffic(tips / COLD_GRAINS, now)
        self.slow_start = SlowStart(span, self.chance)
        shortest = min((g.target for g in self.groups if not g.is_load), default=0)
        self.dashboards = {g.number for g in self.groups if g.target == shortest and not g.is_load}
        self.queries: dict[str, QueryState] = {}
        self.engines: dict[int, EngineState] = {}
        self.lanes, self.stirred = defaultdict(Lane), {}  # and the keys whose lanes may have moved
        self.queue, self.dash = deque(), deque()  # waiting: teams to be, and dashboards with no engine
        self.behind = defaultdict(deque)  # table group: loads that wait for a load of it to end
        self.places = EngineOrder()  # of the engines, by chance, that all routers have alike
        self.leaving, self.starting = {}, {}  # engines that are gone with something out; that may be cold
        self.home = {}  # table group: the engine that last ran it
        self.looks = []  # heap of (time, order, query id): look at this query again
        self.traffic, self.extras, self.planned = TrafficWindow(), deque(), deque()
        self.near, self.shares = frozenset(), {}  # engines looked at first; its parts of what routers share
        self.probe_credit, self.probe_at = len(self.groups), 0
        self.probes = catalog.get("report.via") == "probe" and catalog.get("limits.probes", False)
        # Means: work for a value of one, as asked; time that it took; value of a query, as asked
        self.price = self.dear = self.worth = 0.0
        self.work = self.span = 0.0  # core time of all submissions, and their time alone
        self.held, self.mine = None, 0.0  # mean threads: a core's as reported, our own on an engine then
        self.recent = PaceSample()  # submissions of late
        self.counted = "inflight" in catalog.get("report.columns", ())  # whether reports count queries held
        self.watch = catalog.get("discovery") == "on_request"

    # ---- what has happened: bookkeeping only -------------------------------------------------------

    def on_endpoint_list(self, now, mode, listings):
        self.now = now
        self.watch |= mode == ListMode.ERROR and self.catalog.get("discovery") == "on_request"
        if mode == ListMode.ERROR:
            return  # the earlier list stands
        listed = {}
        for entry in listings:
            listed[entry.engine] = e = self.engines.setdefault(entry.engine, EngineState(entry.engine))
            e.listed(entry, self.catalog)
            if entry.started > e.started:
                e.started, e.failures, e.ejected_until, e.reported_threads = entry.started, 0, now, None
        for e in [e for e in self.engines.values() if mode != ListMode.PARTIAL and e.id not in listed]:
            e.ready, e.gone = False, True
            listed[e.id] = e
        self.relist(listed)

    def relist(self, listed):
        """What follows from the engines that have changed, without a look at all the others."""
        for e in listed.values():
            if e.gone:
                self.leaving[e.id] = e
            else:
                self.leaving.pop(e.id, None)
                self.places.add(e.id)
            if e.is_warming_up(self.now):
                self.starting[e.id] = e
        for e in [e for e in self.leaving.values() if not e.open_attempts]:  # new ids come all day
            for known in (self.engines, self.leaving, self.starting):
                known.pop(e.id, None)
            self.places.discard(e.id)
            self.slow_start.forget(e.id)

    def on_subset(self, now, engines, routers=None, shares=None):
        self.now, self.near = now, engines
        self.routers, self.shares = routers or self.routers, shares or self.shares

    def admits(self, now, group, lateness):
        """Guards the loop of this router: what it does late when its core is full can't be taken back. Every
        query costs it alike, so those of least value go first, unread. A pause that is over doesn't count."""
        value = self.groups[group].value
        self.worth += SMOOTH * (value - self.worth) if self.worth else value
        return lateness < MOST_LATE * min(1.0, value / self.worth)

    def on_query(self, now, query):
        self.now = now
        tenant, deadline = query.tenant, query.deadline
        start = now - max(TRAFFIC_SPAN, self.catalog.get("guarantees.look_back") or 0) - 2
        while self.extras and self.extras[0] < start:
            self.extras.popleft()
        self.traffic.add(now, tenant, start)
        g = self.groups[query.group]
        cost = max(1, query.cost or g.usual or g.target * g.width // 2)
        g.usual += SMOOTH * (cost - g.usual) if g.usual else cost
        key = query.ordering_key
        q = self.queries[query.id] = QueryState(
            query.id, g, now, deadline, query.table_group, tenant, cost, query.memory_mb, key
        )
        self.price = (1 - SMOOTH) * (self.price or cost / g.value) + SMOOTH * cost / g.value
        credit = PROBE_SHARE / (self.catalog.get("costs.probe") or PROBE_SHARE)
        self.probe_credit += min(credit, self.shares.get("probes", 1), len(self.engines) - self.probe_credit)
        self.look(q, deadline - self.margin)
        if g.in_order and key is not None:
            q.place, q.line = "lane", self.lanes[key].turn
            q.line.append(q)
            self.stirred[key] = True
            self.look(q, self.latest_start(q))
        else:
            self.line_up(q)

    def line_up(self, q, front=False):
        q.line, q.place = (self.dash, "dash") if q.group.number in self.dashboards else (self.queue, "queue")
        q.line.appendleft(q) if front else q.line.append(q)
        self.draw_lot(q)
        self.look(q, self.now)
        self.look(q, self.latest_start(q))

    def look(self, q, at):
        self.drawn += 1
        heappush(self.looks, (at, self.drawn, q.id))

    def on_attempt_ended(self, now, ended):
        self.now = now
        _, number, result, final, elapsed, cost, report = ended
        q = self.queries.get(ended.query)
        if q is None or number >= len(q.attempts) or not q.attempts[number].open:
            return
        sub, e = q.attempts[number], self.engines[q.attempts[number].engine]
        sub.open = False
        e.attempt_ended(q.group.width, q.memory, q.group.is_load, q.table_group)
        if q.group.is_load and self.behind.get(q.table_group):
            self.line_up(self.behind[q.table_group].popleft(), front=True)
        if report:
            self.read_report(e, report)
        elif result == AttemptResult.OVERLOADED:
            e.reported_threads, e.reported_at = FULL * e.cores, now
        if result not in NEVER_RAN and q.ran is None:
            q.ran = sub
        if result in MAY_STILL_RUN and q.key is not None and q.group.in_order:
            self.lanes[q.key].paused_until = now + self.catalog.get("guarantees.order_pause", 0) + 1
        self.judge(e, q, sub, result, elapsed, cost)
        if final or q.place == "ended":
            self.end(q)
        elif not q.open_attempts:
            q.place = "again"
            self.look(q, now)

    def judge(self, e, q, sub, result, elapsed, cost):
        """An engine's health, from how one submission ended."""
        if result in (AttemptResult.SERVED, AttemptResult.TIMED_OUT):
            sub.ratio = max(GRAIN, elapsed) / max(GRAIN, cost / q.group.width if cost else sub.alone)
        if sub.ratio > SLOW or result == AttemptResult.OVERLOADED:
            e.pressed_until = self.now + PRESSED
        if result == AttemptResult.SERVED:
            e.failures = 0
            if q.blamed not in (None, e):
                self.blame(q.blamed)
            q.group.took += SMOOTH * (elapsed - q.group.took)
            self.dear += SMOOTH * (elapsed / q.group.value - self.dear)
            if cost:
                q.group.scale += SMOOTH * (min(5.0, max(0.2, cost / q.cost)) - q.group.scale)
        elif result == AttemptResult.FAILED and self.may_run_again(q):
            # Guards against queries that no engine can run: the engine is at fault once another ran it.
            q.errors, q.blamed = q.errors + 1, q.blamed or e
        elif result in BROKEN:
            self.blame(e)
            if result == AttemptResult.CONNECTION_REFUSED:
                e.started = max(e.started, self.now)  # it may come back cold before the roster says so
                self.starting[e.id] = e

    def blame(self, e):
        """Guards against an engine that is down, or draws all by fast errors. A lone failure is free."""
        if e.failed(self.now) > 1:
            e.ejected_until = self.now + min(LONGEST_REST, REST << min(e.failures, 10))

    def read_report(self, e, report, age=0):
        if "inflight" in report:
            e.reported_threads = (
                report["inflight"] * self.work / self.span if self.span else report["inflight"]
            )
        elif "util" in report:
            e.reported_threads = report["util"] * e.cores
        self.mine += SMOOTH * (e.threads - self.mine)
        meant = {self.catalog.get(f"domain.report_{x}"): report.get(x) for x in ("x0", "x1")}
        e.memory_granted = meant.get("share_of_memory_granted")
        if e.reported_threads is not None:
            e.reported_threads = max(e.reported_threads, (e.memory_granted or 0) * FACTOR * e.cores)
            mean = min(
                2 * CROWD * FACTOR, e.reported_threads / e.cores
            )  # one jammed engine is not a crowd on all
            self.held = mean if self.held is None else self.held + SMOOTH * (mean - self.held)
        e.reported_at = self.now - age
        shares = report.get("util"), e.memory_granted, meant.get("share_of_disks_busy")
        busy = max(share or 0 for share in shares) >= BUSY or report.get("queue", 0) >= 1
        e.pressed_until = self.now + (PRESSED if busy else 0)

    def on_health_check(self, now, engine, result, report):
        self.now, e = now, self.engines.get(engine)
        if e and report and now >= e.reported_at:
            self.read_report(e, report)
        elif e and result in (AttemptResult.TIMED_OUT, *BROKEN):
            self.blame(e)

    def on_load_report(self, now, engine, report, age):
        self.now, e = now, self.engines.get(engine)
        if e and report and now - age >= e.reported_at:
            self.read_report(e, report, age)

    def on_progress(self, now, query, attempt, topic, figure):
        self.now = now  # notes tell of one submission, what is out tells of the engine sooner

    def on_stream_started(self, now, query):
        self.now = now
        if query in self.queries:
            self.queries[query].streaming = True

    def on_client_left(self, now, query):
        self.now = now
        if query in self.queries:
            self.end(self.queries[query])

    def on_shutdown(self, now, deadline):
        self.now = now
        for q in self.queries.values():
            q.deadline = min(q.deadline, deadline)
            self.look(q, q.deadline - self.margin)

    def on_timer(self, now, name):
        self.now, self.wake_at = now, None

    def end(self, q):
        """The query is answered; it is kept while a submission is out, since its key waits for that."""
        if q.place in WAITING:
            q.line.remove(q)
        q.place = "ended"
        if not q.open_attempts:
            self.queries.pop(q.id, None)
        if q.key in self.lanes:
            self.stirred[q.key] = True

    def light_query_rate(self, now):
        """Cores that the queries of late that are light enough for an engine that warms up have used."""
        return self.light.work / max(1, min(TRAFFIC_SPAN, now - self.light.began))

    # ---- the rules ----------------------------------------------------------------------------------

    def may_run_again(self, q):
        """Rules 1, 2 and 7 and the limit of tries: may it be submitted now, as far as it alone goes?"""
        if q.place == "ended" or q.errors > 1 or len(q.attempts) >= self.catalog.get("limits.most_tries", 1):
            return False
        if q.open_attempts or (q.ran and q.group.effect == "mutating"):
            return False  # never two at once, also where that is allowed: it would feed an overload
        if q.ran and q.group.effect == "tokened" and self.now + 1 >= q.ran.sent + q.group.window:
            return False
        return not q.attempts or self.ration_left()

    def ration_left(self):
        """Rule 7. Beyond it retries are held by too_heavy() alone, so that they do not feed an overload."""
        span = self.catalog.get("guarantees.look_back")
        if not span:
            return True
        least, share = (self.catalog.get(f"guarantees.{x}", 0) for x in ("min_extra", "extra_share"))
        # The clock is rounded: count a little more of what was used, a little less of what was taken.
        used = sum(t >= self.now - span - 2 for t in self.extras)
        return used + 1 <= least + share * sum(t >= self.now - span + 2 for t, _ in self.traffic.line)

    def may_defer(self, q):
        """Rule 2: a deferral tells the client that trying again is harmless."""
        safe = q.group.effect == "read-only" or (q.ran is None and not q.open_attempts)
        return safe or (q.group.effect == "tokened" and q.group.repeats == "all")

    def allowed(self, e, q):
        """Rules 2, 3, 4, 6 and 7: may this query go to this engine now, whatever the load?"""
        return (not q.attempts or self.may_run_again(q)) and self.fits(e, q)

    def fits(self, e, q):
        g = q.group
        placed = (g.zones is None or e.zone in g.zones) and (g.kinds is None or e.kind in g.kinds)
        if not e.ready or not placed:
            return False
        if q.ran and g.effect == "tokened" and g.repeats != "all":
            first = self.engines.get(q.ran.engine)
            if first is None or e.zone != first.zone or (g.repeats == "cell" and e.cell != first.cell):
                return False
        return not e.is_warming_up(self.now) or (q.lot == e.id and self.slow_start.stands(self.now, q.lot_at))

    def calm(self, e):
        return self.crowd(e) <= KNEE * e.usable_cores(self.now)

    def draw_lot(self, q):
        """Rule 4: the one recovering engine, if any, that is open to a query, drawn each time it lines up.

        Guards such an engine against the sum of routers, also when all learn of it at once, restart, see a
        burst after a quiet time, or have a part of less than a query: slow_start.py."""
        q.lot, q.lot_at = None, self.now
        if q.work > self.light.most:
            return
        self.light.add(self.now, q.work, TRAFFIC_SPAN)
        self.slow_start.seen(q.work)
        for e in [e for e in self.starting.values() if not e.is_warming_up(self.now)]:
            del self.starting[e.id]
        cold = [e for e in self.starting.values() if e.ready and self.shares.get(e.id, 1)]
        q.lot = self.slow_start.draw(self.now, cold, q.work, self.shares.get("cold", 1 / self.routers))

    def since(self, e):
        return e.since(max(e.reported_at - LAG, self.now - PRESSED))

    def load(self, e):
        """Threads there, at the most: as told, and ours since, none of which has ended."""
        return e.threads if self.held is None else max(e.threads, self.since(e)[0] + self.told(e))

    def told(self, e):
        """Threads of all routers there by its last report, which goes over into the average as it ages."""
        # One that is cold starts empty and gets what lots give: others' average says nothing of it.
        mean = 0 if e.is_warming_up(self.now) else self.held * e.cores
        return mean if e.reported_threads is None else mean + (e.reported_threads - mean) * self.known(e)

    def known(self, e):
        """How much of the last report still holds: what waits on a crowded engine stays so much longer."""
        return 0.5 ** ((self.now - e.reported_at) / (FADE * max(1.0, e.reported_threads / e.cores)))

    def crowd(self, e):
        """Threads of all routers there: as reported or, if it stalls between two reports, by what is out."""
        part = self.held * e.cores / self.mine if self.counted and self.mine else self.routers
        others = (min(self.routers, part) - 1) * (self.mine / (self.mine + FEW) if self.mine else 1)
        return max(self.load(e), e.threads * (1 + max(0.0, others)))

    def room(self, e, q, more=1):
        """How many queries like this one the engine has slots and room for."""
        width, bound, least = q.group.width, more * FACTOR * e.usable_cores(self.now), 1
        free = bound - self.crowd(e)
        if self.now < e.pressed_until:
            share = bound / self.shares.get("pool", self.routers)  # partners: by agreed shares of it
            # Guards against many routers whose bound is under one query: each then has one by chance only.
            least = int(crc32(f"{q.id}:{e.id}".encode()) / 2**32 < share / width)
            free = min(free, max(width, share) - e.threads) * least
        slots = int(free // width)
        if q.memory and e.ram:
            given = 0 if e.memory_granted is None else e.memory_granted * e.ram + self.since(e)[1]
            slots = min(slots, int((e.ram - max(e.memory, given)) // q.memory))
        return max(0, slots, least * int(not e.open_attempts))

    def draw(self, engines):
        """Chance, weighted against load; None of none."""
        marks = list(accumulate((FLOOR + self.load(e) / e.cores) ** -SHARPNESS for e in engines))
        return engines[bisect(marks, self.chance() * marks[-1])] if engines else None

    def looking(self, q):
        """Whether the engine that it has drawn may still answer the look."""
        e = self.engines.get(q.drawn)
        return e and max(e.reported_at, e.failed_at) < q.drawn_at and self.now < q.drawn_at + LOOK

    def choose(self, q, free, home=None):
        """The engine for a query, once enough is known of it; None while one is looked at, or all are full.
        `free` tells whether an engine that may take it has room.

        Guards against drawing blind: of hundreds none is heard of in time, and a crowd or corpse draws on."""
        e, q.drawn = self.engines.get(q.drawn), None
        silent = None
        if e and e.reported_at >= q.drawn_at:
            if self.calm(e) and free(e) and e in self.engines_for(q):
                return e
            q.crowded += 1
        elif e:  # no answer
            silent = e
        engines = self.choice(q, free, home, silent)
        if not self.probes:
            return self.pick(q, engines, home)
        if q.crowded >= LOOKS and self.now - q.drawn_at < PROBE_EVERY:
            engines = [e for e in engines if not self.stale(e)]
        else:
            engines = [e for e in engines if self.stale(e) or self.calm(e)] or engines
        e = self.pick(q, engines, home)
        if e is None or e.id == q.lot or not self.stale(e) or not self.worth_a_look(q):
            return e
        q.drawn, q.drawn_at = e.id, self.now
        if self.now - e.probed_at >= LOOK:
            self.ask(e)
        return None

    def choice(self, q, free, home, silent):
        """The engines to draw from.

        Guards against knowing little of all: a router of hundreds keeps to a few, and homes, while they do.
        They are looked at first, so that a query does not cost more the more engines there are."""
        sight = self.sight(q, home)
        best = [e for e in sight if e is not silent and self.suits_best(e, q) and free(e)]
        best = [e for e in best if self.stale(e) or self.calm(e)]
        if best:
            return best
        engines = [e for e in self.engines_for(q) if free(e)]
        engines = [e for e in engines if e is not silent] or engines
        return [e for e in engines if e in sight and (self.stale(e) or self.calm(e))] or engines

    def sight(self, q, home=None):
        """The engines that a query looks at first: that of its permit, else those in sight and its home."""
        if q.lot is not None:
            return [e for e in (self.engines.get(q.lot),) if e]
        near = [e for e in map(self.engines.get, self.near) if e]
        return near if home is None or home.id in self.near else [*near, home]

    def stale(self, e):
        """Whether a look would tell more of it than what is believed."""
        return self.probes and self.now - e.reported_at > FADE

    def worth_a_look(self, q):
        price = self.catalog.get("costs.probe", 0) * (self.worth or q.group.value)
        return price <= LOOK_SHARE * q.group.value

    def pick(self, q, engines, home):
        """The cold engine that it has drawn already, its group's last engine, or one by chance."""
        lot = self.engines.get(q.lot)
        return next((e for e in (lot, home) if e in engines), None) or self.draw(engines)

    def ask(self, e):
        e.probed_at, self.probe_credit = self.now, self.probe_credit - 1
        self.planned.append(HealthCheck(e.id))

    def chance(self):
        self.drawn += 1
        return crc32(f"{self.seed}:{self.drawn}".encode()) / 2**32

    def alone(self, q):
        return q.cost * q.group.scale / q.group.width

    def expected(self, q):
        return int(self.alone(q) * max(1.0, self.pace(CALM)))

    def pace(self, calm=0):
        """How many times its time alone a query takes now; one out longer counts, so a jam shows early."""
        return self.recent.median(self.now, PACE_SPAN, PACE_EVERY, calm)

    def too_heavy(self, q):
        """Overload: the more crowded the engines, the lighter a query must be, for its group and its value.

        Guards against a jam of all engines, whatever makes it. Does harm where estimates are worthless."""
        # Reports that count what engines hold tell a crowd from a slowdown; elsewhere only the pace does.
        pace = self.pace() / (2 if self.counted else 1)
        line = q.group.is_load and self.behind.get(q.table_group) or self.queue
        # The crowd where it may go: a mean over all engines hides that the warm are full and the cold empty.
        near = map(self.engines.get, (q.lot,) if q.lot in self.engines else self.near)
        near = [e for e in near if e and self.held is not None and self.fits(e, q)]
        # As told: what is ours since is there too if ours has ended, and counts twice where routers are few.
        crowds = [max(e.threads, self.told(e)) / e.usable_cores(self.now) for e in near]
        held = sum(crowds) / len(crowds) if crowds else self.held or 0
        pressure = max(pace, held, BACKLOG * self.waited(line[0]) if line else 0)
        pressure *= OVER if self.over_share(q.tenant) else 1
        heavy = q.cost / (q.group.usual * q.group.value * self.price) ** 0.5
        # Guards against long queries of little value that hold a session while clients stand outside.
        free = 1 - len(self.queries) / (self.catalog.get("sessions") or 10**9)
        dear = q.group.took * q.cost / q.group.usual / q.group.value > self.dear * (1 + DEAR * free / SPARE)
        return heavy > (EASE / pressure) ** STEEP or (free < SPARE and dear)

    def waited(self, q):
        """The share of its slack that a query has waited."""
        return (self.now - q.taken) / max(1, self.latest_start(q) - q.taken)

    def over_share(self, tenant):
        """Is the customer well over its share of late, by fraction and by rate?"""
        fraction, rate = (self.catalog.get(f"parties.{tenant}.{x}") for x in ("fraction", "quota_per_s"))
        line, n = self.traffic.line, self.traffic.by_tenant[tenant]
        part = self.shares.get(f"parties.{tenant}", 1 / self.routers)
        over_rate = rate and n * SECOND > rate * part * self.traffic.span(self.now)
        return over_rate and n > OVER * fraction * len(line)

    def latest_start(self, q):
        """The last moment at which a start still makes the target runtime."""
        return q.taken + q.group.target + int(q.group.stretch * self.alone(q)) - self.expected(q)

    # ---- deciding -----------------------------------------------------------------------------------

    def next_decision(self, now):
        self.now = now
        if not self.planned:
            if self.watch:
                self.watch = False
                return WatchEndpoints()
            # Lanes first: one whose turn comes too late is then answered, not sent, and the next may start.
            stages = (self.lanes_move, self.settle, self.send_dashboards, self.send_team, self.probe)
            for stage in (*stages, self.set_alarm):
                stage()
                if self.planned:
                    break
        return self.planned.popleft() if self.planned else None

    def settle(self):
        """Look at the queries whose time has come: answer those that are over, send again those that may."""
        while self.looks and self.looks[0][0] <= self.now and not self.planned:
            q = self.queries.get(heappop(self.looks)[2])
            if q is None or q.place == "ended" or q.streaming:
                continue
            if self.now >= q.deadline - self.margin:
                self.give_up(q, "its end")
            elif q.place == "again":
                again = self.may_run_again(q) and self.now + self.expected(q) < q.deadline
                self.line_up(q, front=True) if again else self.give_up(q, "tried")
            elif q.place in WAITING and self.now >= self.latest_start(q):
                self.give_up(q, "too late")
            elif q.place in WAITING and self.too_heavy(q):
                self.give_up(q, "too heavy")

    def give_up(self, q, why):
        """Answers it without a result; `why` is for the log alone."""
        if q.open_attempts and self.catalog.get("limits.cancel", False):
            self.planned.append(Cancel(q.id, len(q.attempts) - 1))
        after = self.catalog.get("limits.retry_after") and self.catalog.get("limits.max_retry_after") or 0
        self.planned.append(Reject(q.id, after, why) if self.may_defer(q) else Fail(q.id, why))
        self.end(q)

    def lanes_move(self):
        """Rule 5: the next query of a key lines up when all earlier ones are over and the key has rested."""
        for key in [key for key in self.stirred if self.now >= self.lanes[key].paused_until]:
            del self.stirred[key]
            first = self.lanes[key].first()
            if first is None:
                del self.lanes[key]
            elif first.place == "lane":
                self.line_up(first)

    def send_dashboards(self):
        """Dashboards skip the queue and the bound."""
        for q in self.dash:
            if self.looking(q) or not self.may_go(q):
                continue
            if e := self.choose(q, self.uncrowded):
                self.dash.remove(q)
                self.submit(q, e)
            elif q.drawn is None:
                self.give_up(q, "crowd")
            if self.planned:
                return

    def uncrowded(self, e):
        """Guards against a jam kept up by clients' retries. Does harm where reports lag a load that went."""
        return self.crowd(e) < CROWD * FACTOR * e.usable_cores(self.now)

    def may_go(self, q):
        """Whether any engine may take it and is fit."""
        return any(self.suits_best(e, q) for e in self.sight(q)) or bool(self.engines_for(q))

    def suits_best(self, e, q):
        """Whether an engine is what engines_for() wants where it need not make do with less."""
        if (q.attempts and not self.may_run_again(q)) or self.now < e.ejected_until or not self.fits(e, q):
            return False
        if q.attempts and q.attempts[-1].engine == e.id:
            return False
        if not (q.group.waits or q.group.is_load):
            return True
        return q.table_group not in e.running_loads and self.on_side(e, q) and self.own_load_place(e, q)

    def own_load_place(self, e, q):
        half = (len(self.places) + 1) // 2
        if not q.group.is_load or self.routers > half:
            return True
        place = self.place(e, q)
        return place < half and place % self.routers == self.catalog.get("me", 0)

    def engines_for(self, q):
        """Engines that may take it and are fit; a query that waits for loads keeps off their tables."""
        if q.attempts and not self.may_run_again(q):
            return []
        if q.lot is not None and not self.slow_start.stands(self.now, q.lot_at):
            self.draw_lot(q)
        engines = [e for e in self.engines.values() if self.now >= e.ejected_until and self.fits(e, q)]
        if q.group.waits or q.group.is_load:
            engines = self.side(engines, q)
            engines = [e for e in engines if q.table_group not in e.running_loads] or engines * (
                not q.group.is_load
            )
        if q.attempts:
            engines = [e for e in engines if e.id != q.attempts[-1].engine] or engines
        return engines

    def suits(self, e, q):
        """Whether a query may join a team on this engine: it is one that it might have drawn itself."""
        alone = (
            q.group.is_load or q.group.waits and (q.table_group in e.running_loads or not self.on_side(e, q))
        )
        return self.allowed(e, q) and not alone and not (q.attempts and q.attempts[-1].engine == e.id)

    def side(self, engines, q):
        """Loads of a table group keep to one half of the engines, queries that wait for loads to the other.

        Guards against standing still behind loads of other routers: all split alike. Harms a short half."""
        engines = [e for e in engines if self.on_side(e, q)] or engines
        half = (len(self.places) + 1) // 2
        if not q.group.is_load or self.routers > half:
            return engines
        # Few routers: each has engines of its own for a group's loads; none stands behind another's.
        me, places = self.catalog.get("me", 0), [(e, self.place(e, q)) for e in engines]
        return [e for e, place in places if place < half and place % self.routers == me] or engines

    def place(self, e, q):
        """One order for all table groups, each beginning elsewhere in it: a change of the list moves few."""
        return (self.places.of(e.id) + q.start) % len(self.places)

    def on_side(self, e, q):
        loads = self.place(e, q) < (len(self.places) + 1) // 2
        return loads == q.group.is_load or (loads and e.id == q.lot)

    def stands(self, q):
        """The engines for this load, if it would only stand still, behind one of ours, on all of them."""
        if not q.group.is_load:
            return []
        engines = self.side([e for e in self.engines.values() if self.fits(e, q)], q)
        return engines if all(q.table_group in e.running_loads for e in engines) else []

    def send_team(self):
        while self.queue and (engines := self.stands(self.queue[0])):
            q, line = self.queue[0], self.behind[self.queue[0].table_group]
            # Guards against waiting for what can't come: a client that waits holds a session all the while.
            if self.now + sum(map(self.expected, line)) / len(engines) > self.latest_start(q):
                return self.give_up(q, "line of loads")
            line.append(self.queue.popleft())
            q.line, q.place = line, "behind"
        if not self.queue or self.looking(self.queue[0]):
            return
        leader = self.queue[0]
        # Guards against starving behind dashboards, which may fill an engine past its bound.
        more = CROWD if self.waited(leader) > 0.5 else 1
        home = self.engines.get(self.home.get(leader.table_group))
        e = self.choose(leader, lambda e: self.room(e, leader, more), home)
        if e is None:
            return  # the leader waits for word of an engine, or for the next outcome
        team = [leader]
        if not leader.group.is_load:
            mates = [q for q in self.queue if q.table_group == leader.table_group and self.suits(e, q)]
            team += [q for q in mates if q is not leader][: self.room(e, leader, more) - 1]
        for q in team:
            if q is leader or self.allowed(e, q):
                self.queue.remove(q)
                self.submit(q, e)

    def submit(self, q, e):
        if q.attempts:
            self.extras.append(self.now)
        within = q.deadline - self.margin - self.now
        if self.catalog.get("limits.cancel", False) and q.group.effect == "read-only":
            # Guards against a hung member, a bad plan and a lost answer where a time-out frees the engine.
            patience = LINE_PATIENCE if self.catalog.get("domain.on_shortage") == "line_up" else PATIENCE
            within = min(within, int(max(q.group.target / 2, patience * self.expected(q))))
        self.set_terms(q)
        self.planned.append(Submit(q.id, e.id, max(1, within)))
        sub = Attempt(e.id, self.now, q.cost * q.group.scale, max(GRAIN, self.alone(q)))
        self.work, self.span = self.work + sub.work, self.span + sub.alone
        if crc32(q.id.encode()) % (1 + len(self.traffic.line) // SAMPLE) == 0:
            self.recent.add(self.now, sub)
        q.place = "out"
        q.attempts.append(sub)
        e.attempt_started(self.now, q.group.width, q.memory, q.group.is_load, q.table_group)
        self.home[q.table_group] = e.id

    def set_terms(self, q):
        """Short and light work first, where engines heed priorities."""
        if not self.catalog.get("domain.ranks_heeded", False) or q.attempts:
            return
        light = 2 if q.cost <= q.group.usual else 1 if q.cost <= 3 * q.group.usual else 0
        first = q.group.number in self.dashboards or q.group.is_load
        self.planned.append(SetPriority(q.id, 3 if first else light))

    def probe(self):
        """Where reports come by probes alone: that in sight known longest ago, paced by the queries taken."""
        if not self.probes or self.now < self.probe_at or self.probe_credit < 1:
            return
        near = filter(None, map(self.engines.get, self.near or self.engines))
        known = [
            (max(e.probed_at, e.reported_at), e.id) for e in near if e.ready and e.ejected_until <= self.now
        ]
        at, longest = min(known, default=(0, None))
        if known and self.now - at >= PROBE_EVERY:
            self.ask(self.engines[longest])
        else:
            self.probe_at = max(self.now + MILLISECOND, at + PROBE_EVERY)

    def set_alarm(self):
        """One alarm: the next query to look at, or a sweep while something is held."""
        held = bool(self.queue or self.dash or self.lanes)
        times = [at for at, _, _ in self.looks[:1]] + [self.now + SWEEP] * held
        if times and (self.wake_at is None or min(times) < self.wake_at):
            self.wake_at = max(min(times), self.now + 1)
            self.planned.append(Wake(self.wake_at, "look"))
