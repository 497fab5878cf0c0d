"""Reports of requests that count towards rates which entries keep together.

Counts of what is asked for little are not sent. A zone reports a rate's count
once it asks for a notable part of it there, or once the fleet's total does.
"""

from collections.abc import Mapping
import math

from almondstair.core.quotas import GRANTED
from almondstair.core.quotas import LISTED_SHARE
from almondstair.core.quotas import FleetMembership
from almondstair.core.quotas import FleetTotals
from almondstair.core.quotas import QuotaDecision
from almondstair.core.quotas import QuotaLimiter
from almondstair.core.quotas import SharedRate
from almondstair.core.use_counts import FleetCounts
from almondstair.core.use_counts import OwnUse
from almondstair.core.use_counts import UseCount

# Part of a rate, divided by the zones, above which a zone reports its count.
ZONE_LISTED_SHARE = 0.6


class RateReports(FleetCounts):
    """Holds the counts of requests by the rate that they count towards.

    Attributes:
      limiter: gets the fleet's totals.
    """

    def __init__(self, *, own_name: str, limiter: FleetTotals) -> None:
        """Starts without counts.

        Args:
          own_name: name of this entry.
          limiter: gets the fleet's totals.
        """
        super().__init__(own_name=own_name)
        self.limiter = limiter

    def forget_name(self, name: int) -> None:
        """Drops all counts of a rate that has ended."""
        super().forget_name(name)
        self.limiter.forget(name)

    def totals_age_s(self, *, now_s: float) -> float | None:
        """Returns the age of the fleet's totals; None without any."""
        age_s = self.limiter.total_age_s(now_s=now_s)
        return round(age_s, 2) if math.isfinite(age_s) else None

    def zone_counts(
        self,
        rates: Mapping[int, SharedRate],
        *,
        zones: int,
        membership: FleetMembership,
        now_s: float,
    ) -> list[UseCount]:
        """Returns the sums that other zones need.

        Args:
          rates: the rates in force by hash.
          zones: number of availability zones.
          membership: the entries that share the rates.
          now_s: the entry's clock, in seconds.
        """
        self.zone.retain(rates)
        counts = []
        for name in self.fleet.names():
            rate = rates.get(name)
            if rate is None or not rate.rate_per_s:
                continue
            rate_per_s = rate.rate_per_s
            zone_per_s = self.zone.asked_per_s(name, now_s=now_s)
            in_zone = zone_per_s > ZONE_LISTED_SHARE * rate_per_s / max(
                1, zones
            )
            if in_zone or self._is_listed(rate, membership, now_s):
                counts.append(self.zone.count(name))
        return counts

    def total_counts(
        self,
        rates: Mapping[int, SharedRate],
        *,
        membership: FleetMembership,
        now_s: float,
    ) -> list[UseCount]:
        """Returns the fleet's sums of the rates that are nearly used up."""
        self.fleet.retain(rates)
        counts = []
        for name in self.fleet.names():
            rate = rates[name]
            if not rate.rate_per_s:
                continue
            if self._is_listed(rate, membership, now_s):
                counts.append(self.fleet.count(name))
        return counts

    def _is_listed(
        self,
        rate: SharedRate,
        membership: FleetMembership,
        now_s: float,
    ) -> bool:
        name = rate.name_hash
        bucket = self.limiter.bucket(rate)
        if bucket is not None and bucket.level < 0:
            return True
        asked_per_s = self.fleet.asked_per_s(name, now_s=now_s)
        share = LISTED_SHARE * self.limiter.counted_share(membership)
        return asked_per_s > share * rate.rate_per_s

    def apply_total(
        self,
        reporter: str,
        counts: list[UseCount],
        *,
        rates: Mapping[int, SharedRate],
        membership: FleetMembership,
        counted_entries: int,
        now_s: float,
    ) -> None:
        """Applies the fleet's sums, as of a reporter of the own zone."""
        self.limiter.apply_total(
            self.new_in_total(reporter, counts, now_s=now_s),
            rates=rates,
            membership=membership,
            counted_entries=counted_entries,
            now_s=now_s,
        )


class EntryQuotas:
    """Holds the requests of one entry to shared rates, and counts them."""

    def __init__(self, *, limiter: QuotaLimiter, own: OwnUse) -> None:
        """Creates the quotas of one entry.

        Args:
          limiter: decides which requests are within their rates.
          own: counts this entry's requests.
        """
        self._limiter = limiter
        self._own = own

    def acquire(
        self,
        rate: SharedRate,
        *,
        membership: FleetMembership,
        now_s: float,
    ) -> QuotaDecision:
        """Returns the decision on a request, and counts it."""
        name = rate.name_hash
        self._own.asked[name] += 1
        if not rate.rate_per_s:
            return GRANTED
        self._own.record_asked(name, now_s=now_s)
        decision = self._limiter.decide(
            rate, membership=membership, now_s=now_s
        )
        if not decision.granted:
            self._own.record_refused(name, now_s=now_s)
        return decision

    def release(self, rate: SharedRate, *, now_s: float) -> None:
        """Gives back a granted request that has not run."""
        if not rate.rate_per_s:
            return
        self._own.record_returned(rate.name_hash, now_s=now_s)
        self._limiter.release(rate)
