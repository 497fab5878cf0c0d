"""Runs the daemon with a delay between regions, for loopback measurements.

A request waits for the whole round trip before it is forwarded. No slot is held
during the delay, unlike with `--delay-ms` of the stand-in for upstreams, and
admission sees the request late by at most the one-way delay. Heartbeats are not
delayed.

    python -m benchmarks.delayed_daemon --one-way-ms 12 --settings entry.toml
"""

import argparse
import asyncio
from typing import Any

from almondstair import daemon
from almondstair.core.entry_table import EntryRow
from almondstair.dispatch import Attempt
from almondstair.dispatch import Sender


def delay_forwards(*, one_way_ms: float) -> None:
    """Delays forwards to other availability zones."""
    forward = Sender.forward_to_entry

    async def delayed(self: Sender, *, entry: EntryRow, **rest: Any) -> Attempt:
        if entry.availability_zone != self._own_zone:
            await asyncio.sleep(2 * one_way_ms / 1000)
        return await forward(self, entry=entry, **rest)

    Sender.forward_to_entry = delayed  # type: ignore[method-assign]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--one-way-ms", type=float, required=True)
    options, rest = parser.parse_known_args()
    delay_forwards(one_way_ms=options.one_way_ms)
    daemon.main(rest)


if __name__ == "__main__":
    main()
