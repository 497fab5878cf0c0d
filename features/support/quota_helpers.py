"""Reports between entries that several tests create."""

from typing import Any

from almondstair.core.cut_off_entries import CutOffEntries
from almondstair.core.fair_shares import MaxMinShares
from almondstair.core.fleet import Fleet
from almondstair.core.limit_reports import LimitReports
from almondstair.core.quota_reports import QuotaReports
from almondstair.core.quotas import FleetTotals
from almondstair.core.region_reports import RegionReports
from almondstair.core.region_shares import RegionShareLimiter
from almondstair.core.shared_counts import SharedCounts
from almondstair.core.statement_reports import StatementReports
from almondstair.core.upstream_links import UpstreamLinks
from almondstair.gateway.connection_pool import ConnectionPool
from almondstair.gateway.statement_recorder import StatementRecorder


def make_quota_reports(own_name: str) -> QuotaReports:
    """Returns the reports of an entry without requests."""
    return QuotaReports(
        own_name=own_name,
        limiter=FleetTotals(own_name=own_name, window_s=5.0),
    )


def make_region_reports(own_name: str) -> RegionReports:
    """Returns the reports of an entry without requests."""
    limiter = RegionShareLimiter(own_region="", max_change=1.0)
    return RegionReports(own_name=own_name, limiter=limiter)


def make_report_parts(own_name: str, fleet: Fleet) -> dict[str, Any]:
    """Returns the parts of a load exchange that concern upstreams."""
    reports = LimitReports(own_name=own_name, fleet=fleet)
    recorder = StatementRecorder(
        fleet=fleet,
        pool=ConnectionPool(id_header=b""),
        limits=reports.limits,
    )
    return {
        "limit_reports": reports,
        "statement_reports": StatementReports(fleet=fleet),
        "statement_recorder": recorder,
        "links": UpstreamLinks(),
        "cut_off": CutOffEntries(),
        "shares": MaxMinShares(
            own_name=own_name, fleet=fleet, is_active=lambda: False
        ),
    }


def make_shared_counts(
    own_name: str, fleet: Fleet, quotas: QuotaReports | None = None
) -> SharedCounts:
    """Returns the counts of an entry without requests."""
    return SharedCounts(
        fleet=fleet,
        quotas=quotas or make_quota_reports(own_name),
        regions=make_region_reports(own_name),
    )
