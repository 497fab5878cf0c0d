"""Compares ways to keep to an upstream's limit over all entries.

Entries exchange the gateway's real messages in virtual time. For each number of
entries, limit and way it prints what the upstream got of what the limit allows,
the largest window as a part of what operators tolerate, the time until all
entries knew the limit and until none did after its end, and the bytes that all
entries send each other a second.

    python -m benchmarks.limits
"""

import itertools
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from features.support.limit_world import LimitWorld
from features.support.limited_upstreams import tolerated

FLEETS = ((9, 6), (84, 6), (195, 9))
LIMITS_PER_S = (0.5, 2.7, 12.0)
# Requests that callers send, as a multiple of the limit.
ASKED = (0.7, 3.0)
BEFORE_S = 4.0
SPAN_S = 40.0
COUNTED_S = 30.0
END_S = 5.0
STEP_S = 0.05


class Figures(NamedTuple):
    """Holds the figures of one play.

    Attributes:
      served: what the upstream got, as a part of the smaller one of its limit
        and what callers asked for.
      largest: the largest window, as a part of what operators tolerate.
      known_s: time until all entries knew the limit; None if some never did.
      ended_s: time until no entry knew it after its end; None likewise.
      bytes_per_s: bytes that all entries sent.
    """

    served: float
    largest: float
    known_s: float | None
    ended_s: float | None
    bytes_per_s: float


def _time_until_informed(
    world: LimitWorld, limit_per_s: float | None, for_s: float
) -> float | None:
    began_s = world.now_s
    found_s = None
    while world.now_s < began_s + for_s:
        world.advance(STEP_S)
        if found_s is None and world.informed(limit_per_s) == len(
            world.members
        ):
            found_s = world.now_s - began_s
    return found_s


def _play(
    fleet: tuple[int, int], limit_per_s: float, asked: float, equal_shares: bool
) -> Figures:
    entries, zones = fleet
    world = LimitWorld(entries=entries, zones=zones, equal_shares=equal_shares)
    with world.running(busy=True):
        world.send(
            lambda _: asked * limit_per_s, for_s=BEFORE_S + SPAN_S + END_S
        )
        world.advance(BEFORE_S)
        world.state_limit(limit_per_s)
        known_s = _time_until_informed(world, limit_per_s, SPAN_S)
        served_per_s = world.served_per_s(COUNTED_S)
        largest = world.largest_window()
        world.state_limit(None)
        ended_s = _time_until_informed(world, None, END_S)
    sent = sum(world.sent_bytes.values())
    return Figures(
        served=served_per_s / (min(1.0, asked) * limit_per_s),
        largest=largest / tolerated(limit_per_s),
        known_s=known_s,
        ended_s=ended_s,
        bytes_per_s=sent / (BEFORE_S + SPAN_S + END_S),
    )


def _seconds(value_s: float | None) -> str:
    return "not" if value_s is None else f"{value_s:.2f}"


def main() -> None:
    """Prints the comparison."""
    table = Table(
        "entries",
        "limit /s",
        "asked",
        "way",
        "served",
        "largest window",
        "known s",
        "ended s",
        "kB/s sent",
    )
    for fleet, limit_per_s, asked in itertools.product(
        FLEETS, LIMITS_PER_S, ASKED
    ):
        for equal_shares in (True, False):
            figures = _play(fleet, limit_per_s, asked, equal_shares)
            table.add_row(
                str(fleet[0]),
                f"{limit_per_s:g}",
                f"{asked:g}",
                "equal shares" if equal_shares else "fleet totals",
                f"{figures.served:.2f}",
                f"{figures.largest:.2f}",
                _seconds(figures.known_s),
                _seconds(figures.ended_s),
                f"{figures.bytes_per_s / 1000:.0f}",
            )
    Console(width=110).print(table)


if __name__ == "__main__":
    main()
