"""Entries that hold organisations to quotas, in virtual time.

The entries exchange their real messages; callers send at random times.
"""

from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

from almondstair.core.organisations import Organisation
from almondstair.core.quotas import EqualShares
from almondstair.core.quotas import FleetMembership
from almondstair.core.quotas import QuotaLimiter
from almondstair.core.rate_reports import EntryQuotas
from features.support.load_exchange_world import LoadExchangeWorld
from features.support.load_exchange_world import Member

WINDOW_S = 5.0
# Tolerance of the operators' rule: a part of the quota, and requests.
TOLERATED_SHARE = 0.1
TOLERATED_REQUESTS = 20
LINK_MBPS = 10.0


class Asked(NamedTuple):
    """One request of an organisation.

    Attributes:
      at_s: when it reached an entry.
      granted: whether it was within the quota.
    """

    at_s: float
    granted: bool


class Traffic(NamedTuple):
    """Describes the requests of an organisation.

    Attributes:
      organisation: the organisation.
      rate_per_s: requests per second, by the time since the start.
      entries: names of the entries that they reach, by the time likewise.
    """

    organisation: Organisation
    rate_per_s: Callable[[float], float]
    entries: Callable[[float], Sequence[str]]


class QuotaWorld(LoadExchangeWorld):
    """Simulates entries that grant requests of organisations.

    Attributes:
      asked: requests by the name of the organisation.
    """

    def __init__(
        self,
        *,
        entries: int,
        zones: int,
        organisations: Sequence[Organisation],
        equal_shares: bool = False,
    ) -> None:
        """Creates entries with a configuration of organisations.

        Args:
          entries: number of entries.
          zones: number of availability zones.
          organisations: those of the configuration.
          equal_shares: whether entries use equal shares, for comparison.
        """
        self.organisations = tuple(organisations)
        super().__init__(
            entries=entries, zones=zones, upstreams=60, link_mbps=LINK_MBPS
        )
        self.asked: dict[str, list[Asked]] = {}
        self._quotas: dict[str, EntryQuotas] = {}
        for member in self.members.values():
            self._quotas[member.name] = self._make_quotas(member, equal_shares)

    def _make_quotas(self, member: Member, equal_shares: bool) -> EntryQuotas:
        limiter: QuotaLimiter = member.quota_reports.limiter
        if equal_shares:
            limiter = EqualShares()
        return EntryQuotas(limiter=limiter, own=member.quota_reports.own)

    def names_in(self, *zones: str) -> list[str]:
        """Returns the entries of some zones."""
        found = []
        for member in self.members.values():
            if member.zone in zones:
                found.append(member.name)
        return found

    def send(self, traffic: Traffic, *, for_s: float) -> None:
        """Schedules the requests of an organisation for a time span."""
        start_s = self.now_s
        asked = self.asked.setdefault(traffic.organisation.name, [])

        def send_next() -> None:
            since_s = self.now_s - start_s
            if since_s >= for_s:
                return
            name = self.draws.choice(list(traffic.entries(since_s)))
            asked.append(self._ask(name, traffic.organisation))
            rate_per_s = traffic.rate_per_s(since_s)
            self.schedule(self.draws.expovariate(rate_per_s), send_next)

        self.schedule(0.0, send_next)

    def _ask(self, name: str, organisation: Organisation) -> Asked:
        decision = self._quotas[name].acquire(
            organisation,
            membership=FleetMembership(
                entries=len(self.members),
                joined_s=0.0 if name in self.partitioned else self.now_s,
            ),
            now_s=self.now_s,
        )
        return Asked(at_s=self.now_s, granted=decision.granted)

    def refused(self, organisation: Organisation) -> int:
        """Returns how many requests of an organisation were refused."""
        asked = self.asked[organisation.name]
        return sum(not request.granted for request in asked)

    def largest_window(self, organisation: Organisation) -> int:
        """Returns the most requests granted in any window."""
        window: deque[float] = deque()
        largest = 0
        for request in self.asked[organisation.name]:
            if not request.granted:
                continue
            window.append(request.at_s)
            while window[0] <= request.at_s - WINDOW_S:
                window.popleft()
            largest = max(largest, len(window))
        return largest


def rule_limit(organisation: Organisation) -> float:
    """Returns the most requests that the operators tolerate in a window."""
    quota = organisation.rate_per_s * WINDOW_S + organisation.burst
    return quota * (1 + TOLERATED_SHARE) + TOLERATED_REQUESTS
