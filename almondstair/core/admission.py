"""Admission of requests to the slots of upstreams.

The home of each upstream counts its slots exactly, so an upstream never has
more requests in flight than slots. An upstream's own load report can only lower
what is used, and only for a short time, since such reports lag or are wrong.
"""

import math
from typing import NamedTuple

from almondstair.core.admission_records import Admission
from almondstair.core.admission_records import Outcome
from almondstair.core.admission_records import Refusal
from almondstair.core.admission_records import ServiceCapacity
from almondstair.core.admission_records import UpstreamReport
from almondstair.core.admission_records import UpstreamStatus
from almondstair.core.health import HealthTable
from almondstair.core.home_records import DispatchRights
from almondstair.core.homes import Homes
from almondstair.core.loop_stall import LoopStall
from almondstair.core.loop_stall import ratio_without_stall
from almondstair.core.model import Configuration
from almondstair.core.model import Priority
from almondstair.core.slot_tracker import SlotTracker
from almondstair.core.slow_start import DEFAULT_LIMITS
from almondstair.core.slow_start import BaselineLatency
from almondstair.core.slow_start import SlowStartLimits
from almondstair.core.upstream_slots import UpstreamSlots
from almondstair.errors import ErrorKind

HELD_BACK_FRACTION: dict[Priority, float] = {
    Priority.INTERACTIVE: 0.0,
    Priority.COMMIT: 0.05,
    Priority.UPLOAD: 0.15,
    Priority.BATCH: 0.3,
}
SERVICE_TIME_WEIGHT = 0.1
INITIAL_SERVICE_TIME_S = 0.2
MIN_RETRY_MS = 100
MAX_RETRY_MS = 30_000


class _Capacity(NamedTuple):
    """Holds the slots of one upstream that this entry may use now.

    Attributes:
      upstream: name of the upstream.
      rights: which of its slots the home protocol allows this entry.
      usable: slots that this entry may fill.
      free: free slots for short work.
      free_long: free slots for work too long for the reserve.
    """

    upstream: str
    rights: DispatchRights
    usable: int
    free: int
    free_long: int


class SlotTable:
    """Slots of the upstreams of which this entry is home or successor."""

    def __init__(
        self,
        *,
        homes: Homes,
        tracker: SlotTracker,
        limits: SlowStartLimits = DEFAULT_LIMITS,
        held_back_fraction: dict[Priority, float] | None = None,
        health: HealthTable | None = None,
        loop_stall: LoopStall | None = None,
    ) -> None:
        """Creates a table without upstreams.

        Args:
          homes: decides which slots this entry may use at each upstream.
          tracker: the requests in flight; the same object that `homes` reads.
          limits: constants of slow start.
          held_back_fraction: fraction of a service's slots that work of each
            priority leaves free for higher priorities.
          health: health of each upstream by its responses, which takes
            precedence over its own reports.
          loop_stall: measures for how long this entry's event loop stalled.
        """
        self.loop_stall = loop_stall or LoopStall()
        self._health = health or HealthTable()
        self._homes = homes
        self._tracker = tracker
        self._limits = limits
        self._held_back_fraction = held_back_fraction or HELD_BACK_FRACTION
        self._states: dict[str, UpstreamSlots] = {}
        self._by_service: dict[str, list[str]] = {}
        self._leaving: frozenset[str] = frozenset()
        self._baseline_latency = BaselineLatency()
        self._choices = 0
        self._last_choice: dict[str, int] = {}
        self._service_time_s: dict[str, float] = {}

    def set_configuration(self, *, configuration: Configuration) -> None:
        """Sets the upstreams, keeping the state of those already known."""
        states: dict[str, UpstreamSlots] = {}
        self._by_service = {}
        for name, upstream in configuration.upstreams.items():
            state = self._states.get(name)
            if state is None:
                state = UpstreamSlots(upstream=upstream, limits=self._limits)
            state.configure(upstream=upstream)
            states[name] = state
            for service in upstream.services:
                self._by_service.setdefault(service, []).append(name)
        self._states = states

    def set_leaving(self, *, names: frozenset[str]) -> None:
        """Sets the upstreams marked as leaving by operators or the VM list."""
        self._leaving = names

    def record_upstream_report(
        self, *, upstream: str, report: UpstreamReport, now_s: float
    ) -> None:
        """Records an upstream's load report."""
        state = self._states.get(upstream)
        if state is None:
            return
        in_flight = len(self._tracker.in_flight(upstream=upstream))
        state.record_report(report=report, in_flight=in_flight, now_s=now_s)

    def acquire(
        self,
        *,
        service: str,
        priority: Priority,
        deadline_s: float,
        now_s: float,
        excluded: frozenset[str] = frozenset(),
    ) -> Admission | Refusal:
        """Acquires a slot at the best upstream of a service.

        Args:
          service: name of the service.
          priority: priority of the request's class.
          deadline_s: monotonic deadline of the request, in seconds.
          now_s: monotonic time in seconds.
          excluded: upstreams that this request must not go to.

        Returns:
          The slot, or a refusal with the reason and a time to retry.
        """
        is_long = deadline_s - now_s > self._homes.reserve_deadline_s
        capacities = self._capacities(service=service, now_s=now_s)
        best = self._best(
            capacities, is_long=is_long, excluded=excluded, now_s=now_s
        )
        if deadline_s <= now_s:
            return Refusal(ErrorKind.DEADLINE_PASSED, MIN_RETRY_MS)
        if best is None or not self._leaves_held_back_slots(
            best, capacities, priority
        ):
            return self.refusal(service=service, now_s=now_s)
        self._choices += 1
        self._last_choice[best.upstream] = self._choices
        ticket = self._tracker.add(
            upstream=best.upstream,
            service=service,
            now_s=now_s,
            deadline_s=deadline_s,
            reserve=best.rights.reserve_only,
        )
        return Admission(
            ticket=ticket,
            upstream=best.upstream,
            service=service,
            admitted_s=now_s,
            stall_s=self.loop_stall.total_s(now_s=now_s),
        )

    def acquire_at(
        self,
        *,
        upstream: str,
        service: str,
        priority: Priority,
        deadline_s: float,
        now_s: float,
    ) -> Admission | Refusal:
        """Acquires a slot at one upstream, or returns why it cannot."""
        others = set(self._by_service.get(service, []))
        others.discard(upstream)
        return self.acquire(
            service=service,
            priority=priority,
            deadline_s=deadline_s,
            now_s=now_s,
            excluded=frozenset(others),
        )

    def _best(
        self,
        capacities: list[_Capacity],
        *,
        is_long: bool,
        excluded: frozenset[str],
        now_s: float,
    ) -> _Capacity | None:
        """Returns the upstream with the most free slots, weighted by health.

        Among equals the least recently chosen wins. Otherwise the first by name
        would get all work at low load, and the others would be cold when they
        are needed.
        """
        best: _Capacity | None = None
        best_weight = 0.0
        best_choice = 0
        for capacity in capacities:
            if capacity.upstream in excluded:
                continue
            free = capacity.free_long if is_long else capacity.free
            if not free:
                continue
            weight = free * self._health.factor(
                name=capacity.upstream, now_s=now_s
            )
            last_choice = self._last_choice.get(capacity.upstream, 0)
            if weight < best_weight:
                continue
            if weight == best_weight and last_choice > best_choice:
                continue
            best = capacity
            best_weight = weight
            best_choice = last_choice
        return best

    def _leaves_held_back_slots(
        self, best: _Capacity, capacities: list[_Capacity], priority: Priority
    ) -> bool:
        """Returns whether enough slots remain for higher priorities."""
        if best.rights.reserve_only:
            return True
        usable = 0
        free = 0
        for capacity in capacities:
            usable += capacity.usable
            free += capacity.free
        held_back = math.ceil(self._held_back_fraction[priority] * usable)
        return free > max(0, min(held_back, usable - 1))

    def release(
        self,
        *,
        admission: Admission,
        outcome: Outcome,
        now_s: float,
        connection_closed: bool = True,
        work: str = "",
    ) -> None:
        """Releases a slot and records how the request ended.

        Args:
          admission: the slot, as returned by `acquire` or `acquire_at`.
          outcome: how the request ended.
          now_s: monotonic time in seconds.
          connection_closed: whether the upstream's work is certainly over,
            because of a complete response, a refusal or a closed connection.
            Otherwise the slot stays taken until the deadline, since the
            upstream may still run the request and another one would exceed its
            slots.
          work: kind of work; its latency is compared with that of the same
            kind.
        """
        if connection_closed:
            self._tracker.remove(ticket=admission.ticket)
        state = self._states.get(admission.upstream)
        if state is None or outcome is Outcome.CANCELLED:
            return
        if outcome is not Outcome.ANSWERED:
            state.ramp.record_refusal(now_s=now_s)
            return
        latency_s = now_s - admission.admitted_s
        ratio = self._baseline_latency.record(
            work=f"{admission.service}/{work}", latency_s=latency_s
        )
        stall_s = self.loop_stall.total_s(now_s=now_s) - admission.stall_s
        ratio = ratio_without_stall(
            ratio=ratio, latency_s=latency_s, stall_s=stall_s
        )
        state.ramp.record_answer(ratio=ratio, now_s=now_s)
        self._update_service_time(
            service=admission.service, latency_s=latency_s
        )

    def may_still_run(self, *, admission: Admission, now_s: float) -> bool:
        """Returns whether a request may still use its slot.

        Call it right before and right after writing the first byte: an entry
        that was frozen in between finds that the home role has moved, and
        closes the connection.
        """
        if admission.ticket.until_s - self._tracker.margin_s <= now_s:
            return False
        rights = self._homes.dispatch_rights(
            upstream=admission.upstream, now_s=now_s
        )
        if rights.allowed_slots < 1:
            return False
        if rights.reserve_only != admission.ticket.reserve:
            return not rights.reserve_only
        used = self._used(
            upstream=admission.upstream, rights=rights, now_s=now_s
        )
        return used <= rights.allowed_slots

    def capacity(self, *, service: str, now_s: float) -> ServiceCapacity:
        """Returns the usable and the free slots of a service."""
        usable = 0
        free = 0
        for capacity in self._capacities(service=service, now_s=now_s):
            usable += capacity.usable
            free += capacity.free
        return ServiceCapacity(usable, free)

    def free_slots(self, *, service: str, now_s: float) -> int:
        """Returns how many slots interactive work could take now."""
        return self.capacity(service=service, now_s=now_s).free

    def usable_slots(self, *, service: str, now_s: float) -> int:
        """Returns how many slots of a service this entry may fill."""
        return self.capacity(service=service, now_s=now_s).usable

    def service_time_s(self, *, service: str) -> float:
        """Returns the mean time in seconds that a request holds a slot."""
        return self._service_time_s.get(service, INITIAL_SERVICE_TIME_S)

    def refusal(
        self, *, service: str, now_s: float, waiting: int = 0
    ) -> Refusal:
        """Returns the refusal of a request, with a time to retry."""
        usable = self.usable_slots(service=service, now_s=now_s)
        if usable < 1:
            return Refusal(
                self._error_without_slots(service=service),
                self._retry_after_ms(
                    wait_s=self._wait_for_slots_s(now_s=now_s)
                ),
            )
        wait_s = self.service_time_s(service=service) * (waiting + 1) / usable
        return Refusal(ErrorKind.NO_SLOT, self._retry_after_ms(wait_s=wait_s))

    def status(self, *, now_s: float) -> tuple[UpstreamStatus, ...]:
        """Returns the upstreams at which this entry has slots or requests."""
        rows = []
        for name in self._relevant_upstreams():
            state = self._states.get(name)
            if state is None:
                continue
            rights = self._homes.dispatch_rights(upstream=name, now_s=now_s)
            in_flight = len(self._tracker.in_flight(upstream=name))
            if rights.allowed_slots < 1 and in_flight == 0:
                continue
            rows.append(
                UpstreamStatus(
                    name=name,
                    allowed_slots=rights.allowed_slots,
                    usable_slots=self._slow_start_slots(
                        upstream=name, now_s=now_s
                    ),
                    in_flight=in_flight,
                    busy_elsewhere=len(rights.busy_until_s),
                    leaving=self._is_leaving(upstream=name),
                    report_age_s=state.report_age_s(now_s=now_s),
                )
            )
        return tuple(rows)

    def _relevant_upstreams(self) -> list[str]:
        """Returns the upstreams at which this entry has a role or requests."""
        names = dict.fromkeys(self._homes.assigned_upstreams())
        names.update(dict.fromkeys(self._tracker.upstreams()))
        return list(names)

    def _is_leaving(self, *, upstream: str) -> bool:
        return upstream in self._leaving or self._states[upstream].draining

    def _capacities(self, *, service: str, now_s: float) -> list[_Capacity]:
        """Returns the capacity of each upstream of a service for this entry."""
        capacities = []
        for name in self._homes.assigned_upstreams():
            state = self._states.get(name)
            if state is None or service not in state.services:
                continue
            capacities.append(self._capacity(upstream=name, now_s=now_s))
        return capacities

    def _capacity(self, *, upstream: str, now_s: float) -> _Capacity:
        self._tracker.expire(upstream=upstream, now_s=now_s)
        rights = self._homes.dispatch_rights(upstream=upstream, now_s=now_s)
        limit = self._limit(upstream=upstream, rights=rights, now_s=now_s)
        if limit < 1:
            return _Capacity(upstream, rights, 0, 0, 0)
        used = self._used(upstream=upstream, rights=rights, now_s=now_s)
        long_used = self._long_used(
            upstream=upstream, rights=rights, now_s=now_s
        )
        free = max(0, limit - used)
        return _Capacity(
            upstream=upstream,
            rights=rights,
            usable=max(0, limit - len(rights.busy_until_s)),
            free=free,
            free_long=max(0, min(free, rights.long_slots - long_used)),
        )

    def _limit(
        self, *, upstream: str, rights: DispatchRights, now_s: float
    ) -> int:
        state = self._states.get(upstream)
        if state is None or rights.allowed_slots < 1:
            return 0
        if self._is_leaving(upstream=upstream):
            return 0
        usable = min(
            self._slow_start_slots(upstream=upstream, now_s=now_s),
            self._health.usable_slots(
                name=upstream, slots=state.slots, now_s=now_s
            ),
        )
        if rights.reserve_only:
            return min(usable, rights.allowed_slots)
        # Slots held for other entries count as used, and slow start does not
        # apply to them.
        usable += len(rights.busy_until_s)
        return min(
            usable, rights.allowed_slots, state.reported_slots(now_s=now_s)
        )

    def _slow_start_slots(self, *, upstream: str, now_s: float) -> int:
        state = self._states[upstream]
        usual_s = 0.0
        for service in state.services:
            usual_s = max(usual_s, self.service_time_s(service=service))
        return state.slow_start_slots(
            running=self._tracker.in_flight(upstream=upstream),
            long_run_s=max(
                self._limits.long_run_s, self._limits.slow_ratio * usual_s
            ),
            now_s=now_s,
        )

    def _used(
        self, *, upstream: str, rights: DispatchRights, now_s: float
    ) -> int:
        running = self._tracker.in_flight(upstream=upstream)
        if not rights.reserve_only:
            return len(running) + len(rights.busy_until_s)
        used = 0
        for ticket in running:
            if ticket.reserve:
                used += 1
        return used

    def _long_used(
        self, *, upstream: str, rights: DispatchRights, now_s: float
    ) -> int:
        short_until_s = now_s + self._homes.reserve_deadline_s
        used = 0
        for until_s in rights.busy_until_s:
            if until_s > short_until_s:
                used += 1
        for ticket in self._tracker.in_flight(upstream=upstream):
            if ticket.until_s - self._tracker.margin_s > short_until_s:
                used += 1
        return used

    def _update_service_time(self, *, service: str, latency_s: float) -> None:
        known_s = self._service_time_s.get(service)
        if known_s is None:
            self._service_time_s[service] = latency_s
            return
        known_s += SERVICE_TIME_WEIGHT * (latency_s - known_s)
        self._service_time_s[service] = known_s

    def _error_without_slots(self, *, service: str) -> ErrorKind:
        for name in self._by_service.get(service, []):
            if not self._is_leaving(upstream=name):
                return ErrorKind.NO_SLOT
        return ErrorKind.NO_UPSTREAM

    def _wait_for_slots_s(self, *, now_s: float) -> float:
        """Returns the seconds until the first slot held for others is free."""
        soonest_s = now_s + INITIAL_SERVICE_TIME_S * 5
        for name in self._homes.assigned_upstreams():
            rights = self._homes.dispatch_rights(upstream=name, now_s=now_s)
            for until_s in rights.busy_until_s:
                soonest_s = min(soonest_s, until_s)
        return soonest_s - now_s

    def _retry_after_ms(self, *, wait_s: float) -> int:
        wait_ms = math.ceil(wait_s * 1000)
        return max(MIN_RETRY_MS, min(MAX_RETRY_MS, wait_ms))
