"""A seeded simulation of the entries of one availability zone.

Only the core runs, without sockets or real time. True time is separate from
the clock of each entry, which has its own offset and speed.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import NamedTuple

from almondstair.core.links import LinkShare
from almondstair.core.loans import Loan
from almondstair.core.loans import LoanRequest

LINK = "zone-1>region-2"
CLOCK_SPEED_SPREAD = 0.002
STEP_INTERVAL_S = 0.01
HEARTBEAT_INTERVAL_S = 0.1
CHUNK_BYTES = 65536


class Faults(NamedTuple):
    """Holds faults as probabilities and mean times between events.

    Attributes:
      loss: probability that a message is lost.
      duplicate: probability that it is delivered twice.
      late: probability that it is delivered up to `latest_s` late.
      latest_s: longest delay of a message.
      freeze_mean_s: mean time between freezes, each up to `latest_s` long.
      change_mean_s: mean time between removals, restarts and new entries.
      platform_s: longest time until a new process reads the table.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    late: float = 0.0
    latest_s: float = 3.0
    freeze_mean_s: float = 0.0
    change_mean_s: float = 0.0
    platform_s: float = 1.0


class Acknowledgement(NamedTuple):
    """The part of a heartbeat that link shares need."""

    entry: str
    epoch: int


class Table(NamedTuple):
    """An entry table as an entry receives it."""

    epoch: int
    entries: tuple[str, ...]
    from_platform: bool


class Moved(NamedTuple):
    """Bytes that an entry sent over the link at a true time."""

    at_s: float
    name: str
    size_bytes: int


class Process:
    """An entry process with its own clock."""

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        cap: int,
        now_s: float,
        speed: float,
    ) -> None:
        """Starts a process at true time `now_s`."""
        self.name = name
        self.alive = True
        self.frozen_until_s = 0.0
        self.timers_late = False
        self.demand_bytes_per_s = 0.0
        self.backlog_bytes = 0.0
        self.stepped_s = now_s
        self._speed = speed
        self._offset_s = incarnation * 1000.0
        self.share = LinkShare(
            link=LINK,
            entry_name=name,
            incarnation=incarnation,
            cap_bytes_per_s=cap,
            now_s=self.clock_s(now_s),
        )

    def clock_s(self, now_s: float) -> float:
        """Returns the reading of this process's monotonic clock."""
        return self._offset_s + now_s * self._speed


class SimulatedZone:
    """Simulates the entries and records every byte sent over the link."""

    def __init__(
        self, *, seed: int, entries: int, cap_bytes_per_s: int, faults: Faults
    ) -> None:
        """Creates a zone whose table lists all of its entries."""
        self._random = random.Random(seed)
        self._cap = cap_bytes_per_s
        self._faults = faults
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self._names = itertools.count(1)
        self.now_s = 0.0
        self.moved: list[Moved] = []
        self.processes: dict[str, Process] = {}
        names = []
        for _ in range(entries):
            names.append(f"entry-{next(self._names)}")
        self._table = Table(1, tuple(names), True)
        self._older_table = self._table
        for name in names:
            self._start(name)
        if faults.freeze_mean_s:
            self._schedule_random(
                faults.freeze_mean_s, self._freeze_random_entry
            )
        if faults.change_mean_s:
            self._schedule_random(
                faults.change_mean_s, self._change_random_entry
            )

    def run(self, *, until_s: float) -> None:
        """Runs all events up to a true time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s

    def moved_since(self, *, since_s: float, name: str = "") -> int:
        """Returns the bytes sent since a true time, by one entry or all."""
        total = 0
        for moved in self.moved:
            if moved.at_s < since_s:
                continue
            if name in ("", moved.name):
                total += moved.size_bytes
        return total

    def busiest_second_bytes(self) -> int:
        """Returns the largest number of bytes within one second."""
        busiest = 0
        in_window = 0
        first = 0
        for moved in self.moved:
            in_window += moved.size_bytes
            while self.moved[first].at_s <= moved.at_s - 1.0:
                in_window -= self.moved[first].size_bytes
                first += 1
            busiest = max(busiest, in_window)
        return busiest

    def vary_demand(self) -> None:
        """Changes the demand of every entry at random times from now on."""
        for process in self.processes.values():
            level = self._random.choice((0.0, 0.0, 0.02, 0.3, 2.0))
            process.demand_bytes_per_s = self._cap * level
        self._schedule_random(2.0, self.vary_demand)

    def restart(self, name: str) -> None:
        """Kills the process of an entry and starts another under its name."""
        self.processes[name].alive = False
        self._start(name)

    def freeze(self, name: str, *, length_s: float) -> None:
        """Suspends a process; messages wait until it wakes."""
        self.processes[name].frozen_until_s = self.now_s + length_s

    # Processes.

    def _start(self, name: str) -> None:
        spread = CLOCK_SPEED_SPREAD
        process = Process(
            name=name,
            incarnation=next(self._incarnations),
            cap=self._cap,
            now_s=self.now_s,
            speed=self._random.uniform(1 - spread, 1 + spread),
        )
        self.processes[name] = process
        self._step(process)
        self._send_heartbeats(process)
        # A restarted entry may first receive an outdated table from a peer.
        outdated = self._older_table._replace(from_platform=False)
        self._schedule(0.01, lambda: self._deliver(process, outdated))
        self._schedule(
            self._random.uniform(0.02, self._faults.platform_s),
            lambda: self._deliver(process, self._table),
        )

    def _step(self, process: Process) -> None:
        if not process.alive:
            return
        if self.now_s < process.frozen_until_s:
            wake_s = process.frozen_until_s - self.now_s
            self._schedule(wake_s, lambda: self._step(process))
            return
        self._send_bytes(process)
        if not process.timers_late:
            clock_s = process.clock_s(self.now_s)
            for request in process.share.next_loan_requests(now_s=clock_s):
                self._send(request.lender, request)
        delay_s = self._random.uniform(0.2, 1.8) * STEP_INTERVAL_S
        self._schedule(delay_s, lambda: self._step(process))

    def _send_bytes(self, process: Process) -> None:
        elapsed_s = self.now_s - process.stepped_s
        process.stepped_s = self.now_s
        process.backlog_bytes += process.demand_bytes_per_s * elapsed_s
        process.backlog_bytes = min(process.backlog_bytes, 2.0 * self._cap)
        clock_s = process.clock_s(self.now_s)
        while process.backlog_bytes >= 1.0:
            wanted = min(CHUNK_BYTES, int(process.backlog_bytes))
            part = process.share.acquire_part(size_bytes=wanted, now_s=clock_s)
            if part.size_bytes == 0:
                return
            process.backlog_bytes -= part.size_bytes
            self.moved.append(Moved(self.now_s, process.name, part.size_bytes))

    def _send_heartbeats(self, process: Process) -> None:
        if not process.alive:
            return
        awake = self.now_s >= process.frozen_until_s
        if awake and not process.timers_late:
            clock_s = process.clock_s(self.now_s)
            epoch = process.share.acknowledged_epoch(now_s=clock_s)
            for name in tuple(self.processes):
                self._send(name, Acknowledgement(process.name, epoch))
        self._schedule(
            HEARTBEAT_INTERVAL_S, lambda: self._send_heartbeats(process)
        )

    # Messages.

    def _send(
        self, name: str, message: LoanRequest | Loan | Acknowledgement
    ) -> None:
        copies = 1
        if self._random.random() < self._faults.loss:
            copies = 0
        if self._random.random() < self._faults.duplicate:
            copies += 1
        for _ in range(copies):
            delay_s = self._random.uniform(0.0003, 0.002)
            if self._random.random() < self._faults.late:
                delay_s = self._random.uniform(0.0, self._faults.latest_s)
            self._schedule(delay_s, lambda: self._deliver_to(name, message))

    def _deliver_to(
        self, name: str, message: LoanRequest | Loan | Acknowledgement
    ) -> None:
        process = self.processes.get(name)
        if process is not None:
            self._deliver(process, message)

    def _deliver(
        self,
        process: Process,
        message: LoanRequest | Loan | Acknowledgement | Table,
    ) -> None:
        if not process.alive:
            return
        if self.now_s < process.frozen_until_s:
            wake_s = process.frozen_until_s - self.now_s
            self._schedule(wake_s, lambda: self._deliver(process, message))
            return
        clock_s = process.clock_s(self.now_s)
        share = process.share
        if isinstance(message, Table):
            share.apply_table(
                epoch=message.epoch,
                entries=message.entries,
                from_platform=message.from_platform,
                now_s=clock_s,
            )
        elif isinstance(message, Acknowledgement):
            share.record_acknowledgement(
                entry=message.entry, epoch=message.epoch, now_s=clock_s
            )
        elif isinstance(message, LoanRequest):
            loan = share.lend(request=message, now_s=clock_s)
            if loan is not None:
                self._send(loan.borrower, loan)
        else:
            share.accept(loan=message, now_s=clock_s)

    # Faults and changes.

    def _freeze_random_entry(self) -> None:
        name = self._random.choice(list(self.processes))
        length_s = self._random.uniform(0.05, self._faults.latest_s)
        self.freeze(name, length_s=length_s)
        self._schedule_random(
            self._faults.freeze_mean_s, self._freeze_random_entry
        )

    def _change_random_entry(self) -> None:
        name = self._random.choice(list(self.processes))
        kind = self._random.choice(("restart", "gone", "new"))
        if kind == "new":
            name = f"entry-{next(self._names)}"
            self._publish((*self._table.entries, name))
            self._start(name)
        elif kind == "restart":
            self.restart(name)
        elif len(self.processes) > 1:
            self.processes.pop(name).alive = False
            remaining = list(self._table.entries)
            remaining.remove(name)
            self._publish(tuple(remaining))
        self._schedule_random(
            self._faults.change_mean_s, self._change_random_entry
        )

    def _publish(self, entries: tuple[str, ...]) -> None:
        self._older_table = self._table
        self._table = Table(self._table.epoch + 1, entries, True)
        table = self._table
        for process in tuple(self.processes.values()):
            self._schedule(
                self._random.uniform(0.0, 2.0),
                lambda process=process: self._deliver(process, table),
            )

    # Time.

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def _schedule_random(
        self, mean_s: float, action: Callable[[], None]
    ) -> None:
        self._schedule(self._random.expovariate(1.0 / mean_s), action)
