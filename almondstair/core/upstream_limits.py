"""Limits on requests per second that upstreams state in their responses.

An upstream in need states how many requests per second it accepts from all
entries together, in each of its responses for as long as the limit holds. An
entry learns a limit from a response that it gets, or from another entry
(`limit_reports`). The newest statement counts, whoever got it.
"""

from collections.abc import Collection
from typing import NamedTuple

import msgspec

# A limit below one request in this time counts as one request in it. With none
# at all, no response could ever state that the limit has ended.
LONGEST_GAP_S = 5.0
# How long the end of a limit is kept, so that an older statement that arrives
# later does not start it again.
ENDED_KEPT_S = 5.0
# How long the limit of an upstream without registration is kept.
UNREGISTERED_KEPT_S = 10.0
_MS_PER_S = 1000


class LimitStatement(msgspec.Struct, array_like=True, frozen=True):
    """What a response stated, as entries tell each other.

    Attributes:
      upstream: hash of the upstream's incarnation.
      rate_per_s: requests per second; None for no limit.
      age_ms: time since the response arrived, in milliseconds.
    """

    upstream: int
    rate_per_s: float | None
    age_ms: int


class UpstreamLimit(NamedTuple):
    """Holds the newest statement of an upstream.

    Attributes:
      rate_per_s: requests per second; None for no limit.
      at_s: when the response arrived, on the entry's clock, in seconds.
    """

    rate_per_s: float | None
    at_s: float


class LimitChange(NamedTuple):
    """Holds a change of an upstream's limit.

    Attributes:
      upstream: hash of the upstream's incarnation.
      rate_per_s: the new limit in requests per second; None if it ended.
      before_per_s: the former limit; None if there was none.
      age_s: time since the response with it arrived, in seconds.
    """

    upstream: int
    rate_per_s: float | None
    before_per_s: float | None
    age_s: float


class RateLimit(NamedTuple):
    """Holds the rate that entries keep together at an upstream.

    Attributes:
      name: name of the rate.
      name_hash: hash of the upstream's incarnation.
      rate_per_s: requests per second, above 0.
      burst: requests in addition.
    """

    name: str
    name_hash: int
    rate_per_s: float
    burst: float = 0.0


class UpstreamLimits:
    """Holds the newest statement of each upstream that has a limit."""

    def __init__(self) -> None:
        """Starts without limits."""
        self._newest: dict[int, UpstreamLimit] = {}

    def get(self, upstream: int) -> UpstreamLimit | None:
        """Returns the limit in force at an upstream, None without one.

        Args:
          upstream: hash of the upstream's incarnation.
        """
        limit = self._newest.get(upstream)
        if limit is None or limit.rate_per_s is None:
            return None
        return limit

    def rates(self) -> list[tuple[int, float | None]]:
        """Returns all newest statements by the upstream's hash."""
        found = []
        for upstream, limit in self._newest.items():
            found.append((upstream, limit.rate_per_s))
        return found

    def rate_limit(self, upstream: int) -> RateLimit | None:
        """Returns the rate that entries keep, None without a limit."""
        limit = self._newest.get(upstream)
        if limit is None or limit.rate_per_s is None:
            return None
        rate_per_s = max(limit.rate_per_s, 1 / LONGEST_GAP_S)
        return RateLimit(f"{upstream:x}", upstream, rate_per_s)

    def rate_limits(self) -> dict[int, RateLimit]:
        """Returns the rates of all upstreams with a limit, by hash."""
        found = {}
        for upstream in self._newest:
            limit = self.rate_limit(upstream)
            if limit is not None:
                found[upstream] = limit
        return found

    def apply(
        self, upstream: int, rate_per_s: float | None, *, at_s: float
    ) -> LimitChange | None:
        """Applies what a response stated; returns the change it makes.

        Args:
          upstream: hash of the upstream's incarnation.
          rate_per_s: requests per second; None for no limit.
          at_s: when the response arrived, on the entry's clock, in seconds.
        """
        before = self._newest.get(upstream)
        if before is None and rate_per_s is None:
            return None
        if before is not None and before.at_s > at_s:
            return None
        self._newest[upstream] = UpstreamLimit(rate_per_s, at_s)
        before_per_s = before.rate_per_s if before is not None else None
        if before_per_s == rate_per_s:
            return None
        return LimitChange(upstream, rate_per_s, before_per_s, 0.0)

    def apply_statement(
        self, statement: LimitStatement, *, now_s: float
    ) -> LimitChange | None:
        """Applies another entry's statement; returns the change it makes."""
        age_s = max(0, statement.age_ms) / _MS_PER_S
        change = self.apply(
            statement.upstream, statement.rate_per_s, at_s=now_s - age_s
        )
        if change is None:
            return None
        return change._replace(age_s=age_s)

    def statements(self, *, now_s: float) -> list[LimitStatement]:
        """Returns the newest statements, to be told to other entries."""
        found = []
        for upstream, limit in self._newest.items():
            age_ms = round(max(0.0, now_s - limit.at_s) * _MS_PER_S)
            found.append(LimitStatement(upstream, limit.rate_per_s, age_ms))
        return found

    def expire(self, registered: Collection[int], *, now_s: float) -> list[int]:
        """Drops limits that ended and those of upstreams that have gone.

        Args:
          registered: hashes of the registered incarnations.
          now_s: the entry's clock, in seconds.

        Returns:
          The hashes of the upstreams whose limits were dropped.
        """
        dropped = []
        for upstream, limit in list(self._newest.items()):
            age_s = now_s - limit.at_s
            ended = limit.rate_per_s is None and age_s > ENDED_KEPT_S
            gone = upstream not in registered and age_s > UNREGISTERED_KEPT_S
            if ended or gone:
                del self._newest[upstream]
                dropped.append(upstream)
        return dropped
