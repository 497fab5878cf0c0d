"""Holds requests to rates over all entries, without a coordinator.

Organisations have quotas, and upstreams state limits. A quota is a rate and a
burst, as of one token bucket for the whole fleet. Most organisations send a
request every few seconds through any one entry, so equal shares of the rate
would refuse what the fleet as a whole may run. Instead, each entry follows the
fleet's bucket from the totals that entries report (`rate_reports`), and grants
the part of its requests that empties the bucket and no more. Entries that know
the same totals grant the same part, however many requests reach each of them.
"""

import abc
from collections.abc import Mapping
import math
from typing import NamedTuple, Protocol

import xxhash

from almondstair.core.fleet_bucket import LEVEL_TIME_S
from almondstair.core.fleet_bucket import MIN_DEPTH_REQUESTS
from almondstair.core.fleet_bucket import FleetBucket
from almondstair.core.fleet_bucket import Quota
from almondstair.core.use_counts import NOTHING_USED
from almondstair.core.use_counts import FleetUse

# Part of its rate below which totals do not list what it limits.
LISTED_SHARE = 0.4
# Maximum age of a total. Older ones miss a flood through other entries.
MAX_TOTAL_AGE_S = 1.5
# Part of the entries that a total must include. A partitioned entry that sums
# up only its own requests has no total.
MIN_COUNTED_SHARE = 0.5
# Share of a newcomer, as the others divide the whole limit among themselves.
NEWCOMER_SHARE = 0.25
# Limits of the time until a refused caller may return.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0
_HASH_RANGE = 2.0**64


class SharedRate(Protocol):
    """A rate that all entries keep together, such as a quota."""

    @property
    def name(self) -> str:
        """Returns the name of what it limits."""

    @property
    def name_hash(self) -> int:
        """Returns the hash that identifies it between entries."""

    @property
    def rate_per_s(self) -> float:
        """Returns the requests per second; 0 for no limit."""

    @property
    def burst(self) -> float:
        """Returns the requests in addition."""


class FleetMembership(NamedTuple):
    """Holds what an entry knows of the entries that share quotas.

    Attributes:
      entries: number of live entries, including this one.
      joined_s: for how long the others have counted this entry among them, in
        seconds; 0 if they may not.
      alone: whether no other entry is known, nor named in the settings.
    """

    entries: int
    joined_s: float
    alone: bool = False

    @property
    def joined(self) -> bool:
        """Returns whether the others count this entry among them."""
        return self.joined_s > 0.0


class QuotaDecision(NamedTuple):
    """Holds whether a request is within its organisation's quota.

    Attributes:
      granted: whether it may run.
      retry_after_s: when a refused caller may return, in seconds.
      reason: why it is refused, for operators.
    """

    granted: bool
    retry_after_s: float = 0.0
    reason: str = ""


GRANTED = QuotaDecision(granted=True)


class QuotaLimiter(abc.ABC):
    """Decides which requests of organisations are within their quotas."""

    @abc.abstractmethod
    def decide(
        self,
        rate: SharedRate,
        *,
        membership: FleetMembership,
        now_s: float,
    ) -> QuotaDecision:
        """Returns the decision on a request, which counts if it is granted."""

    @abc.abstractmethod
    def release(self, rate: SharedRate) -> None:
        """Returns the token of a granted request that has not run."""


class _EntryBucket:
    """Tokens of an organisation at one entry."""

    __slots__ = ("tokens", "updated_s")

    def __init__(self, *, tokens: float, now_s: float) -> None:
        self.tokens = tokens
        self.updated_s = now_s


class EqualShares(QuotaLimiter):
    """Gives each entry an equal share, and at least one request at once.

    It needs no messages, but refuses requests below the quota if the callers of
    an organisation use few entries.
    """

    def __init__(
        self, *, own_name: str = "", starts_used: bool = False
    ) -> None:
        """Starts without requests.

        Args:
          own_name: name of this entry.
          starts_used: whether a rate starts used up, so that entries get their
            first requests one after the other and not all at once.
        """
        self._own_name = own_name
        self._starts_used = starts_used
        self._buckets: dict[int, _EntryBucket] = {}

    def decide(
        self,
        rate: SharedRate,
        *,
        membership: FleetMembership,
        now_s: float,
    ) -> QuotaDecision:
        """Returns the decision on a request."""
        bucket = self._buckets.get(rate.name_hash)
        if bucket is None:
            tokens = 1.0
            if self._starts_used:
                tokens = _own_part(self._own_name, rate)
            bucket = _EntryBucket(tokens=tokens, now_s=now_s)
            self._buckets[rate.name_hash] = bucket
        share = 1.0 / max(1, membership.entries)
        if not membership.joined:
            share *= NEWCOMER_SHARE
        rate_per_s = share * rate.rate_per_s
        depth = max(1.0, share * rate.burst)
        elapsed_s = max(0.0, now_s - bucket.updated_s)
        bucket.updated_s = now_s
        bucket.tokens = min(depth, bucket.tokens + elapsed_s * rate_per_s)
        if bucket.tokens >= 1.0:
            bucket.tokens -= 1.0
            return GRANTED
        missing = 1.0 - bucket.tokens
        return _refused(
            missing / rate_per_s if rate_per_s else math.inf,
            f"share of {rate_per_s:.2f}/s without recent totals",
        )

    def release(self, rate: SharedRate) -> None:
        """Returns the token of a granted request that has not run."""
        bucket = self._buckets.get(rate.name_hash)
        if bucket is not None:
            bucket.tokens += 1.0

    def forget(self, name: int) -> None:
        """Drops the tokens of the rate of a hash, which starts again."""
        self._buckets.pop(name, None)


class FleetTotals(QuotaLimiter):
    """Grants the part of an organisation's requests that the fleet may run.

    Without a recent total it falls back to equal shares. Organisations that
    totals do not list ask for less than their rate.
    """

    def __init__(
        self, *, own_name: str, window_s: float, starts_used: bool = False
    ) -> None:
        """Starts without a total.

        Args:
          own_name: name of this entry.
          window_s: time over which quotas are counted, in seconds.
          starts_used: whether a rate starts used up, as requests have been sent
            before it was in force.
        """
        self._own_name = own_name
        self._window_s = window_s
        self._starts_used = starts_used
        self._equal_shares = EqualShares(
            own_name=own_name, starts_used=starts_used
        )
        self._buckets: dict[int, FleetBucket] = {}
        self._counted_entries = 0
        self._total_at_s = -math.inf

    def set_window(self, window_s: float) -> None:
        """Replaces the time over which quotas are counted."""
        self._window_s = window_s

    def bucket(self, rate: SharedRate) -> FleetBucket | None:
        """Returns what is known of the fleet's bucket, None if it is full."""
        return self._buckets.get(rate.name_hash)

    def forget(self, name: int) -> None:
        """Drops what is known of the rate of a hash, which has ended."""
        self._buckets.pop(name, None)
        self._equal_shares.forget(name)

    def total_age_s(self, *, now_s: float) -> float:
        """Returns the age of the last total, in seconds."""
        return now_s - self._total_at_s

    def apply_total(
        self,
        uses: dict[int, FleetUse],
        *,
        rates: Mapping[int, SharedRate],
        membership: FleetMembership,
        counted_entries: int,
        now_s: float,
    ) -> None:
        """Applies what the fleet did since the last total.

        Args:
          uses: by the hash of the rate; those that are asked for little may be
            absent.
          rates: the rates in force, by hash.
          membership: the entries that share quotas.
          counted_entries: number of entries whose requests are included.
          now_s: the entry's clock, in seconds.
        """
        self._counted_entries = counted_entries
        if self.counted_share(membership) < MIN_COUNTED_SHARE:
            return
        self._total_at_s = now_s
        for name in self._buckets.keys() | uses.keys():
            rate = rates.get(name)
            if rate is None or not rate.rate_per_s:
                self._buckets.pop(name, None)
                continue
            bucket = self._buckets.get(name)
            if bucket is None:
                bucket = self._create_bucket(rate, now_s)
                self._buckets[name] = bucket
            bucket.record(
                uses.get(name, NOTHING_USED),
                quota=self._quota(rate, membership),
                now_s=now_s,
            )

    def _create_bucket(self, rate: SharedRate, now_s: float) -> FleetBucket:
        # Entries start with different parts. Otherwise the first request of a
        # flood would be granted at all of them, or at none.
        level = max(MIN_DEPTH_REQUESTS, rate.burst)
        used_share = LISTED_SHARE
        if self._starts_used:
            level = 0.0
            used_share = 1.0
        bucket = FleetBucket(
            level=level,
            granted_part=_own_part(self._own_name, rate),
            now_s=now_s,
            pays_within_window=self._starts_used,
        )
        bucket.assume_granted(
            rate_per_s=used_share * rate.rate_per_s,
            window_s=self._window_s,
            now_s=now_s,
        )
        return bucket

    def counted_share(self, membership: FleetMembership) -> float:
        """Returns the part of the entries that the last total includes."""
        return min(1.0, self._counted_entries / max(1, membership.entries))

    def _quota(self, rate: SharedRate, membership: FleetMembership) -> Quota:
        """Returns the quota without the shares of entries that are not counted.

        Those may use their equal shares unseen.
        """
        share = self.counted_share(membership)
        return Quota(
            rate_per_s=share * rate.rate_per_s,
            burst=share * rate.burst,
            window_s=self._window_s,
        )

    def decide(
        self,
        rate: SharedRate,
        *,
        membership: FleetMembership,
        now_s: float,
    ) -> QuotaDecision:
        """Returns the decision on a request."""
        if self.total_age_s(now_s=now_s) > MAX_TOTAL_AGE_S:
            return self._equal_shares.decide(
                rate, membership=membership, now_s=now_s
            )
        if self._starts_used:
            # Tokens that entries saved up meanwhile would be spent at once.
            self._equal_shares.forget(rate.name_hash)
        bucket = self._buckets.get(rate.name_hash)
        if bucket is None:
            return GRANTED
        # A running sum instead of random numbers, which would vary the granted
        # requests of a second by their square root.
        share = bucket.granted_share
        bucket.granted_part += share
        if bucket.granted_part >= 1.0:
            bucket.granted_part -= 1.0
            return GRANTED
        return _refused(
            LEVEL_TIME_S / share if share else MAX_RETRY_S,
            f"asks {bucket.asked_per_s:.1f}/s of"
            f" {rate.rate_per_s:.1f}/s, share {share:.2f}",
        )

    def release(self, rate: SharedRate) -> None:
        """Returns the token of a granted request that has not run.

        The next report returns it to the fleet's bucket.
        """
        del rate


def _own_part(own_name: str, rate: SharedRate) -> float:
    """Returns a number of this entry for a rate, spread evenly over 0 to 1."""
    name = f"{own_name}\0{rate.name}"
    return xxhash.xxh3_64_intdigest(name.encode()) / _HASH_RANGE


def _refused(retry_after_s: float, reason: str) -> QuotaDecision:
    return QuotaDecision(
        granted=False,
        retry_after_s=min(MAX_RETRY_S, max(MIN_RETRY_S, retry_after_s)),
        reason=reason,
    )
