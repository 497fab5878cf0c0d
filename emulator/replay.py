"""Replays a load pattern in virtual time with the real placement code.

A minute of load takes seconds, so a policy can be evaluated over many seeds.
The model covers slots, bounded FIFO queues that refuse, bounded caches of
objects, latency between regions, delayed load reports and retries of callers.
It does not cover connections, packets, the store, CPU time or cold starts.
"""

from collections.abc import Callable, Mapping
import heapq
import itertools
import random
from typing import NamedTuple

from almondstair.core.caller_ages import has_returned
from almondstair.core.choosing import Choice
from almondstair.core.limit_reports import ReportedLimits
from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import PartMode
from almondstair.core.placement_plan import EMPTY_PLAN
from almondstair.core.placement_plan import Planner
from almondstair.core.region_reports import region_hash
from almondstair.core.registered_entries import Entry
from almondstair.core.relay_selection import RelaySelector
from almondstair.core.request_placer import NO_CAPACITY_RETRY_MS
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.return_times import ReturnBasis
from almondstair.core.return_times import ReturnDecision
from almondstair.core.return_times import ReturnRequest
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.core.upstream_limits import LimitStatement
from almondstair.core.upstream_state import LeavingSource
from almondstair.core.upstream_state import UpstreamState
from almondstair.core.use_counts import FleetCounts
from almondstair.core.use_counts import MemberDifferences
from almondstair.core.use_counts import UseSums
from almondstair.gateway.upstream_connector import CONNECT_TIMEOUT_S
from almondstair.gateway.upstream_connector import FIRST_PROBE_PAUSE_S
from almondstair.platform import headers as names
from almondstair.platform import statements as platform_statements
from emulator.load_pattern import Disturbance
from emulator.load_pattern import Kind
from emulator.load_pattern import Pattern
from emulator.modelled_entry import MAX_ATTEMPTS
from emulator.modelled_entry import ModelledEntry
from emulator.modelled_upstream import ModelledUpstream
from emulator.modelled_upstream import Run
from emulator.replay_outcome import Ending
from emulator.replay_outcome import Outcome
from emulator.replay_outcome import RestAsked
from emulator.replay_outcome import Tally
from emulator.replay_waits import ReplayWaits
from emulator.replay_waits import WaitingCall
from emulator.speed_turns import SpeedTurns

_DISTURBANCE_CHECK_INTERVAL_S = 0.1
# Maximum share of the remaining time that a caller waits before a retry.
_MAX_RETRY_WAIT_SHARE = 1 / 3
# Number of different ids of requests.
_REQUEST_IDS = 1 << 32
# Delay before a caller's retry while all entries are down.
_ENTRIES_DOWN_RETRY_S = 0.5
# The n-th most popular key is requested n ** -_ZIPF_EXPONENT times as often as
# the most popular one.
_ZIPF_EXPONENT = 0.4


# Endings with a response that the caller waited for.
_SERVED = (Ending.ANSWERED, Ending.LATE)


class _Request(NamedTuple):
    """A caller's request over all its attempts."""

    kind: Kind
    region: str
    key: str
    started_s: float
    deadline_s: float
    retries_left: int
    # What the return time rests on with which it returns, if it does as told.
    told: ReturnBasis | None = None


class _Call(WaitingCall):
    """One attempt of a caller at an entry."""

    def __init__(
        self,
        request: _Request,
        entry: ModelledEntry,
        placement_request: PlacementRequest,
        caller_age_s: float,
    ) -> None:
        super().__init__(
            entry=entry,
            placement_request=placement_request,
            caller_age_s=caller_age_s,
        )
        self.request = request


class Replay:
    """A replay of a pattern with one seed."""

    def __init__(
        self,
        pattern: Pattern,
        *,
        seed: int,
        modes: Mapping[OverloadPart, PartMode] | None = None,
    ) -> None:
        """Creates the upstreams and entries of the pattern.

        Args:
          pattern: the load pattern.
          seed: seed of all random choices.
          modes: modes of the parts for overload; by default as called for.
        """
        self._modes = modes
        self._pattern = pattern
        self._seed = seed
        self._rng = random.Random(seed)
        # Draws of its own keep all other random choices as they are.
        self._patience_rng = random.Random(f"{seed}/patience")
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._now_s = 0.0
        self._tally = Tally(warm_up_s=pattern.warm_up_s)
        self._upstreams = self._make_upstreams()
        self._entries = self._make_entries()
        self._planner = Planner()
        self._region_counts: dict[str, FleetCounts] = {}
        for region in pattern.regions:
            self._region_counts[region] = FleetCounts(own_name=region)
        self._limit_sums = UseSums()
        self._limit_differences = MemberDifferences()
        self._entries_down = False
        self._cut_off: set[str] = set()
        self._registered = [
            Entry(entry.name, "", "", entry.region, entry.region, relays="r")
            for entry in self._entries
        ]
        self._key_generation = 0
        self._active_disturbances: set[int] = set()
        self._waits = ReplayWaits(
            schedule=self._schedule,
            now_s=lambda: self._now_s,
            send=self._send,
            refuse=self._refuse,
        )

    def run(self) -> Outcome:
        """Runs the replay to its end and returns the outcome."""
        for kind in self._pattern.kinds:
            self._schedule(0.0, self._arrival_process(kind))
        self._schedule(self._pattern.told_s, self._exchange_loads)
        self._schedule(0.0, self._update_disturbances)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            self._now_s = at_s
            action()
        return self._tally.outcome()

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        event = (self._now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def _make_upstreams(self) -> dict[str, ModelledUpstream]:
        upstreams = {}
        for service in self._pattern.services:
            for name, region in service.upstream_locations():
                upstreams[name] = ModelledUpstream(
                    name=name,
                    region=region,
                    service=service,
                    rng=self._rng,
                    schedule=self._schedule,
                )
        return upstreams

    def _make_entries(self) -> list[ModelledEntry]:
        locations = []
        for region, count in self._pattern.entries.items():
            for number in range(count):
                locations.append((f"e-{region}-{number}", region))
        entries = []
        for name, region in locations:
            entry = ModelledEntry(
                name=name,
                region=region,
                pattern=self._pattern,
                names=[other for other, _ in locations],
                modes=self._modes,
            )
            entries.append(entry)
        return entries

    # Callers.

    def _arrival_process(self, kind: Kind) -> Callable[[], None]:
        weights = [(1 + rank) ** -_ZIPF_EXPONENT for rank in range(kind.keys)]
        cumulative = list(itertools.accumulate(weights))

        def arrive() -> None:
            if self._now_s >= self._pattern.span_s:
                return
            rate_per_s = kind.per_s * self._load_factor(kind)
            self._schedule(self._rng.expovariate(rate_per_s), arrive)
            region = self._rng.choice(self._pattern.regions)
            number = self._rng.choices(
                range(kind.keys), cum_weights=cumulative
            )[0]
            key = f"{region}/{number}/{self._key_generation}"
            patience = self._patience_rng.uniform(
                self._pattern.least_patience, 1.0
            )
            request = _Request(
                kind=kind,
                region=self._pick_region(region),
                key=key,
                started_s=self._now_s,
                deadline_s=self._now_s + patience * kind.deadline_s,
                retries_left=kind.retries,
            )
            self._submit(request)

        return arrive

    def _load_factor(self, kind: Kind) -> float:
        factor = 1.0
        for disturbance in self._pattern.troubles:
            if disturbance.what == "burst" and disturbance.is_active(
                self._now_s
            ):
                if disturbance.kind in ("", kind.name):
                    factor *= disturbance.times
        return factor

    def _pick_region(self, region: str) -> str:
        for disturbance in self._pattern.troubles:
            if disturbance.what != "shift" or not disturbance.is_active(
                self._now_s
            ):
                continue
            if disturbance.region == region:
                if self._rng.random() < disturbance.share:
                    return disturbance.to_region
        return region

    def _submit(self, request: _Request) -> None:
        if self._entries_down:
            self._retry_or_finish(request, _ENTRIES_DOWN_RETRY_S, Ending.FAILED)
            return
        local_entries = []
        for entry in self._entries:
            if entry.region == request.region:
                local_entries.append(entry)
        entry = self._rng.choice(local_entries)
        if entry.name in self._cut_off:
            relaying = self._relaying_entry(entry, request)
            if relaying is None:
                retry_after_s = NO_CAPACITY_RETRY_MS / 1000
                self._retry_or_finish(request, retry_after_s, Ending.REFUSED)
                return
            entry = relaying
        caller_age_s = entry.caller_age_s(
            request.kind,
            stated_s=request.deadline_s - self._now_s,
            now_s=self._now_s,
        )
        placement_request = PlacementRequest(
            route=entry.routes[request.kind.name],
            service=request.kind.service,
            key=request.key,
            arrived_s=self._now_s,
            deadline_s=request.deadline_s,
            tried=[],
            limit_refusals=LimitRefusals(),
            max_queue_runs=entry.max_queue_runs(
                request.kind, now_s=self._now_s
            ),
            leaves_regions=entry.leaves_regions,
            has_returned=has_returned(caller_age_s),
        )
        self._place(_Call(request, entry, placement_request, caller_age_s))

    def _relaying_entry(
        self, entry: ModelledEntry, request: _Request
    ) -> ModelledEntry | None:
        """Returns the entry through which a cut off one sends a request.

        Requests in flight between two entries are not modelled.
        """
        selector = RelaySelector(
            own_name=entry.name,
            own_region=entry.region,
            own_zone=entry.region,
        )
        number = self._rng.randrange(_REQUEST_IDS)
        found = selector.select(
            self._registered,
            cut_off=self._cut_off,
            tried=(),
            allowed_regions=(),
            request_id=b"%d" % number,
            now_s=self._now_s,
        )
        for other in self._entries:
            if found is not None and other.name == found.name:
                return other
        return None

    def _retry_or_finish(
        self,
        request: _Request,
        delay_s: float,
        ending: Ending,
        *,
        told: ReturnBasis | None = None,
    ) -> None:
        left_s = request.deadline_s - self._now_s
        if not request.retries_left or left_s <= 0:
            self._finish(request, ending)
            return
        if request.kind.hasty_s:
            delay_s, told = request.kind.hasty_s, None
        retry = request._replace(
            retries_left=request.retries_left - 1, told=told
        )
        if told is not None:
            self._tally.record_told(
                request.kind.name, basis=str(told), started_s=request.started_s
            )
        delay_s = min(delay_s, left_s * _MAX_RETRY_WAIT_SHARE)
        self._schedule(delay_s, lambda: self._submit(retry))

    def _finish(self, request: _Request, ending: Ending) -> None:
        latency_s = self._now_s - request.started_s
        if ending is Ending.ANSWERED and latency_s > request.kind.aim_s:
            ending = Ending.LATE
        if ending is Ending.LATE and self._now_s > request.deadline_s:
            ending = Ending.FAILED
        if request.told is not None and ending in _SERVED:
            self._tally.record_served_return(
                request.kind.name,
                basis=str(request.told),
                started_s=request.started_s,
            )
        self._tally.record_request(
            kind=request.kind.name,
            started_s=request.started_s,
            latency_s=latency_s,
            ending=ending,
        )

    # Entries.

    def _place(self, call: _Call) -> None:
        entry = call.entry
        if entry.ordered_waits:
            self._waits.submit(call)
            return
        placed = entry.placer.place(call.placement_request, now_s=self._now_s)
        if placed.choice is not None:
            self._send(call, placed.choice)
            return
        excluded = placed.excluded_regions
        if call.placement_request.tried or not entry.queue.has_capacity(
            body_bytes=0
        ):
            self._refuse(call)
            return
        if not entry.placer.may_wait(
            call.placement_request,
            excluded_regions=excluded,
            now_s=self._now_s,
        ):
            self._refuse(call)
            return
        self._wait_at_entry(call)

    def _wait_at_entry(self, call: _Call) -> None:
        entry = call.entry
        queue = entry.queue
        queue.enter(body_bytes=0)

        def place_again() -> None:
            queue.leave(body_bytes=0)
            self._place(call)

        self._schedule(queue.attempt_interval_s, place_again)

    def _refuse(self, call: _Call) -> None:
        told: ReturnBasis | None = None
        refusals = call.placement_request.limit_refusals
        placer = call.entry.placer
        opens_s = placer.rest_ends_s(call.placement_request, now_s=self._now_s)
        if opens_s is not None:
            returns_s = placer.assign_return_s(
                call.placement_request, opens_s=opens_s
            )
            retry_after_s = returns_s - self._now_s
        elif call.entry.placer.limits_refuse(
            call.placement_request, excluded_regions=frozenset()
        ):
            retry_after_s = refusals.retry_after_s
        else:
            decision = self._decide_return(call)
            # Callers that are told no time return at once.
            retry_after_s = (decision.retry_after_ms or 0) / 1000
            told = decision.basis
        self._retry_or_finish(
            call.request, retry_after_s, Ending.REFUSED, told=told
        )

    def _decide_return(self, call: _Call) -> ReturnDecision:
        kind = call.request.kind
        return call.entry.returns.decide(
            ReturnRequest(
                service=kind.service,
                route=kind.name,
                priority=kind.priority,
                target_latency_s=kind.aim_s,
                caller_left_s=call.request.deadline_s - self._now_s,
                has_returned=call.placement_request.has_returned,
            ),
            now_s=self._now_s,
        )

    def _send(self, call: _Call, choice: Choice) -> None:
        entry, placement_request = call.entry, call.placement_request
        state = choice.upstream
        upstream = self._upstreams[state.record.upstream_id]
        sent_s = self._now_s
        entry.placer.record_sent(placement_request, choice, now_s=sent_s)
        self._tally.record_sent(entry.name, upstream.name)
        state.record_sent(now_s=sent_s)
        assert isinstance(placement_request.tried, list)
        placement_request.tried.append(upstream.name)
        one_way_s = choice.round_trip_s / 2
        # Kinds of requests number their objects independently.
        object_name = f"{call.request.kind.name}/{placement_request.key}"

        def send_response(new: bool) -> None:
            load = upstream.stated_load()
            self._schedule(one_way_s, lambda: receive_response(new, load))

        def receive_response(new: bool, load: bytes | None) -> None:
            state.record_ended()
            self._record_statements(entry, choice)
            self._record_speed(state, load)
            state.record_response(good=True, now_s=self._now_s)
            entry.placer.record_run(
                placement_request,
                choice,
                took_s=self._now_s - sent_s,
                now_s=self._now_s,
            )
            self._tally.record_run(
                key=object_name,
                upstream=upstream.name,
                new=new,
                at_s=sent_s,
            )
            self._finish(call.request, Ending.ANSWERED)
            self._waits.record_freed(entry, state)

        def arrive() -> None:
            self._tally.record_arrival(
                entry.name, upstream.name, at_s=self._now_s
            )
            if upstream.limit_per_s is not None:
                self._tally.record_limited(upstream.name, at_s=self._now_s)
            if upstream.lost:
                self._schedule(
                    CONNECT_TIMEOUT_S,
                    lambda: self._on_unreachable(call, choice),
                )
                return
            if not upstream.submit(
                Run(call.request.kind, object_name, send_response)
            ):
                self._schedule(
                    one_way_s, lambda: self._on_refused(call, choice)
                )

        self._schedule(one_way_s, arrive)

    def _record_statements(self, entry: ModelledEntry, choice: Choice) -> None:
        """Records what any answer states about its upstream."""
        upstream = self._upstreams[choice.upstream.record.upstream_id]
        entry.limit_reports.limits.apply(
            choice.upstream.name_hash,
            upstream.limit_per_s,
            at_s=self._now_s,
        )
        if upstream.leaving:
            entry.record_leaving(
                choice.upstream.name_hash, source=LeavingSource.RESPONSE
            )
            self._tally.record_leaving(entry.name, upstream.name)

    def _record_speed(self, state: UpstreamState, load: bytes | None) -> None:
        """Records the speed that an answer states, as the gateway reads it."""
        if load is None:
            return
        statement = platform_statements.decode_statement(
            status=200, headers=[(names.LOAD, load)]
        )
        if statement.load is not None:
            state.speed.record(statement.load, now_s=self._now_s)

    def _on_refused(self, call: _Call, choice: Choice) -> None:
        choice.upstream.record_ended()
        self._record_statements(call.entry, choice)
        rest_s = self._upstreams[choice.upstream.record.upstream_id].rest_s
        if rest_s:
            self._record_rest(call.entry, choice, rest_s)
        else:
            choice.upstream.record_response(good=False, now_s=self._now_s)
        self._retry_elsewhere(call)
        self._waits.record_freed(call.entry, choice.upstream)

    def _record_rest(
        self, entry: ModelledEntry, choice: Choice, rest_s: float
    ) -> None:
        state = choice.upstream
        entry.record_rest(state, rest_s=rest_s, now_s=self._now_s)
        # The upstream sent its answer half a round trip ago.
        answered_s = self._now_s - choice.round_trip_s / 2
        self._tally.record_rest(
            RestAsked(
                entry=entry.name,
                upstream=state.record.upstream_id,
                at_s=answered_s,
                rest_s=rest_s,
            )
        )

    def _on_unreachable(self, call: _Call, choice: Choice) -> None:
        state = choice.upstream
        state.record_ended()
        call.entry.placer.release(choice, now_s=self._now_s)
        if not state.is_paused():
            upstream = self._upstreams[state.record.upstream_id]
            self._schedule(
                FIRST_PROBE_PAUSE_S, lambda: self._probe(upstream, choice)
            )
        state.record_unreachable()
        call.entry.placer.record_disruption(now_s=self._now_s)
        self._retry_elsewhere(call)
        self._waits.record_change(call.entry)

    def _probe(self, upstream: ModelledUpstream, choice: Choice) -> None:
        if not upstream.lost:
            choice.upstream.record_reached()
            return
        if self._now_s < self._pattern.span_s:
            self._schedule(
                FIRST_PROBE_PAUSE_S, lambda: self._probe(upstream, choice)
            )

    def _retry_elsewhere(self, call: _Call) -> None:
        if len(call.placement_request.tried) >= MAX_ATTEMPTS:
            self._refuse(call)
            return
        self._place(call)

    def _exchange_loads(self) -> None:
        """Schedules the delivery of all entries' loads and the plan."""
        loads_by_entry = {entry.name: entry.loads() for entry in self._entries}
        total: dict[int, int] = {}
        for loads in loads_by_entry.values():
            for name_hash, count in loads.items():
                total[name_hash] = total.get(name_hash, 0) + count
        self._planner.update(
            services=self._entries[0].eligible_upstreams(), now_s=self._now_s
        )
        plan = self._planner.plan
        locations = []
        for entry in self._entries:
            locations += entry.cached_locations.locations_to_report(
                now_s=self._now_s
            )

        for entry in self._entries:
            self._region_counts[entry.region].apply_member(
                entry.name,
                entry.region_counts(now_s=self._now_s),
                now_s=self._now_s,
            )
        region_counts = {}
        for region, counts in self._region_counts.items():
            region_counts[region] = [
                counts.fleet.count(region_hash(name))
                for name in self._pattern.regions
            ]

        reported_limits = self._report_limits()
        statements = [
            entry.statements(now_s=self._now_s) for entry in self._entries
        ]

        def apply() -> None:
            for entry in self._entries:
                for reported in statements:
                    entry.apply_statements(reported)
                entry.limit_reports.apply_total(
                    "",
                    reported_limits,
                    counted_entries=len(self._entries),
                    now_s=self._now_s,
                )
                entry.apply_region_counts(
                    region_counts[entry.region], now_s=self._now_s
                )
                entry.update_loads(total, loads_by_entry[entry.name], plan)
                entry.cached_locations.apply_reported(
                    locations, now_s=self._now_s
                )
                self._waits.record_change(entry)

        self._schedule(self._pattern.told_s, apply)
        if self._now_s < self._pattern.span_s:
            self._schedule(self._pattern.told_s, self._exchange_loads)

    def _report_limits(self) -> ReportedLimits:
        """Returns all statements and the sums of all entries' counts."""
        statements: list[LimitStatement] = []
        for entry in self._entries:
            reported = entry.limit_reports.own(now_s=self._now_s)
            statements += reported.statements
            for count in reported.counts:
                use = self._limit_differences.difference(
                    entry.name, count, now_s=self._now_s
                )
                self._limit_sums.add(count.name_hash, use, now_s=self._now_s)
        names = self._limit_sums.names()
        counts = [self._limit_sums.count(name) for name in names]
        return ReportedLimits(statements=statements, counts=counts)

    # Disturbances.

    def _update_disturbances(self) -> None:
        """Starts and ends the disturbances that are due."""
        for number, disturbance in enumerate(self._pattern.troubles):
            is_active = disturbance.is_active(self._now_s)
            if is_active == (number in self._active_disturbances):
                continue
            if is_active:
                self._active_disturbances.add(number)
            else:
                self._active_disturbances.discard(number)
            self._apply_disturbance(disturbance, begins=is_active)
        if self._now_s < self._pattern.span_s:
            self._schedule(
                _DISTURBANCE_CHECK_INTERVAL_S, self._update_disturbances
            )

    def _apply_disturbance(
        self, disturbance: Disturbance, *, begins: bool
    ) -> None:
        actions: dict[str, Callable[[Disturbance, bool], None]] = {
            "new_objects": self._replace_objects,
            "restart": self._restart,
            "cut_off": self._set_cut_off,
            "evacuated": self._evacuate,
            "lost": self._set_lost,
            "slow": self._set_slow,
            "limited": self._set_limit,
            "resting": self._set_resting,
            "leaving": self._set_leaving,
            "uneven": self._set_uneven,
        }
        action = actions.get(disturbance.what)
        # Bursts and shifts change the load as it is drawn.
        if action is not None:
            action(disturbance, begins)

    def _replace_objects(self, disturbance: Disturbance, begins: bool) -> None:
        del disturbance
        self._key_generation += begins

    def _set_slow(self, disturbance: Disturbance, begins: bool) -> None:
        for upstream in self._affected_upstreams(disturbance):
            upstream.run_time_factor = disturbance.times if begins else 1.0

    def _set_limit(self, disturbance: Disturbance, begins: bool) -> None:
        for upstream in self._affected_upstreams(disturbance):
            upstream.limit_per_s = disturbance.limit_per_s if begins else None

    def _affected_upstreams(
        self, disturbance: Disturbance
    ) -> list[ModelledUpstream]:
        matching = self._matching_upstreams(disturbance)
        return matching[: round(disturbance.share * len(matching))]

    def _matching_upstreams(
        self, disturbance: Disturbance
    ) -> list[ModelledUpstream]:
        matching = []
        for upstream in self._upstreams.values():
            if disturbance.service not in ("", upstream.service):
                continue
            if disturbance.region not in ("", upstream.region):
                continue
            matching.append(upstream)
        return matching

    def _set_cut_off(self, disturbance: Disturbance, begins: bool) -> None:
        names = [
            entry.name
            for entry in self._entries
            if disturbance.region in ("", entry.region)
        ]
        affected = names[: round(disturbance.share * len(names))]
        if begins:
            self._cut_off.update(affected)
        else:
            self._cut_off.difference_update(affected)

    def _set_resting(self, disturbance: Disturbance, begins: bool) -> None:
        for upstream in self._affected_upstreams(disturbance):
            upstream.turns_away = begins
            upstream.rest_s = disturbance.rest_s if begins else 0.0

    def _set_leaving(self, disturbance: Disturbance, begins: bool) -> None:
        """Makes upstreams say that they leave, and then end for good."""
        for upstream in self._affected_upstreams(disturbance):
            upstream.leaving = True
            if not begins:
                upstream.shut_down()

    def _set_uneven(self, disturbance: Disturbance, begins: bool) -> None:
        """Gives upstreams turns of speed, which end with the disturbance."""
        if not begins:
            return
        for upstream in self._matching_upstreams(disturbance):
            # Draws of its own keep all other random choices as they are.
            upstream.turns = SpeedTurns(
                rng=random.Random(f"{self._seed}/{upstream.name}"),
                share=disturbance.share,
                times=disturbance.times,
                starts_s=self._now_s,
                ends_s=disturbance.at_s + disturbance.for_s,
                now_s=lambda: self._now_s,
            )
            upstream.stated_speed = disturbance.states

    def _set_lost(self, disturbance: Disturbance, begins: bool) -> None:
        for upstream in self._affected_upstreams(disturbance):
            if begins:
                upstream.shut_down()
            else:
                upstream.lost = False

    def _evacuate(self, disturbance: Disturbance, begins: bool) -> None:
        region = disturbance.region
        for entry in self._entries:
            if begins:
                entry.start_evacuation(region, now_s=self._now_s)
            else:
                entry.end_evacuation(region, now_s=self._now_s)

    def _restart(self, disturbance: Disturbance, begins: bool) -> None:
        del disturbance
        self._entries_down = begins
        if begins:
            for entry in self._entries:
                entry.restart()
            self._planner.set_plan(EMPTY_PLAN)
