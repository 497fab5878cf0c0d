"""Compares ways to hold quotas over all entries, in virtual time.

Entries exchange the gateway's real messages. For each load and each way it
prints the requests refused, the largest window as a part of what operators
tolerate, and the bytes that all entries send each other a second.

    python -m benchmarks.quotas
"""

from collections.abc import Callable
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from almondstair.core.organisations import Organisation
from features.support.quota_world import QuotaWorld
from features.support.quota_world import Traffic
from features.support.quota_world import rule_limit

ENTRIES = 84
ZONES = 6
SPAN_S = 20.0
CHANGE_S = 8.0
# What organisations usually ask for, as a part of their rate.
USUAL_SHARE = 0.625
FLOOD_FACTOR = 7.5
FEW_ENTRIES = 2


class Load(NamedTuple):
    """One load to compare ways on.

    Attributes:
      name: what it is.
      rate_per_s: rate of the quota; the burst is as large.
      asked_share: requests as a part of the rate, by the time in seconds.
      few_entries: whether they reach few entries.
    """

    name: str
    rate_per_s: float
    asked_share: Callable[[float], float]
    few_entries: bool = False


def _usual(_: float) -> float:
    return USUAL_SHARE


def _flood(since_s: float) -> float:
    return USUAL_SHARE * (FLOOD_FACTOR if since_s >= CHANGE_S else 1.0)


def _near_limit(_: float) -> float:
    return 1.0


def _flood_near_limit(since_s: float) -> float:
    return FLOOD_FACTOR if since_s >= CHANGE_S else 1.0


LOADS = (
    Load("usual", 1.0, _usual),
    Load("usual", 12.0, _usual),
    Load("usual, few entries", 12.0, _usual, few_entries=True),
    Load("usual", 206.0, _usual),
    Load("at its rate", 36.0, _near_limit),
    Load("flood", 12.0, _flood),
    Load("flood", 206.0, _flood),
    Load("flood from its rate", 36.0, _flood_near_limit),
)


def _play(load: Load, *, equal_shares: bool) -> tuple[int, int, float, float]:
    """Returns asked, refused, the largest window and bytes per second."""
    rate_per_s = load.rate_per_s
    organisation = Organisation("blue", (), None, rate_per_s, rate_per_s)
    world = QuotaWorld(
        entries=ENTRIES,
        zones=ZONES,
        organisations=[organisation],
        equal_shares=equal_shares,
    )
    names = sorted(world.members)
    if load.few_entries:
        names = names[:FEW_ENTRIES]
    traffic = Traffic(
        organisation,
        lambda since_s: load.asked_share(since_s) * rate_per_s,
        lambda _: names,
    )
    with world.running(busy=True):
        world.send(traffic, for_s=SPAN_S)
        world.advance(SPAN_S)
    largest = world.largest_window(organisation) / rule_limit(organisation)
    sent = sum(world.sent_bytes.values()) / SPAN_S
    return (
        len(world.asked[organisation.name]),
        world.refused(organisation),
        largest,
        sent,
    )


def main() -> None:
    """Prints the comparison."""
    table = Table(
        "load",
        "quota /s",
        "way",
        "asked",
        "refused",
        "largest window",
        "kB/s sent",
    )
    for load in LOADS:
        for equal_shares in (True, False):
            asked, refused, largest, sent = _play(
                load, equal_shares=equal_shares
            )
            table.add_row(
                load.name,
                f"{load.rate_per_s:g}",
                "equal shares" if equal_shares else "fleet totals",
                str(asked),
                str(refused),
                f"{largest:.2f}",
                f"{sent / 1000:.0f}",
            )
    Console(width=100).print(table)


if __name__ == "__main__":
    main()
