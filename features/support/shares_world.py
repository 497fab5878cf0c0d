"""Entries that divide a service among organisations, in virtual time.

The entries exchange their real messages. Upstreams run requests in their slots
and queue them; entries send to the least loaded upstream that they know of.
"""

from collections import Counter
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from almondstair.core.fair_shares import ShareChange
from almondstair.core.fair_shares import ShareRequest
from almondstair.core.upstream_state import UpstreamRecord
from features.support.load_exchange_world import BETWEEN_REGIONS_S
from features.support.load_exchange_world import BETWEEN_ZONES_S
from features.support.load_exchange_world import LoadExchangeWorld
from features.support.load_exchange_world import Member

LINK_MBPS = 100.0
SERVICE = "s"
SLOTS = 9
# Requests that an upstream queues, and the longest queue that entries join, as
# parts of its slots.
QUEUE_PART = 3.0
JOINED_QUEUE_PART = 1.0
# Upstreams of which an entry uses the least loaded one.
COMPARED = 3
# How long a request waits for an upstream at its entry, and how often the entry
# tries to send it.
LONGEST_WAIT_S = 0.4
POLL_S = 0.05
SHORTEST_RUN_S = 0.2
LONGEST_RUN_S = 0.8
MEAN_RUN_S = (SHORTEST_RUN_S + LONGEST_RUN_S) / 2
# When refused callers return.
RETRY_S = 0.15


class Caller(NamedTuple):
    """The requests of an organisation.

    Attributes:
      organisation: its name.
      per_s: requests per second, by the time on the virtual clock.
      priority: their priority.
      entries: names of the entries that they reach; empty for all.
      is_recognised: whether retries are recognised as such.
    """

    organisation: str
    per_s: Callable[[float], float]
    priority: int = 0
    entries: tuple[str, ...] = ()
    is_recognised: bool = False


class Outcome(NamedTuple):
    """The end of a caller's request.

    Attributes:
      organisation: its organisation.
      priority: its priority.
      began_s: time of its first attempt, on the virtual clock.
      served: whether an upstream answered.
      attempts: attempts of the caller.
      reasons: why attempts were refused.
    """

    organisation: str
    priority: int
    began_s: float
    served: bool
    attempts: int
    reasons: tuple[str, ...]


class Upstream:
    """Runs requests in its slots; queues others in their order."""

    def __init__(self, world: "SharesWorld") -> None:
        """Starts without requests."""
        self._world = world
        self._queue: deque[Callable[[], None]] = deque()
        self.running = 0

    def receive(self, done: Callable[[bool], None]) -> None:
        """Runs a request, now or later; calls `done` with whether it ran."""
        if self.running < SLOTS:
            self._run(done)
            return
        if len(self._queue) >= QUEUE_PART * SLOTS:
            done(False)
            return
        self._queue.append(lambda: self._run(done))

    def _run(self, done: Callable[[bool], None]) -> None:
        self.running += 1
        world = self._world
        run_s = world.draws.uniform(SHORTEST_RUN_S, LONGEST_RUN_S)
        run_s *= world.slowness
        began_s = world.now_s

        def end() -> None:
            self.running -= 1
            world.runs.append((began_s, run_s))
            if self._queue:
                self._queue.popleft()()
            done(True)

        world.schedule(run_s, end)


class SharesWorld(LoadExchangeWorld):
    """Simulates entries, the upstreams of one service, and callers.

    Attributes:
      outcomes: ends of callers' requests.
      runs: beginning and length of each run, in seconds.
      changes: changes of shares by the name of the entry.
      decisions: each attempt's entry and whether it was within its share.
      slowness: factor of run times.
      report_delay_s: time that messages take in addition.
      inactive: names of entries without the part.
    """

    def __init__(
        self,
        *,
        entries: int,
        zones: int,
        upstreams: int,
        inactive: Iterable[str] = (),
        report_delay_s: float = 0.0,
    ) -> None:
        """Creates entries that know each other.

        Args:
          entries: number of entries.
          zones: number of availability zones.
          upstreams: number of upstreams.
          inactive: names of entries without the part.
          report_delay_s: time that messages take in addition.
        """
        self.outcomes: list[Outcome] = []
        self.runs: list[tuple[float, float]] = []
        self.changes: dict[str, list[tuple[float, ShareChange]]] = {}
        self.decisions: list[tuple[float, str, str, bool]] = []
        self.slowness = 1.0
        self.report_delay_s = report_delay_s
        self.inactive = set(inactive)
        self.stopped_names: set[str] = set()
        super().__init__(
            entries=entries,
            zones=zones,
            upstreams=upstreams,
            link_mbps=LINK_MBPS,
        )
        self.upstreams = {name: Upstream(self) for name in self.names}
        for member in self.members.values():
            self.prepare(member)

    def prepare(self, member: Member) -> None:
        """Switches the part on at an entry that has it."""
        name = member.name
        changes = self.changes.setdefault(name, [])
        member.shares.is_active = lambda: name not in self.inactive
        member.shares.on_change = lambda change: changes.append(
            (self.now_s, change)
        )

    def _make_records(self) -> list[UpstreamRecord]:
        records = super()._make_records()
        return [record._replace(slots=SLOTS) for record in records]

    @property
    def slots(self) -> int:
        """Returns the slots of all upstreams."""
        return SLOTS * len(self.names)

    @property
    def capacity_per_s(self) -> float:
        """Returns the requests per second that all slots can run."""
        return self.slots / MEAN_RUN_S

    def deliver_datagram(self, sender: str, receiver: str, data: bytes) -> None:
        """Delivers a datagram after the additional time."""
        deliver = super().deliver_datagram
        if not self.report_delay_s:
            deliver(sender, receiver, data)
            return
        self.schedule(
            self.report_delay_s, lambda: deliver(sender, receiver, data)
        )

    def restart(self, name: str) -> None:
        """Ends an entry's process and starts another, which knows nothing."""
        old = self.members[name]
        [entry] = [one for one in self._registered if one.name == name]
        self.stopped.add(id(old.load_exchange))
        self._add_entry(entry)
        self.prepare(self.members[name])
        self._start_exchange(self.members[name])

    def stop(self, name: str) -> None:
        """Ends an entry's process; its registration lasts."""
        self.stopped.add(id(self.members[name].load_exchange))
        self.stopped_names.add(name)
        self.partitioned.add(name)

    # Callers.

    def call(self, caller: Caller, *, for_s: float) -> None:
        """Schedules the requests of an organisation for a time span."""
        end_s = self.now_s + for_s

        def send_next() -> None:
            if self.now_s >= end_s:
                return
            per_s = caller.per_s(self.now_s)
            if per_s:
                self._attempt(caller, self.now_s, ())
            gap_s = self.draws.expovariate(per_s) if per_s else 0.1
            self.schedule(gap_s, send_next)

        self.schedule(self.draws.random() * 0.1, send_next)

    def _attempt(
        self, caller: Caller, began_s: float, reasons: tuple[str, ...]
    ) -> None:
        names = caller.entries or tuple(self.members)
        name = self.draws.choice(names)
        while name in self.stopped_names:
            name = self.draws.choice(names)
        member = self.members[name]

        def end(reason: str) -> None:
            if not reason or reasons:
                found = (*reasons, reason) if reason else reasons
                self.outcomes.append(
                    Outcome(
                        caller.organisation,
                        caller.priority,
                        began_s,
                        not reason,
                        len(reasons) + 1,
                        found,
                    )
                )
                return
            self.schedule(
                RETRY_S, lambda: self._attempt(caller, began_s, (reason,))
            )

        if name not in self.inactive:
            decision = member.shares.acquire(
                ShareRequest(
                    SERVICE,
                    caller.organisation,
                    caller.priority,
                    has_returned=bool(reasons) and caller.is_recognised,
                ),
                now_s=self.now_s,
            )
            self.decisions.append(
                (self.now_s, name, caller.organisation, decision.admitted)
            )
            if not decision.admitted:
                end("over_fair_share")
                return
        self._send(member, end)

    def _send(
        self, member: Member, end: Callable[[str], None], waited_s: float = 0.0
    ) -> None:
        state = self._choose(member)
        if state is None:
            if waited_s >= LONGEST_WAIT_S:
                self._refuse(member, end)
                return
            self.schedule(
                POLL_S, lambda: self._send(member, end, waited_s + POLL_S)
            )
            return
        state.in_flight += 1
        one_way_s = BETWEEN_ZONES_S
        if state.region != member.region:
            one_way_s = BETWEEN_REGIONS_S

        def respond(ran: bool) -> None:
            state.in_flight -= 1
            if not ran:
                self._refuse(member, end)
                return
            if member.name not in self.inactive:
                member.shares.record_answered(SERVICE, now_s=self.now_s)
            end("")

        def done(ran: bool) -> None:
            self.schedule(one_way_s, lambda: respond(ran))

        upstream = self.upstreams[state.record.upstream_id]
        self.schedule(one_way_s, lambda: upstream.receive(done))

    def _choose(self, member: Member) -> Any:
        """Returns the least loaded of some upstreams; None if all are full."""
        chosen, least = None, SLOTS * (1.0 + JOINED_QUEUE_PART)
        for name in self.draws.sample(self.names, COMPARED):
            state = self.state(member, name)
            load = state.estimated_load(
                now_s=self.now_s,
                peer_loads_complete=member.fleet.peer_loads_complete,
            )
            if load < least:
                chosen, least = state, load
        return chosen

    def _refuse(self, member: Member, end: Callable[[str], None]) -> None:
        if member.name not in self.inactive:
            member.shares.record_refused(SERVICE, now_s=self.now_s)
        end("no_slot")

    # Figures.

    def served_part(
        self,
        organisations: Iterable[str],
        *,
        from_s: float,
        to_s: float,
        priority: int | None = None,
    ) -> float:
        """Returns the part of the callers of a time span that were served."""
        names = set(organisations)
        counts: Counter[bool] = Counter()
        for outcome in self.outcomes:
            if outcome.organisation not in names:
                continue
            if priority not in (None, outcome.priority):
                continue
            if from_s <= outcome.began_s < to_s:
                counts[outcome.served] += 1
        return counts[True] / max(1, counts.total())

    def used_part(self, *, from_s: float, to_s: float) -> float:
        """Returns the part of the slots that ran requests in a time span."""
        busy_s = 0.0
        for began_s, run_s in self.runs:
            overlap_s = min(to_s, began_s + run_s) - max(from_s, began_s)
            busy_s += max(0.0, overlap_s)
        return busy_s / (self.slots * (to_s - from_s))
