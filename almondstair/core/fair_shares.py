"""Decides which organisations are refused first while a service is short."""

import abc
from collections import Counter
from collections.abc import Callable, Collection
import enum
import math
from typing import NamedTuple

import xxhash

from almondstair.core.demand_reports import NO_DEMANDS
from almondstair.core.demand_reports import DemandReports
from almondstair.core.demand_reports import DemandSum
from almondstair.core.demand_reports import ReportedDemands
from almondstair.core.demand_reports import add_demands
from almondstair.core.fleet import Fleet
from almondstair.core.organisations import organisation_hash
from almondstair.core.share_division import PriorityShare

# Maximum age of totals. Older ones miss a flood through other entries.
MAX_TOTAL_AGE_S = 1.5
# Part of the entries that totals must include. An entry that is cut off, and
# sums up only its own requests, has no totals.
MIN_COUNTED_PART = 0.5
# Limited organisations in a log line and in the operators' view.
MAX_SHOWN = 8
_HASH_RANGE = 2.0**64


class ShareRequest(NamedTuple):
    """A request that asks for a slot of a service.

    Attributes:
      service: the service.
      organisation: name of its organisation; empty without one.
      priority: its priority; 0 is the highest.
      has_returned: whether its caller is known to have been refused before.
    """

    service: str
    organisation: str
    priority: int
    has_returned: bool = False


class ShareDecision(NamedTuple):
    """Holds whether a request is within its organisation's share.

    Attributes:
      admitted: whether it may ask for a slot.
      reason: why it is refused, for operators.
    """

    admitted: bool
    reason: str = ""


ADMITTED = ShareDecision(admitted=True)


class FairShares(abc.ABC):
    """Divides the slots of a service among organisations."""

    @abc.abstractmethod
    def acquire(self, request: ShareRequest, *, now_s: float) -> ShareDecision:
        """Returns the decision on a request, and counts it.

        Args:
          request: the request.
          now_s: the entry's clock, in seconds.
        """

    @abc.abstractmethod
    def record_refused(self, service: str, *, now_s: float) -> None:
        """Records that a request for a service found no slot."""

    @abc.abstractmethod
    def record_answered(self, service: str, *, now_s: float) -> None:
        """Records that an upstream of a service has answered a request."""


class OpenShares(FairShares):
    """Admits every request."""

    def acquire(self, request: ShareRequest, *, now_s: float) -> ShareDecision:
        """Returns the decision of inactive deployments; see the base class."""
        del request, now_s
        return ADMITTED

    def record_refused(self, service: str, *, now_s: float) -> None:
        """Ignores a refusal; nothing depends on it."""

    def record_answered(self, service: str, *, now_s: float) -> None:
        """Ignores an answer; nothing depends on it."""


class ShareReason(enum.StrEnum):
    """Says why shares of a service are in force, or no longer.

    Attributes:
      SCARCE: the service is short of slots.
      AMPLE: the service has free slots again.
      NO_TOTALS: the demand over all entries is not known.
      INACTIVE: the part is not active, or the service is not configured.
    """

    SCARCE = "scarce"
    AMPLE = "ample"
    NO_TOTALS = "no_totals"
    INACTIVE = "inactive"


class LimitedOrganisation(NamedTuple):
    """An organisation that gets less than it asks for.

    Attributes:
      organisation: its name, or its hash if no request of it came here; empty
        for requests without an organisation.
      priority: priority of its requests.
      asked_per_s: requests over all entries.
      share_per_s: requests that it may run.
      admitted_part: admitted part of its requests.
    """

    organisation: str
    priority: int
    asked_per_s: float
    share_per_s: float
    admitted_part: float


class ShareChange(NamedTuple):
    """Shares of a service that come into force, or end.

    Attributes:
      service: the service.
      in_force: whether they are in force now.
      reason: why.
      capacity_per_s: requests that the service completes per second.
      after_s: how long the state before lasted, in seconds; None if unknown.
      limited: the most limited organisations.
    """

    service: str
    in_force: bool
    reason: ShareReason
    capacity_per_s: float
    after_s: float | None
    limited: list[LimitedOrganisation]


class ServiceSharesRow(NamedTuple):
    """What operators see of the shares of a service at one entry.

    Attributes:
      service: the service.
      in_force: whether shares are in force.
      reason: why, or why not; empty if they never were.
      for_s: since when, in seconds.
      capacity_per_s: requests that the service completes per second.
      totals_age_s: age of the totals, in seconds; None without any.
      limited: the most limited organisations.
      refused: requests refused at this entry since its start, by organisation.
    """

    service: str
    in_force: bool
    reason: str
    for_s: float | None
    capacity_per_s: float
    totals_age_s: float | None
    limited: list[dict[str, object]]
    refused: dict[str, int]


class _Share:
    """The admitted part of an organisation's requests at this entry."""

    __slots__ = ("limit", "part", "sum")

    def __init__(self, limit: LimitedOrganisation, *, start: float) -> None:
        self.limit = limit
        self.part = limit.admitted_part
        self.sum = start

    def admits(self) -> bool:
        # A running sum instead of random numbers, which would vary the admitted
        # requests of a second by their square root.
        self.sum += self.part
        if self.sum < 1.0:
            return False
        self.sum -= 1.0
        return True


class _ServiceShares:
    """Shares of one service."""

    def __init__(self) -> None:
        self.in_force = False
        self.reason: ShareReason | None = None
        self.changed_s: float | None = None
        self.total_at_s = -math.inf
        self.capacity_per_s = 0.0
        self.shares: dict[tuple[int, int], _Share] = {}
        # Organisations that totals list, by priority; also those whose
        # demand is below the level.
        self.listed: dict[int, frozenset[int]] = {}
        # Admitted part of organisations that totals do not list, by priority.
        self.others: dict[int, _Share] = {}
        self.refused: Counter[str] = Counter()

    def is_current(self, now_s: float) -> bool:
        return now_s - self.total_at_s <= MAX_TOTAL_AGE_S

    def lists(self, priority: int, organisation: int) -> bool:
        return organisation in self.listed.get(priority, ())

    def limited(self) -> list[LimitedOrganisation]:
        limits = [share.limit for share in self.shares.values()]
        limits += [share.limit for share in self.others.values()]
        return sorted(limits, key=_admitted_part)[:MAX_SHOWN]


class MaxMinShares(FairShares):
    """Divides the slots of a scarce service by max-min fairness.

    Attributes:
      reports: demands of this entry and of the others.
      on_change: called when shares come into force or end.
    """

    def __init__(
        self,
        *,
        own_name: str,
        fleet: Fleet,
        is_active: Callable[[], bool],
    ) -> None:
        """Starts without requests; all are admitted.

        Args:
          own_name: name of this entry.
          fleet: the view of the deployment.
          is_active: returns whether the part is active.
        """
        self._own_name = own_name
        self._fleet = fleet
        self.is_active = is_active
        self.reports = DemandReports(own_name=own_name, fleet=fleet)
        self.on_change: Callable[[ShareChange], None] = _ignore_change
        self._services: dict[str, _ServiceShares] = {}
        self._names: dict[int, str] = {organisation_hash(""): ""}

    def acquire(self, request: ShareRequest, *, now_s: float) -> ShareDecision:
        """Returns the decision on a request, and counts it."""
        organisation = organisation_hash(request.organisation)
        self._names[organisation] = request.organisation
        self.reports.record_asked(
            request.service,
            request.priority,
            organisation,
            returned=request.has_returned,
            now_s=now_s,
        )
        found = self._services.get(request.service)
        if found is None or not found.in_force:
            return ADMITTED
        if not found.is_current(now_s):
            self._end(request.service, found, ShareReason.NO_TOTALS, now_s)
            return ADMITTED
        share = found.shares.get((request.priority, organisation))
        if share is None and not found.lists(request.priority, organisation):
            share = found.others.get(request.priority)
        if share is None or share.admits():
            return ADMITTED
        found.refused[request.organisation] += 1
        limit = share.limit
        return ShareDecision(
            admitted=False,
            reason=(
                f"{request.organisation or 'requests without organisation'}"
                f" asks {limit.asked_per_s:.1f}/s of"
                f" {found.capacity_per_s:.1f}/s of {request.service}, share"
                f" {limit.share_per_s:.1f}/s"
            ),
        )

    def record_refused(self, service: str, *, now_s: float) -> None:
        """Records that a request for a service found no slot."""
        self.reports.record_refused(service, now_s=now_s)

    def record_answered(self, service: str, *, now_s: float) -> None:
        """Records that an upstream of a service has answered a request."""
        self.reports.record_answered(service, now_s=now_s)

    # What entries report to each other; nothing while the part is inactive.

    def own(self, *, now_s: float) -> ReportedDemands:
        """Returns what this entry reports."""
        if not self.is_active():
            return NO_DEMANDS
        return self.reports.own(now_s=now_s)

    def of_zone(self, *, zones: int, now_s: float) -> ReportedDemands:
        """Returns what other zones need of the own zone.

        Args:
          zones: number of availability zones.
          now_s: the entry's clock, in seconds.
        """
        if not self.is_active():
            return NO_DEMANDS
        return self.reports.of_zone(zones=zones, now_s=now_s)

    def of_fleet(self, *, now_s: float) -> ReportedDemands:
        """Returns what the entries of the own zone need."""
        if not self.is_active():
            return NO_DEMANDS
        return self.reports.of_fleet(now_s=now_s)

    def apply_own(self, *, now_s: float) -> None:
        """Adds the demands of this entry, which reports for its zone."""
        if self.is_active():
            self.reports.apply_own(now_s=now_s)

    def apply_member(
        self, entry: str, demands: ReportedDemands, *, now_s: float
    ) -> None:
        """Applies what an entry of the own zone reports."""
        if self.is_active():
            self.reports.apply_member(entry, demands, now_s=now_s)

    def apply_zone(
        self, zone: str, demands: ReportedDemands, *, now_s: float
    ) -> None:
        """Applies the sums of another zone."""
        if self.is_active():
            self.reports.apply_zone(zone, demands, now_s=now_s)

    def apply_total(self, total: ReportedDemands, *, now_s: float) -> None:
        """Applies the demands over all entries, as of a reporter."""
        if not self.is_active():
            return
        entries = len(self._fleet.entry_names)
        if total.entries < MIN_COUNTED_PART * entries or not total.entries:
            return
        names = {}
        for service in self._fleet.services():
            names[organisation_hash(service)] = service
        for report in total.services:
            service = names.get(report.service, "")
            demand = add_demands([report])
            if not service or demand is None:
                continue
            scarcity = self.reports.scarcity(service)
            scarcity.record_told(
                refused=demand.refused, scarce=demand.scarce, now_s=now_s
            )
            found = self._services.setdefault(service, _ServiceShares())
            found.total_at_s = now_s
            self._set_shares(service, found, demand, total.entries, now_s)
        self.update(now_s=now_s)

    def _set_shares(
        self,
        service: str,
        found: _ServiceShares,
        demand: DemandSum,
        entries: int,
        now_s: float,
    ) -> None:
        by_priority = self.reports.shares(
            service, demand, entries=entries, now_s=now_s
        )
        found.capacity_per_s = self.reports.capacity_per_s(
            service, demand, entries=entries, now_s=now_s
        )
        before = found.shares
        others_before = found.others
        found.shares = {}
        found.others = {}
        found.listed = {}
        for priority, share in by_priority.items():
            found.listed[priority] = frozenset(
                demand.priorities[priority].organisations
            )
            for organisation, part in share.parts.items():
                key = (priority, organisation)
                known = demand.priorities[priority].organisations[organisation]
                limit = LimitedOrganisation(
                    organisation=self._name(organisation),
                    priority=priority,
                    asked_per_s=known.asked_per_s,
                    share_per_s=share.level_per_s,
                    admitted_part=part,
                )
                found.shares[key] = self._share(limit, before.get(key))
            if share.others_part < 1.0:
                limit = self._others_limit(priority, share, demand)
                found.others[priority] = self._share(
                    limit, others_before.get(priority)
                )

    @staticmethod
    def _others_limit(
        priority: int, share: PriorityShare, demand: DemandSum
    ) -> LimitedOrganisation:
        asked_per_s = demand.priorities[priority].others_per_s
        return LimitedOrganisation(
            organisation="others",
            priority=priority,
            asked_per_s=asked_per_s,
            share_per_s=share.others_part * asked_per_s,
            admitted_part=share.others_part,
        )

    def _share(
        self, limit: LimitedOrganisation, before: _Share | None
    ) -> _Share:
        # Entries start with different sums. Otherwise the first request of an
        # organisation would be admitted at all of them, or at none.
        if before is not None:
            return _Share(limit, start=before.sum)
        name = f"{self._own_name}\0{limit.organisation}\0{limit.priority}"
        start = xxhash.xxh3_64_intdigest(name.encode()) / _HASH_RANGE
        return _Share(limit, start=start)

    def _name(self, organisation: int) -> str:
        return self._names.get(organisation, f"{organisation:08x}")

    def update(self, *, now_s: float) -> None:
        """Finds out which services are scarce, and whether totals are known."""
        services = self._fleet.services() if self.is_active() else []
        self._retain(services, now_s)
        for service in services:
            scarcity = self.reports.scarcity(service)
            utilisation = self.reports.utilisation(service, now_s=now_s)
            scarcity.update(utilisation, now_s=now_s)
            found = self._services.get(service)
            if scarcity.since_s is None:
                if found is not None and found.reason is not None:
                    self._end(service, found, ShareReason.AMPLE, now_s)
                continue
            if found is None:
                found = _ServiceShares()
                self._services[service] = found
            if found.is_current(now_s):
                self._begin(service, found, now_s)
            elif now_s - scarcity.since_s > MAX_TOTAL_AGE_S or found.in_force:
                self._end(service, found, ShareReason.NO_TOTALS, now_s)

    def _retain(self, services: Collection[str], now_s: float) -> None:
        """Ends the shares of all other services and drops their state."""
        for service in list(self._services):
            if service not in services:
                found = self._services.pop(service)
                self._end(service, found, ShareReason.INACTIVE, now_s)
        self.reports.retain(services)

    def _begin(self, service: str, found: _ServiceShares, now_s: float) -> None:
        if not found.in_force:
            found.in_force = True
            self._record_change(service, found, ShareReason.SCARCE, now_s)

    def _end(
        self,
        service: str,
        found: _ServiceShares,
        reason: ShareReason,
        now_s: float,
    ) -> None:
        if found.reason is reason:
            return
        was_in_force = found.in_force
        found.in_force = False
        if reason is ShareReason.NO_TOTALS or was_in_force:
            self._record_change(service, found, reason, now_s)
        else:
            found.reason = reason

    def _record_change(
        self,
        service: str,
        found: _ServiceShares,
        reason: ShareReason,
        now_s: float,
    ) -> None:
        before_s = found.changed_s
        found.reason = reason
        found.changed_s = now_s
        self.on_change(
            ShareChange(
                service=service,
                in_force=found.in_force,
                reason=reason,
                capacity_per_s=round(found.capacity_per_s, 1),
                after_s=None
                if before_s is None
                else round(now_s - before_s, 2),
                limited=found.limited(),
            )
        )

    def rows(self, *, now_s: float) -> list[ServiceSharesRow]:
        """Returns what operators see, by service."""
        rows = []
        for service, found in sorted(self._services.items()):
            age_s = now_s - found.total_at_s
            limited = found.limited() if found.in_force else []
            rows.append(
                ServiceSharesRow(
                    service=service,
                    in_force=found.in_force,
                    reason=str(found.reason or ""),
                    for_s=None
                    if found.changed_s is None
                    else round(now_s - found.changed_s, 2),
                    capacity_per_s=round(found.capacity_per_s, 1),
                    totals_age_s=round(age_s, 2)
                    if math.isfinite(age_s)
                    else None,
                    limited=[describe_limit(limit) for limit in limited],
                    refused=dict(found.refused),
                )
            )
        return rows


def describe_limit(limit: LimitedOrganisation) -> dict[str, object]:
    """Returns a limit with rounded figures, for logs and operators."""
    return {
        "organisation": limit.organisation,
        "priority": limit.priority,
        "asked_per_s": round(limit.asked_per_s, 1),
        "share_per_s": round(limit.share_per_s, 1),
        "admitted_part": round(limit.admitted_part, 3),
    }


def _admitted_part(limit: LimitedOrganisation) -> float:
    return limit.admitted_part


def _ignore_change(change: ShareChange) -> None:
    """Does nothing; nobody has asked for changes yet."""
    del change
