"""Keeps the requests of all entries within the limits of upstreams."""

import math

from almondstair.core.fleet import Fleet
from almondstair.core.limit_reports import LimitReports
from almondstair.core.quotas import GRANTED
from almondstair.core.quotas import QuotaDecision
from almondstair.core.rate_reports import EntryQuotas
from almondstair.core.upstream_state import UpstreamState


class LimitRefusals:
    """Upstreams whose limits have refused one request.

    A request asks each upstream once. If it asked again while it waits, the
    requests that are asked for would grow with the wait.

    Attributes:
      upstreams: ids of the upstreams.
      retry_after_s: shortest time until one of them may have room, in seconds.
    """

    __slots__ = ("retry_after_s", "upstreams")

    def __init__(self) -> None:
        """Starts without refusals."""
        self.upstreams: set[str] = set()
        self.retry_after_s = math.inf

    def record(self, upstream_id: str, *, retry_after_s: float) -> None:
        """Records that an upstream's limit refused the request."""
        self.upstreams.add(upstream_id)
        self.retry_after_s = min(self.retry_after_s, retry_after_s)


class UpstreamLimiter:
    """Decides which requests of one entry may be sent to limited upstreams."""

    def __init__(self, *, fleet: Fleet, reports: LimitReports) -> None:
        """Creates the limiter of one entry.

        Args:
          fleet: the view of the deployment.
          reports: limits that upstreams state, and the requests counted.
        """
        self._fleet = fleet
        self._limits = reports.limits
        self._quotas = EntryQuotas(
            limiter=reports.counts.limiter, own=reports.counts.own
        )

    def acquire(
        self, upstream: UpstreamState, *, now_s: float
    ) -> QuotaDecision:
        """Returns whether an upstream may get a request, which then counts."""
        rate = self._limits.rate_limit(upstream.name_hash)
        if rate is None:
            return GRANTED
        return self._quotas.acquire(
            rate, membership=self._fleet.membership(now_s=now_s), now_s=now_s
        )

    def release(self, upstream: UpstreamState, *, now_s: float) -> None:
        """Gives back a granted request that was not sent."""
        rate = self._limits.rate_limit(upstream.name_hash)
        if rate is not None:
            self._quotas.release(rate, now_s=now_s)

    def limit_per_s(self, upstream: UpstreamState) -> float | None:
        """Returns the limit of an upstream; None without one."""
        limit = self._limits.get(upstream.name_hash)
        return None if limit is None else limit.rate_per_s
