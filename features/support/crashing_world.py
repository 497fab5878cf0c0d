"""Entries that receive one crashing request repeatedly, in virtual time.

Crash suspects, crash reports and the choice of upstreams are the gateway's own
code; connections, upstreams and callers are simulated.
"""

from collections.abc import Iterator
import contextlib
from typing import Any
from unittest import mock

from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.crash_suspects import CrashVerdict
from almondstair.core.known_places import CachedLocations
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.request_placer import PlacementRequest
from almondstair.core.request_placer import RequestPlacer
from almondstair.core.routing import Destination
from almondstair.core.routing import Route
from almondstair.core.routing import RouteKind
from almondstair.core.run_times import RunTimes
from almondstair.core.upstream_limiter import LimitRefusals
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway import crash_reports
from almondstair.gateway.crash_reports import CrashReports
from almondstair.gateway.upstream_connector import LOSS_PROBE_PAUSE_S
from features.support.load_exchange_world import BETWEEN_REGIONS_S
from features.support.load_exchange_world import IN_ZONE_S
from features.support.load_exchange_world import LoadExchangeWorld
from features.support.load_exchange_world import Member
from features.support.quota_helpers import make_region_reports

REQUEST = 7
CALLER_DELAY_S = 0.008
# Time that an upstream runs the request before it crashes.
RUN_S = 0.02
DEADLINE_S = 2.0


class CrashingWorld(LoadExchangeWorld):
    """Simulates entries, callers, and upstreams that one request crashes.

    Attributes:
      ended: time at which each crashed upstream ended, in seconds.
      refused: number of times that the request was refused, either as
        quarantined or because no upstream could be chosen.
    """

    def __init__(self, *, by_key: bool, **size: Any) -> None:
        """Creates the entries.

        Args:
          by_key: whether the route has key affinity.
          **size: numbers of entries, zones and upstreams, and the link rate.
        """
        self._suspects: dict[str, CrashSuspects] = {}
        super().__init__(**size)
        self.ended: dict[str, float] = {}
        self.refused = 0
        self._run_start_s: dict[str, float] = {}
        self._resend_until_s = 0.0
        self._route = Route(
            name="r",
            hostname="h",
            prefix="/",
            kind=RouteKind.UNSAFE,
            target_latency_s=1.0,
            timeout_s=DEADLINE_S,
            attempts=1,
            priority=1,
            key_affinity=by_key,
            destinations=(Destination("s", 1.0),),
            allowed_regions=(),
        )
        self._request_count = 0
        self._callers_region = next(iter(self.members.values())).region
        self._crash_reports: dict[str, CrashReports] = {}
        self._placers: dict[str, RequestPlacer] = {}
        for member in self.members.values():
            self._add_components(member)

    def make_suspects(self, name: str) -> CrashSuspects:
        """Returns real crash suspects, since they are under test here."""
        self._suspects[name] = CrashSuspects()
        return self._suspects[name]

    def _add_components(self, member: Member) -> None:
        name = member.name
        self._crash_reports[name] = CrashReports(
            suspects=self._suspects[name],
            load_exchange=member.load_exchange,
            own_name=name,
        )
        self._placers[name] = RequestPlacer(
            fleet=member.fleet,
            run_times=RunTimes(),
            cached_locations=CachedLocations(),
            region_limiter=RegionShareLimiter(
                own_region=member.region, max_change=1.0
            ),
            region_reports=make_region_reports(name),
            cold_start_limiter=ColdStartLimiter(
                own_name=name, rate_factor=1.0, slack=1.0
            ),
            upstream_limiter=UpstreamLimiter(
                fleet=member.fleet, reports=member.limit_reports
            ),
            round_trips_s={},
        )

    @contextlib.contextmanager
    def crashing(self) -> Iterator[None]:
        """Runs the exchange of crash reports on the virtual clock."""
        clock = mock.patch.object(crash_reports, "now_s", lambda: self.now_s)
        with clock, self.running(busy=False):
            yield

    def resend(self, *, callers: int, span_s: float) -> None:
        """Sends the request once, then repeatedly from several callers."""
        self._resend_until_s = self.now_s + span_s
        first = next(iter(self.members.values()))
        self._receive_request(
            first,
            lambda: self.schedule(
                CALLER_DELAY_S, lambda: self._start_callers(callers)
            ),
        )
        self.advance(span_s + DEADLINE_S)

    def _start_callers(self, callers: int) -> None:
        for _ in range(callers):
            self._send_again()

    def _send_again(self) -> None:
        if self.now_s >= self._resend_until_s:
            return
        member = self.draws.choice(list(self.members.values()))
        delay_s = CALLER_DELAY_S
        if member.region != self._callers_region:
            delay_s += BETWEEN_REGIONS_S

        def on_response() -> None:
            self.schedule(delay_s, self._send_again)

        self.schedule(
            delay_s, lambda: self._receive_request(member, on_response)
        )

    def _receive_request(self, member: Member, on_response: Any) -> None:
        reports = self._crash_reports[member.name]
        verdict = reports.verdict(REQUEST)
        if verdict in (CrashVerdict.PENDING, CrashVerdict.REFUSED):
            self.refused += 1
            on_response()
            return
        placed = self._placers[member.name].place(
            self._placement_request(reports.possibly_crashed(REQUEST)),
            now_s=self.now_s,
        )
        if placed.choice is None:
            self.refused += 1
            on_response()
            return
        upstream = placed.choice.upstream
        delay_s = self._delay_s(member, upstream)
        self.schedule(
            delay_s,
            lambda: self._run_at_upstream(member, upstream, on_response),
        )

    def _placement_request(
        self, possibly_crashed: frozenset[int]
    ) -> PlacementRequest:
        self._request_count += 1
        key = "k"
        if not self._route.key_affinity and not possibly_crashed:
            key = f"request {self._request_count}"
        return PlacementRequest(
            route=self._route,
            service="s",
            key=key,
            arrived_s=self.now_s,
            deadline_s=self.now_s + DEADLINE_S,
            tried=[],
            limit_refusals=LimitRefusals(),
            possibly_crashed=possibly_crashed,
        )

    def _delay_s(self, member: Member, upstream: UpstreamState) -> float:
        if member.region == upstream.region:
            return IN_ZONE_S
        return BETWEEN_REGIONS_S

    def _run_at_upstream(
        self, member: Member, upstream: UpstreamState, on_response: Any
    ) -> None:
        name = upstream.record.upstream_id
        delay_s = self._delay_s(member, upstream)
        if name in self.ended:

            def on_unreachable() -> None:
                self._report_unreachable(member, upstream)
                self._receive_request(member, on_response)

            self.schedule(delay_s, on_unreachable)
            return
        start_s = self.now_s
        ends_s = self._run_start_s.setdefault(name, start_s) + RUN_S

        def crash() -> None:
            self.ended.setdefault(name, self.now_s)
            self.schedule(delay_s, lose_connection)

        def lose_connection() -> None:
            ran_s = self.now_s - start_s
            self._crash_reports[member.name].report_lost(
                REQUEST, upstream, ran_s=ran_s
            )
            self.schedule(
                LOSS_PROBE_PAUSE_S + 2 * delay_s,
                lambda: self._report_unreachable(member, upstream),
            )
            on_response()

        self.schedule(ends_s - self.now_s, crash)

    def _report_unreachable(
        self, member: Member, upstream: UpstreamState
    ) -> None:
        upstream.record_unreachable(now_s=self.now_s)
        self._crash_reports[member.name].report_gone(upstream)
