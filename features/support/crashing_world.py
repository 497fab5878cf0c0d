"""Entries through which one crashing request is resent, in virtual time.

Suspicions, words and the choice of upstreams are the gateway's; connections,
upstreams and callers are modelled.
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
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway import crash_reports
from almondstair.gateway.crash_reports import CrashReports
from almondstair.gateway.upstream_connector import LOSS_PROBE_PAUSE_S
from features.support.telling_world import BETWEEN_REGIONS_S
from features.support.telling_world import IN_ZONE_S
from features.support.telling_world import Member
from features.support.telling_world import TellingWorld

REQUEST = 7
CALLER_WAY_S = 0.008
# How long an upstream works on the request before it ends.
RUN_S = 0.02
DEADLINE_S = 2.0


class CrashingWorld(TellingWorld):
    """Entries, upstreams that one request ends, and its callers.

    Attributes:
      ended: upstreams that have ended, with the time.
      refused: how often the request was refused as quarantined.
    """

    def __init__(self, *, by_key: bool, **size: Any) -> None:
        """Makes the entries; `size` is that of the world below.

        Args:
          by_key: whether the route places requests by a key.
          **size: entries, zones, upstreams and links.
        """
        self._suspects: dict[str, CrashSuspects] = {}
        super().__init__(**size)
        self.ended: dict[str, float] = {}
        self.refused = 0
        self._began_s: dict[str, float] = {}
        self._until_s = 0.0
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
        self._asked_count = 0
        self._callers_region = next(iter(self.members.values())).region
        self._words: dict[str, CrashReports] = {}
        self._placings: dict[str, RequestPlacer] = {}
        for member in self.members.values():
            self._equip(member)

    def make_suspects(self, name: str) -> CrashSuspects:
        """Returns real suspicions, as they are tested here."""
        self._suspects[name] = CrashSuspects()
        return self._suspects[name]

    def _equip(self, member: Member) -> None:
        name = member.name
        self._words[name] = CrashReports(
            suspects=self._suspects[name],
            load_exchange=member.sharing,
            own_name=name,
        )
        self._placings[name] = RequestPlacer(
            fleet=member.fleet,
            run_times=RunTimes(),
            cached_locations=CachedLocations(),
            region_limiter=RegionShareLimiter(
                own_region=member.region, max_change=1.0
            ),
            cold_start_limiter=ColdStartLimiter(
                own_name=name, rate_factor=1.0, slack=1.0
            ),
            round_trips_s={},
        )

    @contextlib.contextmanager
    def crashing(self) -> Iterator[None]:
        """Lets the entries tell, by the virtual clock."""
        clock = mock.patch.object(crash_reports, "now_s", lambda: self.now_s)
        with clock, self.running(busy=False):
            yield

    def resend(self, *, callers: int, span_s: float) -> None:
        """Sends the request once, and then again and again by some callers."""
        self._until_s = self.now_s + span_s
        first = next(iter(self.members.values()))
        self._ask(
            first,
            lambda: self.later(CALLER_WAY_S, lambda: self._begin(callers)),
        )
        self.pass_time(span_s + DEADLINE_S)

    def _begin(self, callers: int) -> None:
        for _ in range(callers):
            self._send_again()

    def _send_again(self) -> None:
        if self.now_s >= self._until_s:
            return
        member = self.draws.choice(list(self.members.values()))
        way_s = CALLER_WAY_S
        if member.region != self._callers_region:
            way_s += BETWEEN_REGIONS_S

        def answered() -> None:
            self.later(way_s, self._send_again)

        self.later(way_s, lambda: self._ask(member, answered))

    def _ask(self, member: Member, answered: Any) -> None:
        words = self._words[member.name]
        standing = words.standing(REQUEST)
        if standing in (CrashVerdict.PENDING, CrashVerdict.REFUSED):
            self.refused += 1
            answered()
            return
        placed = self._placings[member.name].place(
            self._asked(words.possibly_crashed(REQUEST)), now_s=self.now_s
        )
        if placed.choice is None:
            self.refused += 1
            answered()
            return
        upstream = placed.choice.upstream
        way_s = self._way_s(member, upstream)
        self.later(way_s, lambda: self._arrive(member, upstream, answered))

    def _asked(self, exposed: frozenset[int]) -> PlacementRequest:
        self._asked_count += 1
        key = "k"
        if not self._route.key_affinity and not exposed:
            key = f"request {self._asked_count}"
        return PlacementRequest(
            route=self._route,
            service="s",
            key=key,
            arrived_s=self.now_s,
            deadline_s=self.now_s + DEADLINE_S,
            tried=[],
            possibly_crashed=exposed,
        )

    def _way_s(self, member: Member, upstream: UpstreamState) -> float:
        if member.region == upstream.region:
            return IN_ZONE_S
        return BETWEEN_REGIONS_S

    def _arrive(
        self, member: Member, upstream: UpstreamState, answered: Any
    ) -> None:
        name = upstream.record.upstream_id
        way_s = self._way_s(member, upstream)
        if name in self.ended:

            def unreachable() -> None:
                self._find_gone(member, upstream)
                self._ask(member, answered)

            self.later(way_s, unreachable)
            return
        began_s = self.now_s
        ends_s = self._began_s.setdefault(name, began_s) + RUN_S

        def end() -> None:
            self.ended.setdefault(name, self.now_s)
            self.later(way_s, lose)

        def lose() -> None:
            ran_s = self.now_s - began_s
            self._words[member.name].report_lost(REQUEST, upstream, ran_s=ran_s)
            self.later(
                LOSS_PROBE_PAUSE_S + 2 * way_s,
                lambda: self._find_gone(member, upstream),
            )
            answered()

        self.later(ends_s - self.now_s, end)

    def _find_gone(self, member: Member, upstream: UpstreamState) -> None:
        upstream.record_unreachable(now_s=self.now_s)
        self._words[member.name].report_gone(upstream)
