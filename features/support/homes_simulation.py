"""A seeded random simulation of homes and admission with faults.

Entries are objects, not processes; time, network, platform and upstreams are
simulated. The simulation counts the requests that really run at each upstream,
so a wrong count by an entry shows as more requests in flight than slots.
"""

import random
from typing import NamedTuple

from almondstair.core.admission import SlotTable
from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Outcome
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.home_records import HomesReport
from almondstair.core.home_records import homed_upstreams
from almondstair.core.homes import Homes
from almondstair.core.model import Configuration
from almondstair.core.model import PolicyName
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.model import Region
from almondstair.core.model import RequestClass
from almondstair.core.model import Service
from almondstair.core.model import Upstream
from almondstair.core.slot_tracker import SlotTracker
from almondstair.core.slow_start import SlowStartLimits

STEP_S = 0.05
REPORT_INTERVAL_S = 0.25
TABLE_INTERVAL_S = 0.5
T1_S = 0.5
RESERVE_DEADLINE_S = 1.0
LONG_DEADLINE_S = 4.0
MARGIN_S = 0.1
DRIFT = 0.005
UPSTREAM_SLOTS = {"u1": 1, "u2": 2, "u3": 3, "u4": 4, "u5": 3}
FAST_SLOW_START = SlowStartLimits(
    idle_limit_s=1e9, min_ramp_s=0.1, good_ratio=1e9, slow_ratio=1e9
)
NO_SLOTS_HELD_BACK = dict.fromkeys(Priority, 0.0)


def configuration() -> Configuration:
    """Returns a configuration of one region, one service, some upstreams."""
    classes = []
    for name, deadline_s in (
        ("short", RESERVE_DEADLINE_S),
        ("long", LONG_DEADLINE_S),
    ):
        classes.append(
            RequestClass(
                name=name,
                methods=("GET",),
                path=f"/{name}",
                idempotent=True,
                priority=Priority.INTERACTIVE,
                deadline_ms=int(deadline_s * 1000),
            )
        )
    upstreams = {}
    for name, slots in UPSTREAM_SLOTS.items():
        upstreams[name] = Upstream(("s",), "127.0.0.1:1", "r-a", slots, 9)
    return Configuration(
        regions={"r": Region(("r-a",))},
        services={"s": Service("p", tuple(classes))},
        upstreams=upstreams,
        profiles={"p": Profile(PolicyName.LOCAL)},
    )


class Running(NamedTuple):
    """A request running at an upstream; `ends_s` is in true time."""

    upstream: str
    ends_s: float


class Planned(NamedTuple):
    """An admitted request that is not yet written to the upstream."""

    admission: Admission
    deadline_s: float


class Written(NamedTuple):
    """A request that an entry has written to the upstream."""

    admission: Admission
    running: Running


class Entry:
    """An entry process with its own clock."""

    def __init__(
        self, *, run: "HomesSimulation", name: str, homes_class: type[Homes]
    ) -> None:
        """Starts a process without a table or reports from peers."""
        self.name = name
        self.incarnation = f"{name}-{run.random.getrandbits(32)}"
        self.offset_s = run.random.uniform(-1000.0, 1000.0)
        self.rate = 1.0 + run.random.uniform(-DRIFT, DRIFT)
        self.frozen_until_s = 0.0
        self.leaving = False
        self.report_due_s = 0.0
        self.table_due_s = 0.0
        self.planned: list[Planned] = []
        self.written: list[Written] = []
        self.tracker = SlotTracker(margin_s=MARGIN_S)
        self.homes = homes_class(
            entry_name=name,
            incarnation=self.incarnation,
            t1_s=T1_S,
            reserve_deadline_s=RESERVE_DEADLINE_S,
            margin_s=MARGIN_S,
            tracker=self.tracker,
        )
        self.slots = SlotTable(
            homes=self.homes,
            tracker=self.tracker,
            limits=FAST_SLOW_START,
            held_back_fraction=NO_SLOTS_HELD_BACK,
        )
        settings = configuration()
        self.homes.set_upstreams(
            upstreams=homed_upstreams(configuration=settings)
        )
        self.slots.set_configuration(configuration=settings)

    def row(self) -> EntryRow:
        """Returns the row of the entry in the entry table."""
        addresses = ("", "", "", "")
        return EntryRow(
            self.name, "r-a", "r", *addresses, incarnation=self.incarnation
        )

    def clock_s(self, true_s: float) -> float:
        """Returns the reading of the entry's monotonic clock."""
        return self.offset_s + true_s * self.rate


class Counts(NamedTuple):
    """Event counts of a run."""

    dispatched: int = 0
    in_reserve: int = 0
    max_over_slots: int = 0
    deaths: int = 0
    freezes: int = 0
    epochs: int = 0
    written_late: int = 0


class Faults(NamedTuple):
    """Fault rates in events per second; `lost_messages` is a probability."""

    deaths: float = 0.1
    freezes: float = 0.25
    cuts: float = 0.25
    platform_outages: float = 0.05
    joins: float = 0.3
    leaves: float = 0.1
    lost_messages: float = 0.1


USUAL_FAULTS = Faults()


class HomesSimulation:
    """Simulates the entries of one region from a seed."""

    def __init__(
        self,
        *,
        seed: int,
        faults: Faults = USUAL_FAULTS,
        homes_class: type[Homes] = Homes,
        max_entries: int = 4,
    ) -> None:
        """Creates a run without entries."""
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.counts = Counts()
        self._faults = faults
        self._homes_class = homes_class
        self._max_entries = max_entries
        self._table = EntryTable()
        self._entries: dict[str, Entry] = {}
        self._next_name = 0
        self._messages: list[tuple[float, str, HomesReport]] = []
        self._cut_until_s: dict[frozenset[str], float] = {}
        self._platform_down_until_s = 0.0
        self._running: list[Running] = []

    def run(self, *, seconds: float) -> Counts:
        """Runs up to a simulated time and returns the event counts."""
        while self.now_s < seconds:
            self.now_s += STEP_S
            self._end_requests()
            self._inject_faults()
            self._update_table()
            self._deliver()
            for entry in list(self._entries.values()):
                if entry.frozen_until_s <= self.now_s:
                    self._step(entry)
        return self.counts._replace(epochs=self._table.epoch)

    def _draw_event(self, per_s: float) -> bool:
        return self.random.random() < per_s * STEP_S

    def _count(self, **more: int) -> None:
        values = {}
        for name, value in more.items():
            values[name] = getattr(self.counts, name) + value
        self.counts = self.counts._replace(**values)

    def _end_requests(self) -> None:
        still_running = []
        for running in self._running:
            if running.ends_s > self.now_s:
                still_running.append(running)
        self._running = still_running

    def _inject_faults(self) -> None:
        if self._draw_event(self._faults.platform_outages):
            self._platform_down_until_s = self.now_s + self.random.uniform(
                1.0, 15.0
            )
        names = sorted(self._entries)
        if len(names) < self._max_entries:
            if self._draw_event(self._faults.joins) or not names:
                self._start_new_entry()
        if not names:
            return
        name = self.random.choice(names)
        if self._draw_event(self._faults.deaths):
            self._kill(name)
            return
        if self._draw_event(self._faults.freezes):
            self._count(freezes=1)
            until_s = self.now_s + self.random.choice((0.3, 1.0, 3.0, 8.0))
            self._entries[name].frozen_until_s = until_s
        if self._draw_event(self._faults.cuts):
            pair = frozenset((name, self.random.choice(names)))
            until_s = self.now_s + self.random.uniform(0.5, 8.0)
            self._cut_until_s[pair] = until_s
        if self._draw_event(self._faults.leaves):
            self._entries[name].leaving = True

    def _start_new_entry(self) -> None:
        self._next_name += 1
        self._start(f"e{self._next_name}")

    def _start(self, name: str) -> None:
        self._entries[name] = Entry(
            run=self, name=name, homes_class=self._homes_class
        )

    def _kill(self, name: str) -> None:
        """Kills a process, which restarts at once or is lost with its VM."""
        self._count(deaths=1)
        del self._entries[name]
        if self.random.random() < 0.5:
            self._start(name)

    def _update_table(self) -> None:
        """Applies at most one pending change to the entry table."""
        if (
            self.now_s < self._platform_down_until_s
            or self.random.random() < 0.7
        ):
            return
        for row in self._table.entries:
            if row.name not in self._entries:
                self._table = self._table.without(name=row.name, released=False)
                return
        for entry in self._entries.values():
            if self._update_row(entry):
                return

    def _update_row(self, entry: Entry) -> bool:
        row = self._table.row(name=entry.name)
        if row is None or row.incarnation != entry.incarnation:
            self._table = self._table.with_entry(row=entry.row())
            return True
        if entry.leaving and not row.leaving:
            self._table = self._table.with_leaving(name=entry.name)
            return True
        if not row.leaving or entry.planned:
            return False
        clock_s = entry.clock_s(self.now_s)
        if not entry.homes.has_released_all(now_s=clock_s):
            return False
        self._table = self._table.without(name=entry.name, released=True)
        del self._entries[entry.name]
        return True

    def _deliver(self) -> None:
        waiting = []
        for due_s, name, report in self._messages:
            entry = self._entries.get(name)
            if due_s > self.now_s:
                waiting.append((due_s, name, report))
                continue
            if entry is None:
                continue
            if entry.frozen_until_s > self.now_s:
                # The message stays in the socket until the entry wakes.
                waiting.append((due_s, name, report))
                continue
            entry.homes.record_report(
                report=report, now_s=entry.clock_s(self.now_s)
            )
        self._messages = waiting

    def _send(self, entry: Entry, clock_s: float) -> None:
        for name in sorted(self._entries):
            if name == entry.name:
                continue
            pair = frozenset((name, entry.name))
            if self._cut_until_s.get(pair, 0.0) > self.now_s:
                continue
            report = entry.homes.report_to(peer=name, now_s=clock_s)
            copies = self.random.choice((1, 1, 1, 2))
            for _ in range(copies):
                if self.random.random() < self._faults.lost_messages:
                    continue
                delay_s = self.random.uniform(0.0, 0.1)
                if self.random.random() < 0.05:
                    delay_s = self.random.uniform(0.1, 6.0)
                due_s = self.now_s + delay_s
                self._messages.append((due_s, name, report))

    def _step(self, entry: Entry) -> None:
        clock_s = entry.clock_s(self.now_s)
        if (
            self.now_s >= entry.table_due_s
            and self.now_s > self._platform_down_until_s
        ):
            entry.table_due_s = self.now_s + TABLE_INTERVAL_S
            entry.homes.update_table(table=self._table, now_s=clock_s)
        if self.now_s >= entry.report_due_s:
            entry.report_due_s = self.now_s + REPORT_INTERVAL_S
            self._send(entry, clock_s)
        self._write_planned(entry, clock_s)
        self._end_written(entry, clock_s)
        for _ in range(8):
            self._admit(entry, clock_s)

    def _admit(self, entry: Entry, clock_s: float) -> None:
        timeout_s = self.random.choice((RESERVE_DEADLINE_S, LONG_DEADLINE_S))
        deadline_s = clock_s + timeout_s
        admission = entry.slots.acquire(
            service="s",
            priority=Priority.INTERACTIVE,
            deadline_s=deadline_s,
            now_s=clock_s,
        )
        if isinstance(admission, Admission):
            entry.planned.append(Planned(admission, deadline_s))

    def _write_planned(self, entry: Entry, clock_s: float) -> None:
        """Writes requests admitted in the last step, perhaps after a freeze."""
        for planned in entry.planned:
            if not entry.slots.may_still_run(
                admission=planned.admission, now_s=clock_s
            ):
                entry.slots.release(
                    admission=planned.admission,
                    outcome=Outcome.CANCELLED,
                    now_s=clock_s,
                )
                continue
            self._write(entry, planned, clock_s)
        entry.planned = []

    def _write(self, entry: Entry, planned: Planned, clock_s: float) -> None:
        remaining_s = planned.deadline_s - clock_s
        if remaining_s <= 0.0:
            self._count(written_late=1)
        run_s = remaining_s * self.random.choice((0.1, 0.5, 1.0))
        upstream = planned.admission.upstream
        running = Running(upstream, self.now_s + run_s)
        self._running.append(running)
        entry.written.append(Written(planned.admission, running))
        reserve = planned.admission.ticket.reserve
        self._count(dispatched=1, in_reserve=int(reserve))
        in_flight = 0
        for other in self._running:
            if other.upstream == upstream:
                in_flight += 1
        over_slots = in_flight - UPSTREAM_SLOTS[upstream]
        max_over_slots = max(self.counts.max_over_slots, over_slots)
        self.counts = self.counts._replace(max_over_slots=max_over_slots)

    def _end_written(self, entry: Entry, clock_s: float) -> None:
        still_running = []
        for written in entry.written:
            if written.running.ends_s > self.now_s:
                still_running.append(written)
                continue
            entry.slots.release(
                admission=written.admission,
                outcome=Outcome.ANSWERED,
                now_s=clock_s,
            )
        entry.written = still_running
