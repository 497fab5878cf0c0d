"""Measures the cost of shares of organisations at one entry.

    python -m benchmarks.shares

Prints means over rounds, in microseconds, at 103 entries, 140 upstreams and 73
organisations that all ask for more than their shares: a decision on a request,
with and without shares in force; applying totals; the entry's own report; the
sum and the totals of a reporter, once; the check that each report interval
makes.
"""

from collections.abc import Callable
import statistics
import time

from almondstair.core.demand_reports import OrganisationDemand
from almondstair.core.demand_reports import ReportedDemands
from almondstair.core.demand_reports import ServiceDemand
from almondstair.core.fair_shares import MaxMinShares
from almondstair.core.fair_shares import ShareRequest
from almondstair.core.fleet import Fleet
from almondstair.core.organisations import organisation_hash
from almondstair.core.registered_entries import Entry
from almondstair.core.routing import CallerLimits
from almondstair.core.routing import RoutingConfiguration
from almondstair.core.routing import ServiceRule
from almondstair.core.upstream_state import UpstreamRecord
from almondstair.core.upstream_state import incarnation_hash

ENTRIES = 103
ZONE_ENTRIES = 18
ZONES = 6
UPSTREAMS = 140
SLOTS = 4
ORGANISATIONS = 73
SERVICE = "s"
# Requests of one entry between two totals, and rounds of them.
REQUESTS = 200
ROUNDS = 200
INTERVAL_S = 0.2
_START_S = 100.0


def _fleet() -> Fleet:
    fleet = Fleet(own_name="e0", own_region="r", zones={"z": "r"})
    fleet.apply_configuration(
        RoutingConfiguration(
            1,
            CallerLimits(1, 1, 1.0, 1.0),
            (),
            {SERVICE: ServiceRule(SERVICE, "/", 9, 0.0, 0.0)},
        )
    )
    for number in range(ENTRIES):
        fleet.apply_entry(Entry(f"e{number}", "", "a:1", "r", "z", 1.0, 0.0))
    loads = {}
    for number in range(UPSTREAMS):
        name = f"u{number}"
        record = UpstreamRecord(
            name, SERVICE, "a:1", "z", "v", SLOTS, False, 0.0
        )
        fleet.apply_upstream(record, now_s=0.0)
        loads[incarnation_hash(name)] = 2 * SLOTS
    fleet.peer_loads.update(loads, own={})
    fleet.peer_loads_complete = True
    return fleet


def _report(names: list[str], *, entries: int) -> ReportedDemands:
    listed = []
    for name in names:
        listed.append(
            OrganisationDemand(organisation_hash(name), 30 * entries, entries)
        )
    service = ServiceDemand(
        service=organisation_hash(SERVICE),
        answered_per_100s=900 * entries,
        refused_per_100s=20 * entries,
        in_flight=8 * entries,
        refused=True,
        scarce=True,
        organisations={1: listed},
        others_per_100s={},
    )
    return ReportedDemands(entries=entries, services=[service])


def _mean_us(act: Callable[[float], object], *, count: int = 1) -> float:
    """Returns the mean time of one act, which runs `count` at a time."""
    times_us = []
    for number in range(ROUNDS):
        now_s = _START_S + INTERVAL_S * number
        started_s = time.perf_counter()
        act(now_s)
        times_us.append((time.perf_counter() - started_s) * 1e6 / count)
    return statistics.mean(times_us)


def main() -> None:
    """Prints one row for each act."""
    names = [f"organisation-{number}" for number in range(ORGANISATIONS)]
    requests = []
    for number in range(REQUESTS):
        name = names[number % ORGANISATIONS]
        requests.append(ShareRequest(SERVICE, name, 1))
    total = _report(names, entries=ENTRIES)
    shares = MaxMinShares(own_name="e0", fleet=_fleet(), is_active=lambda: True)

    def decide(now_s: float) -> None:
        for request in requests:
            shares.acquire(request, now_s=now_s)

    def decide_scarce(now_s: float) -> None:
        shares.apply_total(total, now_s=now_s)
        decide(now_s)

    def sums(now_s: float) -> None:
        shares.of_zone(zones=ZONES, now_s=now_s)
        shares.of_fleet(now_s=now_s)

    print(f"decision, no shares     {_mean_us(decide, count=REQUESTS):8.2f} us")
    shares.apply_total(total, now_s=_START_S)
    both_us = _mean_us(decide_scarce, count=REQUESTS)
    [row] = shares.rows(now_s=_START_S + ROUNDS * INTERVAL_S)
    assert row.in_force
    assert len(row.refused) == ORGANISATIONS, row.refused
    apply_us = _mean_us(lambda now_s: shares.apply_total(total, now_s=now_s))
    decision_us = both_us - apply_us / REQUESTS
    print(f"decision, shares        {decision_us:8.2f} us")
    print(f"totals applied          {apply_us:8.0f} us")
    for number in range(ZONE_ENTRIES):
        shares.apply_member(
            f"e{number}", _report(names, entries=1), now_s=_START_S
        )
    for number in range(1, ZONES):
        shares.apply_zone(
            f"z{number}", _report(names, entries=17), now_s=_START_S
        )
    started_s = time.perf_counter()
    sums(_START_S)
    first_us = (time.perf_counter() - started_s) * 1e6
    print(f"sums of a reporter      {first_us:8.0f} us")
    own_us = _mean_us(lambda now_s: shares.own(now_s=now_s))
    print(f"own report              {own_us:8.0f} us")
    check_us = _mean_us(lambda now_s: shares.update(now_s=now_s))
    print(f"check of an interval    {check_us:8.0f} us")


if __name__ == "__main__":
    main()
