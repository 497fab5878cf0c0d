"""Places requests on upstreams by the entry's view of the deployment.

A decision takes the order of upstreams for the request's key (`placement`), the
selection among them (`choosing`), and the time for which the request may wait
for a slot at the entry if there is none (`entry_waits`).
"""

from collections.abc import Collection, Mapping
from typing import NamedTuple

from almondstair.core import entry_waits
from almondstair.core.agreed_places import agreed_order
from almondstair.core.choosing import Choice
from almondstair.core.choosing import Wanted
from almondstair.core.choosing import choose
from almondstair.core.cold_starts import ColdStarts
from almondstair.core.crash_suspects import UNCONFIRMED_TTL_S
from almondstair.core.fleet import Fleet
from almondstair.core.known_places import KnownPlaces
from almondstair.core.known_places import object_hash
from almondstair.core.region_shares import Limits
from almondstair.core.region_shares import RegionShares
from almondstair.core.routing import Route
from almondstair.core.run_times import RunTimes
from almondstair.core.upstream_state import UpstreamState

# Delay after which a caller that found no capacity retries. Requests run for a
# few tenths of a second, so a slot is free by then; a longer delay would leave
# less of the latency target.
NO_ROOM_RETRY_MS = 150


class Asked(NamedTuple):
    """Holds a request that needs an upstream.

    Attributes:
      route: its route.
      service: the service that handles it.
      key: the key by which it is placed.
      arrived_s: its arrival on the entry's clock, in seconds.
      ends_s: when its caller gives up or its route's timeout ends, on the
        entry's clock, in seconds.
      tried: ids of upstreams to which it was already sent.
      exposed: hashes of upstreams that it may have crashed; if there are any,
        every entry sends it to the same next one.
    """

    route: Route
    service: str
    key: str
    arrived_s: float
    ends_s: float
    tried: Collection[str]
    exposed: frozenset[int] = frozenset()


class Placed(NamedTuple):
    """Holds the result of a placement.

    Attributes:
      choice: the selected upstream; None if none has capacity.
      held_back: regions that were excluded because traffic moves between
        regions in bounded steps.
      unsettled: whether the request may just have crashed the upstream that is
        next for it, so that no other one may get it yet.
    """

    choice: Choice | None
    held_back: frozenset[str]
    unsettled: bool = False


class Placing:
    """Places the requests of one entry."""

    def __init__(
        self,
        *,
        fleet: Fleet,
        run_times: RunTimes,
        places: KnownPlaces,
        region_shares: RegionShares,
        cold_starts: ColdStarts,
        round_trips_s: Mapping[str, float],
    ) -> None:
        """Creates the placement of one entry.

        Args:
          fleet: the entry's view of the deployment, with a routing table.
          run_times: learned run times of requests.
          places: which upstreams have which objects cached.
          region_shares: limit on how fast requests move between regions.
          cold_starts: limit on requests to cold upstreams.
          round_trips_s: measured round trip to each other region, in seconds;
            updated by its owner.
        """
        self._fleet = fleet
        self._run_times = run_times
        self._places = places
        self._region_shares = region_shares
        self._cold_starts = cold_starts
        self._round_trips_s = round_trips_s
        self._eligible_version = 0

    def place(self, asked: Asked, *, now_s: float) -> Placed:
        """Returns the upstream for a request in the regions that may get it.

        Requests that cannot run in their own region do not count as moved to
        another one, and no region is excluded for them.
        """
        if asked.exposed:
            return self._place_suspect(asked, now_s)
        if not self._fleet.may_stay(asked.service, route=asked.route):
            choice = self._choose(asked, frozenset(), now_s)
            return Placed(choice, frozenset())
        limits = self._limits(now_s)
        if limits.due:
            others = self._fleet.regions() - {limits.due}
            choice = self._choose(asked, others, now_s)
            if choice is not None and not choice.waits:
                return Placed(choice, limits.barred)
        choice = self._choose(asked, limits.barred, now_s)
        return Placed(choice, limits.barred)

    def note_sent(self, asked: Asked, choice: Choice, *, now_s: float) -> None:
        """Counts a request that is sent to its selected upstream."""
        if asked.route.by_key:
            self._places.note_sent(
                object_hash(service=asked.service, key=asked.key),
                choice.upstream.name_hash,
                now_s=now_s,
            )
        if self._fleet.may_stay(asked.service, route=asked.route):
            region = choice.upstream.region
            self._region_shares.note_sent(region, now_s=now_s)

    def note_disturbed(self, *, now_s: float) -> None:
        """Lifts the limit on moves between regions after a failed attempt."""
        self._region_shares.note_disturbed(now_s=now_s)

    def note_run(
        self, asked: Asked, choice: Choice, *, took_s: float, now_s: float
    ) -> None:
        """Updates the run times from a response.

        Args:
          asked: the request.
          choice: the upstream that answered, with the estimates for it.
          took_s: time from sending it to the complete response, in seconds.
          now_s: the entry's clock, in seconds.
        """
        upstream = choice.upstream
        way_s = self._round_trips_s.get(upstream.region, 0.0)
        run_s = max(0.001, took_s - way_s)
        upstream.note_run(
            run_s=run_s, expected_s=choice.expected_s - way_s, now_s=now_s
        )
        if choice.waits:
            # The share of the wait is only estimated and would bias the mean.
            return
        self._run_times.note_run(
            service=asked.service,
            route=asked.route.name,
            warm=choice.warm,
            run_s=run_s,
        )

    def waits_on(self, asked: Asked, *, now_s: float) -> bool:
        """Returns whether a request that found no slot may wait for one."""
        if not self._fleet.takers(asked.service):
            return False
        aim_s = asked.route.aim_s
        times = self._run_times.expected(route=asked.route.name, aim_s=aim_s)
        return entry_waits.goes_on(
            aim_s=aim_s,
            shortest_aim_s=self._shortest_aim_s(asked),
            age_s=now_s - asked.arrived_s,
            run_s=times.known_s,
        )

    def _shortest_aim_s(self, asked: Asked) -> float:
        table = self._fleet.table
        if table is None:
            return asked.route.aim_s
        return table.shortest_aim_s(asked.service)

    def _cached_upstreams(self, asked: Asked, now_s: float) -> frozenset[int]:
        name = object_hash(service=asked.service, key=asked.key)
        places = self._places.at(name, now_s=now_s)
        return frozenset(filter(self._fleet.may_take, places))

    def _limits(self, now_s: float) -> Limits:
        version = self._fleet.takers_version
        if version != self._eligible_version:
            self._eligible_version = version
            self._region_shares.note_disturbed(now_s=now_s)
        return self._region_shares.limits(now_s=now_s)

    def _place_suspect(self, asked: Asked, now_s: float) -> Placed:
        """Places a request that may crash upstreams where all entries do."""
        regions = asked.route.allowed_regions
        order = agreed_order(
            key=asked.key,
            upstreams=self._fleet.takers(asked.service),
            exposed=asked.exposed,
        )
        for upstream in order:
            if regions and upstream.region not in regions:
                continue
            if not upstream.was_unreachable:
                choice = self._choose(asked, frozenset(), now_s, [upstream])
                return Placed(choice, frozenset())
            if now_s - upstream.unreachable_at_s <= UNCONFIRMED_TTL_S:
                # Another entry may have lost it there without having reported
                # the loss yet.
                return Placed(None, frozenset(), unsettled=True)
        return Placed(None, frozenset())

    def _choose(
        self,
        asked: Asked,
        barred: frozenset[str],
        now_s: float,
        order: list[UpstreamState] | None = None,
    ) -> Choice | None:
        assert self._fleet.table is not None
        services = self._fleet.table.configuration.services
        route = asked.route
        times = self._run_times
        age_s = now_s - asked.arrived_s
        wanted = Wanted(
            route=route,
            service=services.get(asked.service),
            tried=asked.tried,
            warm_places=self._cached_upstreams(asked, now_s),
            expected=times.expected(route=route.name, aim_s=route.aim_s),
            service_s=times.service_s(
                service=asked.service, default_s=route.aim_s
            ),
            use=self._fleet.use(asked.service, now_s=now_s),
            aim_left_s=route.aim_s - age_s,
            left_s=asked.ends_s - now_s,
            round_trips_s=self._round_trips_s,
            entry_names=self._fleet.entry_names,
            joined=self._fleet.joined(now_s=now_s),
            peers_heard=self._fleet.peers_heard,
            barred_regions=barred,
            now_s=now_s,
            most_queue_s=entry_waits.most_queue_s(
                aim_s=route.aim_s,
                shortest_aim_s=self._shortest_aim_s(asked),
                age_s=age_s,
            ),
        )
        if order is None:
            order = self._fleet.order(service=asked.service, key=asked.key)
        return choose(order=order, wanted=wanted, cold_starts=self._cold_starts)
