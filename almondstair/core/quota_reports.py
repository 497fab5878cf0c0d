"""Reports of organisations' requests, for quotas over all entries."""

from typing import NamedTuple

from almondstair.core.organisations import Organisation
from almondstair.core.rate_reports import RateReports


class OrganisationUse(NamedTuple):
    """Holds an organisation's use of its quota as one entry knows it.

    Attributes:
      asked: requests that reached this entry since its start.
      refused: those of them that were refused for the quota.
      asked_per_s: rate at which it asks over all entries; None while it asks
        for a small part of its quota.
      window_granted: requests granted in the last window over all entries; None
        likewise.
    """

    asked: int
    refused: int
    asked_per_s: float | None
    window_granted: float | None


class QuotaReports(RateReports):
    """Holds the counts of organisations' requests."""

    def describe(self, organisation: Organisation) -> OrganisationUse:
        """Returns an organisation's use of its quota, for operators."""
        name = organisation.name_hash
        bucket = self.limiter.bucket(organisation)
        return OrganisationUse(
            asked=self.own.asked[name],
            refused=self.own.refused[name],
            asked_per_s=round(bucket.asked_per_s, 1) if bucket else None,
            window_granted=round(bucket.window_granted, 1) if bucket else None,
        )
