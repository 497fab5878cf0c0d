"""Reports of organisations' requests for services that are short of slots.

Each entry reports the rates of its requests to its zone's reporter, which adds
them up, exchanges the sums with the reporters of other zones, and sends totals
to its zone (`gateway/load_exchange`). Reports hold rates, which need no earlier
report: one that is lost or repeated, or another reporter, changes no sum.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
import math
from typing import Any, NamedTuple

from almondstair.core.fleet import Fleet
from almondstair.core.organisations import organisation_hash
from almondstair.core.scarcity import Scarcity
from almondstair.core.share_division import Demand
from almondstair.core.share_division import PriorityDemand
from almondstair.core.share_division import PriorityShare
from almondstair.core.share_division import divide

# Time constant of the rates.
RATE_TIME_S = 1.0
# A rate below this is taken for none. A single request decays to it in 4 s.
LEAST_PER_S = 0.02
# Rates are reported in requests per 100 s, which are whole numbers.
REPORTED_SPAN_S = 100.0
# Age from which a report of another entry no longer counts.
MAX_REPORT_AGE_S = 1.5
# Part of an equal share above which sums list an organisation.
LISTED_PART = 0.5
# Organisations that a report lists for one priority of a service; a datagram
# holds 64 KiB.
MAX_LISTED = 512
# Longer reports are sent less often, to stay within a part of the control
# traffic of an entry.
MIN_INTERVAL_S = 0.1
MAX_INTERVAL_S = 1.0
REPORT_BYTES_PER_S = 800.0
# Bytes of an organisation and of a service in a report.
ORGANISATION_BYTES = 10
SERVICE_BYTES = 24
# Part of the capacity by which the admitted requests exceed it. Slots would
# stay free while rates of admission vary around the capacity.
OVER_CAPACITY_PART = 0.03
# Part of the requests without a slot that counts as capacity. Entries with old
# reports refuse requests while slots are free; if none counted, they would
# admit less and less.
REFUSED_PART = 0.25
# Lowest utilisation by which completed requests are scaled up.
MIN_UTILISATION = 0.5


class OrganisationDemand(NamedTuple):
    """Requests of an organisation at one priority, in a report.

    Attributes:
      organisation: hash of its name.
      new_per_100s: requests of new callers, in 100 s.
      returned_per_100s: requests of callers that were refused before, in 100 s.
    """

    organisation: int
    new_per_100s: int
    returned_per_100s: int


class ServiceDemand(NamedTuple):
    """Requests for a service, in a report.

    Attributes:
      service: hash of its name.
      answered_per_100s: requests that upstreams answered, in 100 s.
      refused_per_100s: requests that found no slot, in 100 s.
      in_flight: requests at upstreams.
      refused: whether requests found no slot within the last second.
      scarce: whether the service is scarce for the sender.
      organisations: the listed organisations by priority.
      others_per_100s: new requests of the others in 100 s, by priority.
    """

    service: int
    answered_per_100s: int
    refused_per_100s: int
    in_flight: int
    refused: bool
    scarce: bool
    organisations: dict[int, list[OrganisationDemand]]
    others_per_100s: dict[int, int]


class ReportedDemands(NamedTuple):
    """Holds the demands of a report.

    Attributes:
      entries: number of entries whose requests are included; 0 if the report
        has no demands.
      services: services that are short of slots, or nearly so.
    """

    entries: int
    services: list[ServiceDemand]


NO_DEMANDS = ReportedDemands(entries=0, services=[])


class DemandSum(NamedTuple):
    """The sum of several reports on a service.

    Attributes:
      answered_per_s: requests that upstreams answered.
      refused_per_s: requests that found no slot.
      in_flight: requests at upstreams.
      refused: whether requests found no slot within the last second.
      scarce: whether the service is scarce for a sender.
      priorities: requests by priority.
    """

    answered_per_s: float
    refused_per_s: float
    in_flight: int
    refused: bool
    scarce: bool
    priorities: dict[int, PriorityDemand]


class _Rate:
    """A rate of events that decays with time."""

    __slots__ = ("_per_s", "_updated_s")

    def __init__(self) -> None:
        self._per_s = 0.0
        self._updated_s = 0.0

    def add(self, now_s: float) -> None:
        self._per_s = self.per_s(now_s) + 1.0 / RATE_TIME_S
        self._updated_s = now_s

    def per_s(self, now_s: float) -> float:
        if not self._per_s:
            return 0.0
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._per_s * math.exp(-elapsed_s / RATE_TIME_S)


class _OwnDemand:
    """The requests of an organisation at this entry."""

    __slots__ = ("new", "returned")

    def __init__(self) -> None:
        self.new = _Rate()
        self.returned = _Rate()


class _Received(NamedTuple):
    """The latest demands of an entry or a zone, and when they arrived."""

    at_s: float
    demands: ReportedDemands


class _Pace:
    """Decides when a report may have demands again."""

    def __init__(self) -> None:
        self._next_s = -math.inf

    def is_due(self, now_s: float) -> bool:
        return now_s >= self._next_s

    def record_sent(self, demands: ReportedDemands, now_s: float) -> None:
        size_bytes = 0
        for service in demands.services:
            size_bytes += SERVICE_BYTES
            for listed in service.organisations.values():
                size_bytes += ORGANISATION_BYTES * len(listed)
        interval_s = size_bytes / REPORT_BYTES_PER_S
        self._next_s = now_s + min(
            MAX_INTERVAL_S, max(MIN_INTERVAL_S, interval_s)
        )


class DemandReports:
    """Holds an entry's demands, and the sums if it reports for its zone."""

    def __init__(self, *, own_name: str, fleet: Fleet) -> None:
        """Starts without requests.

        Args:
          own_name: name of this entry.
          fleet: the view of the deployment.
        """
        self._own_name = own_name
        self._fleet = fleet
        self._scarcities: dict[str, Scarcity] = {}
        self._own: dict[str, dict[tuple[int, int], _OwnDemand]] = {}
        self._answered: dict[str, _Rate] = {}
        self._refused: dict[str, _Rate] = {}
        self._members: dict[str, _Received] = {}
        self._zones: dict[str, _Received] = {}
        self._own_pace = _Pace()
        self._zone_pace = _Pace()
        self._fleet_pace = _Pace()

    def scarcity(self, service: str) -> Scarcity:
        """Returns what is known of a service's shortage."""
        found = self._scarcities.get(service)
        if found is None:
            found = Scarcity()
            self._scarcities[service] = found
        return found

    def utilisation(self, service: str, *, now_s: float) -> float:
        """Returns the utilisation of a service's slots; 0 if it has none."""
        if not self._fleet.eligible_upstreams(service):
            return 0.0
        return self._fleet.utilisation(service, now_s=now_s)

    def record_asked(
        self,
        service: str,
        priority: int,
        organisation: int,
        *,
        returned: bool,
        now_s: float,
    ) -> None:
        """Counts a request.

        Args:
          service: the service.
          priority: its priority.
          organisation: hash of the name of its organisation.
          returned: whether its caller was refused before.
          now_s: the entry's clock, in seconds.
        """
        demands = self._own.setdefault(service, {})
        key = (priority, organisation)
        demand = demands.get(key)
        if demand is None:
            demand = _OwnDemand()
            demands[key] = demand
        rate = demand.returned if returned else demand.new
        rate.add(now_s)

    def record_answered(self, service: str, *, now_s: float) -> None:
        """Counts a request that an upstream has answered."""
        self._answered.setdefault(service, _Rate()).add(now_s)

    def record_refused(self, service: str, *, now_s: float) -> None:
        """Counts a request that found no slot."""
        self._refused.setdefault(service, _Rate()).add(now_s)
        self.scarcity(service).record_refused(now_s=now_s)

    def retain(self, services: Collection[str]) -> None:
        """Drops the state of all other services."""
        by_service: tuple[dict[str, Any], ...] = (
            self._scarcities,
            self._own,
            self._answered,
            self._refused,
        )
        for states in by_service:
            for service in states.keys() - services:
                del states[service]

    # What this entry reports.

    def own(self, *, now_s: float) -> ReportedDemands:
        """Returns what this entry reports, `NO_DEMANDS` until it is due."""
        if not self._own_pace.is_due(now_s):
            return NO_DEMANDS
        demands = self._own_demands(now_s)
        self._own_pace.record_sent(demands, now_s)
        return demands

    def _own_demands(self, now_s: float) -> ReportedDemands:
        services = []
        for service in self._fleet.services():
            scarcity = self.scarcity(service)
            utilisation = self.utilisation(service, now_s=now_s)
            if scarcity.is_tight(utilisation):
                services.append(self._own_demand(service, scarcity, now_s))
        return ReportedDemands(entries=1, services=services)

    def _own_demand(
        self, service: str, scarcity: Scarcity, now_s: float
    ) -> ServiceDemand:
        organisations: dict[int, list[OrganisationDemand]] = {}
        demands = self._own.get(service, {})
        for key, demand in list(demands.items()):
            new_per_s = demand.new.per_s(now_s)
            returned_per_s = demand.returned.per_s(now_s)
            if new_per_s + returned_per_s < LEAST_PER_S:
                del demands[key]
                continue
            priority, name = key
            organisations.setdefault(priority, []).append(
                OrganisationDemand(
                    name, _reported(new_per_s), _reported(returned_per_s)
                )
            )
        in_flight = 0
        for upstream in self._fleet.eligible_upstreams(service):
            in_flight += upstream.in_flight
        return ServiceDemand(
            service=organisation_hash(service),
            answered_per_100s=_reported_rate(self._answered, service, now_s),
            refused_per_100s=_reported_rate(self._refused, service, now_s),
            in_flight=in_flight,
            refused=scarcity.has_refused(now_s=now_s),
            scarce=scarcity.since_s is not None,
            organisations=_busiest(organisations),
            others_per_100s=_others(organisations),
        )

    # Sums.

    def apply_own(self, *, now_s: float) -> None:
        """Adds the demands of this entry, which reports for its zone."""
        self.apply_member(self._own_name, self._own_demands(now_s), now_s=now_s)

    def apply_member(
        self, entry: str, demands: ReportedDemands, *, now_s: float
    ) -> None:
        """Applies what an entry of the own zone reports."""
        if demands.entries:
            self._members[entry] = _Received(now_s, demands)

    def apply_zone(
        self, zone: str, demands: ReportedDemands, *, now_s: float
    ) -> None:
        """Applies the sums of another zone."""
        if demands.entries:
            self._zones[zone] = _Received(now_s, demands)

    def of_zone(self, *, zones: int, now_s: float) -> ReportedDemands:
        """Returns what other zones need of the own zone, when it is due.

        Args:
          zones: number of availability zones.
          now_s: the entry's clock, in seconds.
        """
        if not self._zone_pace.is_due(now_s):
            return NO_DEMANDS
        members = _fresh(self._members, now_s)
        others = _fresh(self._zones, now_s)
        part = LISTED_PART / max(1, zones)
        demands = self._summarise(members, members + others, part, now_s)
        self._zone_pace.record_sent(demands, now_s)
        return demands

    def of_fleet(self, *, now_s: float) -> ReportedDemands:
        """Returns what the entries of the own zone need, when it is due."""
        if not self._fleet_pace.is_due(now_s):
            return NO_DEMANDS
        reports = _fresh(self._members, now_s) + _fresh(self._zones, now_s)
        demands = self._summarise(reports, reports, LISTED_PART, now_s)
        self._fleet_pace.record_sent(demands, now_s)
        return demands

    def _summarise(
        self,
        summed: list[ReportedDemands],
        known: list[ReportedDemands],
        listed_part: float,
        now_s: float,
    ) -> ReportedDemands:
        """Returns the sum of reports, without organisations that ask little.

        Args:
          summed: the reports to sum up.
          known: the reports that decide what an equal share is.
          listed_part: part of an equal share above which an organisation is
            listed. One that another zone lists is listed as well.
          now_s: the entry's clock, in seconds.
        """
        entries = sum(report.entries for report in summed)
        counted = sum(report.entries for report in known)
        services = []
        for service in self._fleet.services():
            name = organisation_hash(service)
            demand = add_demands(_on_service(summed, name))
            if demand is None:
                continue
            fleet_demand = demand
            if known is not summed:
                fleet_demand = add_demands(_on_service(known, name)) or demand
            shares = self.shares(
                service, fleet_demand, entries=counted, now_s=now_s
            )
            services.append(
                _listing(name, demand, fleet_demand, shares, listed_part)
            )
        return ReportedDemands(entries=entries, services=services)

    def capacity_per_s(
        self, service: str, demand: DemandSum, *, entries: int, now_s: float
    ) -> float:
        """Returns the requests that a service can complete per second.

        The rate of answers is, by Little's law, that of the requests at the
        upstreams divided by their response time.

        Args:
          service: the service.
          demand: the sum over the entries that report.
          entries: number of those entries.
          now_s: the entry's clock, in seconds.
        """
        utilisation = self._fleet.utilisation(service, now_s=now_s)
        completed_per_s = demand.answered_per_s / max(
            MIN_UTILISATION, utilisation
        )
        counted_part = entries / max(1, len(self._fleet.entry_names))
        if counted_part < 1.0 and demand.in_flight:
            # Entries of an older version take what the others leave. These
            # keep a right to their own part.
            load = 0.0
            for upstream in self._fleet.eligible_upstreams(service):
                load += upstream.estimated_load(
                    now_s=now_s,
                    peer_loads_complete=self._fleet.peer_loads_complete,
                )
            own_part = demand.in_flight / max(load, demand.in_flight)
            completed_per_s *= max(1.0, counted_part / own_part)
        refused_per_s = REFUSED_PART * demand.refused_per_s
        return (1.0 + OVER_CAPACITY_PART) * (completed_per_s + refused_per_s)

    def shares(
        self, service: str, demand: DemandSum, *, entries: int, now_s: float
    ) -> dict[int, PriorityShare]:
        """Returns the shares by priority; see `capacity_per_s`.

        Without answers the capacity is not known, and nothing is limited.
        """
        capacity_per_s = math.inf
        if demand.answered_per_s >= LEAST_PER_S:
            capacity_per_s = self.capacity_per_s(
                service, demand, entries=entries, now_s=now_s
            )
        return divide(demand.priorities, capacity_per_s=capacity_per_s)


def add_demands(reports: Iterable[ServiceDemand]) -> DemandSum | None:
    """Returns the sum of reports on one service; None without any."""
    found = list(reports)
    if not found:
        return None
    # Sums of new and of returned requests in 100 s. A reporter adds up as many
    # rows as its zone has entries and organisations.
    sums: dict[int, dict[int, list[int]]] = {}
    others: Counter[int] = Counter()
    for report in found:
        others.update(report.others_per_100s)
        for priority, demands in report.organisations.items():
            listed = sums.setdefault(priority, {})
            for name, new_count, returned_count in demands:
                counts = listed.get(name)
                if counts is None:
                    listed[name] = [new_count, returned_count]
                    continue
                counts[0] += new_count
                counts[1] += returned_count
    priorities = {}
    for priority in sums.keys() | others.keys():
        organisations = {}
        for name, (new_count, returned_count) in sums.get(priority, {}).items():
            organisations[name] = Demand(
                new_count / REPORTED_SPAN_S, returned_count / REPORTED_SPAN_S
            )
        priorities[priority] = PriorityDemand(
            organisations, others[priority] / REPORTED_SPAN_S
        )
    answered = sum(report.answered_per_100s for report in found)
    refused = sum(report.refused_per_100s for report in found)
    return DemandSum(
        answered_per_s=answered / REPORTED_SPAN_S,
        refused_per_s=refused / REPORTED_SPAN_S,
        in_flight=sum(report.in_flight for report in found),
        refused=any(report.refused for report in found),
        scarce=any(report.scarce for report in found),
        priorities=priorities,
    )


def _listing(
    service: int,
    demand: DemandSum,
    fleet_demand: DemandSum,
    shares: Mapping[int, PriorityShare],
    listed_part: float,
) -> ServiceDemand:
    """Returns a sum without the organisations that ask little."""
    listed: dict[int, list[OrganisationDemand]] = {}
    others: dict[int, int] = {}
    for priority, found in demand.priorities.items():
        others[priority] = _reported(found.others_per_s)
        known = fleet_demand.priorities[priority].organisations
        equal_per_s = shares[priority].capacity_per_s / max(1, len(known))
        for organisation, each in found.organisations.items():
            reported = OrganisationDemand(
                organisation,
                _reported(each.new_per_s),
                _reported(each.returned_per_s),
            )
            fleet_per_s = known[organisation].asked_per_s
            if (
                each.asked_per_s > listed_part * equal_per_s
                or fleet_per_s > LISTED_PART * equal_per_s
            ):
                listed.setdefault(priority, []).append(reported)
            else:
                others[priority] += reported.new_per_100s
    for priority, count in _others(listed).items():
        others[priority] += count
    return ServiceDemand(
        service=service,
        answered_per_100s=_reported(demand.answered_per_s),
        refused_per_100s=_reported(demand.refused_per_s),
        in_flight=demand.in_flight,
        refused=demand.refused,
        scarce=demand.scarce,
        organisations=_busiest(listed),
        others_per_100s={key: count for key, count in others.items() if count},
    )


def _busiest(
    listed: Mapping[int, list[OrganisationDemand]],
) -> dict[int, list[OrganisationDemand]]:
    """Returns the organisations that fit a message, by priority."""
    found = {}
    for priority, demands in listed.items():
        demands.sort(key=_asked_per_100s, reverse=True)
        found[priority] = demands[:MAX_LISTED]
    return found


def _others(listed: Mapping[int, list[OrganisationDemand]]) -> dict[int, int]:
    """Returns the new requests of those that do not fit, by priority."""
    counts: dict[int, int] = {}
    for priority, demands in listed.items():
        left = sorted(demands, key=_asked_per_100s, reverse=True)[MAX_LISTED:]
        if left:
            counts[priority] = sum(each.new_per_100s for each in left)
    return counts


def _asked_per_100s(demand: OrganisationDemand) -> int:
    return demand.new_per_100s + demand.returned_per_100s


def _reported(per_s: float) -> int:
    return round(per_s * REPORTED_SPAN_S)


def _reported_rate(
    rates: Mapping[str, _Rate], service: str, now_s: float
) -> int:
    rate = rates.get(service)
    return 0 if rate is None else _reported(rate.per_s(now_s))


def _fresh(
    received: dict[str, _Received], now_s: float
) -> list[ReportedDemands]:
    """Returns recent reports, and drops the others."""
    for name in list(received):
        if now_s - received[name].at_s > MAX_REPORT_AGE_S:
            del received[name]
    return [each.demands for each in received.values()]


def _on_service(
    reports: Iterable[ReportedDemands], service: int
) -> Iterable[ServiceDemand]:
    for report in reports:
        for demand in report.services:
            if demand.service == service:
                yield demand
