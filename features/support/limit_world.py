"""Entries that keep to the limit of an upstream together, in virtual time.

The entries exchange their real messages; callers send at random times. The
upstream states its limit in each answer.
"""

from collections.abc import Callable
import math

from almondstair.core.quotas import EqualShares
from almondstair.core.rate_reports import EntryQuotas
from almondstair.core.upstream_limiter import UpstreamLimiter
from almondstair.core.upstream_state import UpstreamState
from features.support.limited_upstreams import SETTLE_S
from features.support.limited_upstreams import largest_window
from features.support.load_exchange_world import LoadExchangeWorld
from features.support.load_exchange_world import Member

LINK_MBPS = 10.0
UPSTREAMS = 60
LIMITED = "u0"
# From a request to the end of its answer.
ANSWER_S = 0.12


class LimitWorld(LoadExchangeWorld):
    """Simulates entries, one upstream with a limit, and its callers.

    Attributes:
      limit_per_s: what the upstream states; None for no limit.
      arrivals: times of the requests that reached the upstream.
      asked: requests that callers sent for it.
    """

    def __init__(
        self, *, entries: int, zones: int, equal_shares: bool = False
    ) -> None:
        """Creates entries that know each other.

        Args:
          entries: number of entries.
          zones: number of availability zones.
          equal_shares: whether entries use equal shares, for comparison.
        """
        super().__init__(
            entries=entries,
            zones=zones,
            upstreams=UPSTREAMS,
            link_mbps=LINK_MBPS,
        )
        self.limit_per_s: float | None = None
        self.arrivals: list[float] = []
        self.asked = 0
        self._stated_s = math.inf
        self._limiters: dict[str, UpstreamLimiter] = {}
        for member in self.members.values():
            member.fleet.as_of_s = math.inf
            member.fleet.record_registered(
                valid_until_s=math.inf, created=True, now_s=0.0
            )
            self._limiters[member.name] = UpstreamLimiter(
                fleet=member.fleet, reports=member.limit_reports
            )
            if equal_shares:
                self._use_equal_shares(member)

    def _use_equal_shares(self, member: Member) -> None:
        counts = member.limit_reports.counts
        limiter = self._limiters[member.name]
        limiter._quotas = EntryQuotas(
            limiter=EqualShares(own_name=member.name, starts_used=True),
            own=counts.own,
        )

    def state_limit(self, limit_per_s: float | None) -> None:
        """Makes the upstream state a limit in its answers from now on."""
        self.limit_per_s = limit_per_s
        if limit_per_s is not None:
            self._stated_s = min(self._stated_s, self.now_s)

    def restart(self, name: str) -> None:
        """Ends an entry's process and starts another, which knows nothing."""
        old = self.members[name]
        [entry] = [one for one in self._registered if one.name == name]
        self.stopped.add(id(old.load_exchange))
        self._add_entry(entry)
        member = self.members[name]
        member.fleet.as_of_s = math.inf
        member.fleet.record_registered(
            valid_until_s=math.inf, created=True, now_s=self.now_s
        )
        self._limiters[name] = UpstreamLimiter(
            fleet=member.fleet, reports=member.limit_reports
        )
        self._start_exchange(member)

    def send(
        self, rate_per_s: Callable[[float], float], *, for_s: float
    ) -> None:
        """Schedules requests for the upstream through all entries."""
        start_s = self.now_s

        def send_next() -> None:
            since_s = self.now_s - start_s
            if since_s >= for_s:
                return
            self._ask(self.members[self.draws.choice(list(self.members))])
            gap_s = self.draws.expovariate(rate_per_s(since_s))
            self.schedule(gap_s, send_next)

        self.schedule(0.0, send_next)

    def _ask(self, member: Member) -> None:
        self.asked += 1
        upstream: UpstreamState = self.state(member, LIMITED)
        limiter = self._limiters[member.name]
        if not limiter.acquire(upstream, now_s=self.now_s).granted:
            return
        self.arrivals.append(self.now_s)
        limits = member.limit_reports.limits

        def answer() -> None:
            limits.apply(upstream.name_hash, self.limit_per_s, at_s=self.now_s)

        self.schedule(ANSWER_S, answer)

    def informed(self, limit_per_s: float | None) -> int:
        """Returns the number of entries that know a limit."""
        count = 0
        for name, limiter in self._limiters.items():
            upstream = self.state(self.members[name], LIMITED)
            count += limiter.limit_per_s(upstream) == limit_per_s
        return count

    def largest_window(self) -> int:
        """Returns the most requests in a window that the rule counts."""
        return largest_window(self.arrivals, from_s=self._stated_s + SETTLE_S)

    def served_per_s(self, span_s: float) -> float:
        """Returns the requests per second in the last time span."""
        count = sum(at_s > self.now_s - span_s for at_s in self.arrivals)
        return count / span_s
