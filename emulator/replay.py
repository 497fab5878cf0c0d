"""Plays a load pattern in virtual time with the real decisions of entries.

A minute of load takes seconds, so a policy is judged over many seeds at once.
What is modelled: slots, first-come queues that refuse, objects that are known
or new in a memory of some size, distances, loads that are told a moment late,
callers that come back. What is not: connections, packets, the store, processor
time, coldness.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import NamedTuple

from almondstair.core.choosing import Choice
from almondstair.core.placement_plan import EMPTY_PLAN
from almondstair.core.placement_plan import Planner
from almondstair.core.request_placer import NO_CAPACITY_RETRY_MS
from almondstair.core.request_placer import PlacementRequest
from almondstair.gateway.upstream_connector import CONNECT_TIMEOUT_S
from almondstair.gateway.upstream_connector import FIRST_PROBE_PAUSE_S
from emulator.load_pattern import Kind
from emulator.load_pattern import Pattern
from emulator.load_pattern import Trouble
from emulator.modelled_entry import ATTEMPTS
from emulator.modelled_entry import ModelledEntry
from emulator.modelled_upstream import ModelledUpstream
from emulator.modelled_upstream import Run
from emulator.replay_outcome import Ending
from emulator.replay_outcome import Outcome
from emulator.replay_outcome import Tally

# Pause between two looks at what the pattern's troubles do.
_TROUBLE_STEP_S = 0.1
# Longest part of the time left for which a caller waits as it is told.
_PATIENT_SHARE = 1 / 3
# A caller whose entry is away asks again after this time.
_AWAY_RETRY_S = 0.5
# Steepness of the popularity of keys: the one in place n is asked for n to the
# power of minus this as often as the first.
_POPULARITY = 0.4


class _Request(NamedTuple):
    """A caller's request through all its tries."""

    kind: Kind
    region: str
    key: str
    asked_s: float
    ends_s: float
    retries: int


class _Call(NamedTuple):
    """One try of a caller at an entry."""

    request: _Request
    entry: ModelledEntry
    asked: PlacementRequest


class Replay:
    """One play of a pattern with one seed."""

    def __init__(self, pattern: Pattern, *, seed: int) -> None:
        """Prepares; `play` plays.

        Args:
          pattern: what is played.
          seed: of all chance.
        """
        self._pattern = pattern
        self._draws = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._now_s = 0.0
        self._tally = Tally(warm_up_s=pattern.warm_up_s)
        self._upstreams = self._make_upstreams()
        self._entries = self._make_entries()
        self._planner = Planner()
        self._away = False
        self._generation = 0
        self._going_on: set[int] = set()

    def play(self) -> Outcome:
        """Plays to the end and returns what became of the requests."""
        for kind in self._pattern.kinds:
            self._later(0.0, self._arrivals(kind))
        self._later(self._pattern.told_s, self._tell)
        self._later(0.0, self._strike)
        while self._events:
            at_s, _, work = heapq.heappop(self._events)
            self._now_s = at_s
            work()
        return self._tally.outcome()

    def _later(self, after_s: float, work: Callable[[], None]) -> None:
        event = (self._now_s + after_s, next(self._numbers), work)
        heapq.heappush(self._events, event)

    def _make_upstreams(self) -> dict[str, ModelledUpstream]:
        found = {}
        for service in self._pattern.services:
            for name, region in service.places():
                found[name] = ModelledUpstream(
                    name=name,
                    region=region,
                    service=service,
                    draws=self._draws,
                    later=self._later,
                )
        return found

    def _make_entries(self) -> list[ModelledEntry]:
        names = []
        for region, count in self._pattern.entries.items():
            for number in range(count):
                names.append((f"e-{region}-{number}", region))
        found = []
        for name, region in names:
            entry = ModelledEntry(
                name=name,
                region=region,
                pattern=self._pattern,
                names=[other for other, _ in names],
            )
            found.append(entry)
        return found

    # Callers.

    def _arrivals(self, kind: Kind) -> Callable[[], None]:
        ranks = [(1 + rank) ** -_POPULARITY for rank in range(kind.keys)]
        cumulative = list(itertools.accumulate(ranks))

        def arrive() -> None:
            if self._now_s >= self._pattern.span_s:
                return
            rate_per_s = kind.per_s * self._burst(kind)
            self._later(self._draws.expovariate(rate_per_s), arrive)
            region = self._draws.choice(self._pattern.regions)
            number = self._draws.choices(
                range(kind.keys), cum_weights=cumulative
            )[0]
            key = f"{kind.service}/{region}/{number}/{self._generation}"
            request = _Request(
                kind=kind,
                region=self._shifted(region),
                key=key,
                asked_s=self._now_s,
                ends_s=self._now_s + kind.deadline_s,
                retries=kind.retries,
            )
            self._ask(request)

        return arrive

    def _burst(self, kind: Kind) -> float:
        times = 1.0
        for trouble in self._pattern.troubles:
            if trouble.what == "burst" and trouble.lasts(self._now_s):
                if trouble.kind in ("", kind.name):
                    times *= trouble.times
        return times

    def _shifted(self, region: str) -> str:
        for trouble in self._pattern.troubles:
            if trouble.what != "shift" or not trouble.lasts(self._now_s):
                continue
            if trouble.region == region:
                if self._draws.random() < trouble.share:
                    return trouble.to_region
        return region

    def _ask(self, request: _Request) -> None:
        if self._away:
            self._come_back(request, _AWAY_RETRY_S, Ending.FAILED)
            return
        near = []
        for entry in self._entries:
            if entry.region == request.region:
                near.append(entry)
        entry = self._draws.choice(near)
        asked = PlacementRequest(
            route=entry.routes[request.kind.name],
            service=request.kind.service,
            key=request.key,
            arrived_s=self._now_s,
            deadline_s=request.ends_s,
            tried=[],
        )
        self._place(_Call(request, entry, asked))

    def _come_back(
        self, request: _Request, after_s: float, ending: Ending
    ) -> None:
        left_s = request.ends_s - self._now_s
        if not request.retries or left_s <= 0:
            self._end(request, ending)
            return
        again = request._replace(retries=request.retries - 1)
        after_s = min(after_s, left_s * _PATIENT_SHARE)
        self._later(after_s, lambda: self._ask(again))

    def _end(self, request: _Request, ending: Ending) -> None:
        took_s = self._now_s - request.asked_s
        if ending is Ending.ANSWERED and took_s > request.kind.aim_s:
            ending = Ending.LATE
        if ending is Ending.LATE and self._now_s > request.ends_s:
            ending = Ending.FAILED
        self._tally.note(
            kind=request.kind.name,
            asked_s=request.asked_s,
            took_s=took_s,
            ending=ending,
        )

    # Entries.

    def _place(self, call: _Call) -> None:
        entry = call.entry
        placed = entry.placing.place(call.asked, now_s=self._now_s)
        if placed.choice is not None:
            self._send(call, placed.choice)
            return
        if call.asked.tried or not entry.waits.has_capacity(body_bytes=0):
            self._refuse(call)
            return
        self._wait(call)

    def _wait(self, call: _Call) -> None:
        entry = call.entry
        if not entry.placing.may_wait(call.asked, now_s=self._now_s):
            self._refuse(call)
            return
        waits = entry.waits
        waits.enter(body_bytes=0)

        def look() -> None:
            waits.leave(body_bytes=0)
            self._place(call)

        self._later(waits.attempt_interval_s, look)

    def _refuse(self, call: _Call) -> None:
        self._come_back(
            call.request, NO_CAPACITY_RETRY_MS / 1000, Ending.REFUSED
        )

    def _send(self, call: _Call, choice: Choice) -> None:
        entry, asked = call.entry, call.asked
        state = choice.upstream
        upstream = self._upstreams[state.record.upstream_id]
        sent_s = self._now_s
        entry.placing.record_sent(asked, choice, now_s=sent_s)
        state.record_sent()
        assert isinstance(asked.tried, list)
        asked.tried.append(upstream.name)
        way_s = choice.round_trip_s / 2

        def answer(new: bool) -> None:
            self._later(way_s, lambda: answered(new))

        def answered(new: bool) -> None:
            state.record_ended()
            state.record_response(good=True, now_s=self._now_s)
            entry.placing.record_run(
                asked,
                choice,
                took_s=self._now_s - sent_s,
                now_s=self._now_s,
            )
            self._tally.note_run(
                key=asked.key, upstream=upstream.name, new=new, at_s=sent_s
            )
            self._end(call.request, Ending.ANSWERED)

        def arrive() -> None:
            if upstream.lost:
                self._later(
                    CONNECT_TIMEOUT_S, lambda: self._unreachable(call, choice)
                )
                return
            if not upstream.take(Run(call.request.kind, asked.key, answer)):
                self._later(way_s, lambda: self._shed(call, choice))

        self._later(way_s, arrive)

    def _shed(self, call: _Call, choice: Choice) -> None:
        choice.upstream.record_ended()
        choice.upstream.record_response(good=False, now_s=self._now_s)
        self._try_again(call)

    def _unreachable(self, call: _Call, choice: Choice) -> None:
        state = choice.upstream
        state.record_ended()
        if not state.is_paused():
            upstream = self._upstreams[state.record.upstream_id]
            self._later(
                FIRST_PROBE_PAUSE_S, lambda: self._look(upstream, choice)
            )
        state.record_unreachable()
        call.entry.placing.record_disruption(now_s=self._now_s)
        self._try_again(call)

    def _look(self, upstream: ModelledUpstream, choice: Choice) -> None:
        if not upstream.lost:
            choice.upstream.record_reached()
            return
        if self._now_s < self._pattern.span_s:
            self._later(
                FIRST_PROBE_PAUSE_S, lambda: self._look(upstream, choice)
            )

    def _try_again(self, call: _Call) -> None:
        if len(call.asked.tried) >= ATTEMPTS:
            self._refuse(call)
            return
        self._place(call)

    def _tell(self) -> None:
        """Tells every entry what all have at each upstream, and the plan."""
        own = {entry.name: entry.loads() for entry in self._entries}
        total: dict[int, int] = {}
        for loads in own.values():
            for name, count in loads.items():
                total[name] = total.get(name, 0) + count
        self._planner.update(
            services=self._entries[0].takers(), now_s=self._now_s
        )
        plan = self._planner.plan
        places = []
        for entry in self._entries:
            places += entry.places.locations_to_report(now_s=self._now_s)

        def hear() -> None:
            for entry in self._entries:
                entry.hear(total, own[entry.name], plan)
                entry.places.apply_reported(places, now_s=self._now_s)

        self._later(self._pattern.told_s, hear)
        if self._now_s < self._pattern.span_s:
            self._later(self._pattern.told_s, self._tell)

    # Troubles.

    def _strike(self) -> None:
        """Begins and ends what the pattern has for this moment."""
        for number, trouble in enumerate(self._pattern.troubles):
            lasts = trouble.lasts(self._now_s)
            if lasts == (number in self._going_on):
                continue
            if lasts:
                self._going_on.add(number)
            else:
                self._going_on.discard(number)
            self._change(trouble, begins=lasts)
        if self._now_s < self._pattern.span_s:
            self._later(_TROUBLE_STEP_S, self._strike)

    def _change(self, trouble: Trouble, *, begins: bool) -> None:
        if trouble.what == "new_objects":
            self._generation += begins
        elif trouble.what == "restart":
            self._restart(begins)
        elif trouble.what == "evacuated":
            self._evacuate(trouble.region, begins)
        elif trouble.what == "lost":
            self._lose(trouble, begins)
        elif trouble.what == "slow":
            for upstream in self._struck(trouble):
                upstream.slow_times = trouble.times if begins else 1.0

    def _struck(self, trouble: Trouble) -> list[ModelledUpstream]:
        fitting = []
        for upstream in self._upstreams.values():
            if trouble.service not in ("", upstream.service):
                continue
            if trouble.region not in ("", upstream.region):
                continue
            fitting.append(upstream)
        return fitting[: round(trouble.share * len(fitting))]

    def _lose(self, trouble: Trouble, begins: bool) -> None:
        for upstream in self._struck(trouble):
            if begins:
                upstream.lose()
            else:
                upstream.lost = False

    def _evacuate(self, region: str, begins: bool) -> None:
        for entry in self._entries:
            if begins:
                entry.evacuate(region, now_s=self._now_s)
            else:
                entry.take_back(region, now_s=self._now_s)

    def _restart(self, begins: bool) -> None:
        self._away = begins
        if begins:
            for entry in self._entries:
                entry.restart()
            self._planner.set_plan(EMPTY_PLAN)
