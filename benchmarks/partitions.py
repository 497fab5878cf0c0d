"""Compares builds while entries are cut off from all upstreams.

Each build is a checkout. For each way in which connections fail, and each part
of the deployment that is cut, it prints first tries from a second after the cut
to its end: how many went to cut entries, which share of them and of those at
the others was served, the median and the 95th percentile of their latency, and
the processor time of all entries for each request of the play.

    python -m benchmarks.partitions --builds '{"before": "PATH", "now": "."}'
"""

from pathlib import Path
import statistics
import tempfile

import fire
from rich.console import Console
from rich.table import Table

from emulator.proxy import ProxyFault
from features.support import partition_rig
from features.support.partition_rig import Cut
from features.support.partition_rig import FirstTry
from features.support.partition_rig import PartitionResult

SPAN_S = 8.0
FROM_S = 1.0
CUTS = (
    (ProxyFault.HANG, "zone"),
    (ProxyFault.RESET, "zone"),
    (ProxyFault.REFUSE, "zone"),
    (ProxyFault.SILENCE, "zone"),
    (ProxyFault.HANG, "region"),
    (ProxyFault.RESET, "region"),
)
ZONES = {
    "zone": frozenset(("a1",)),
    "region": frozenset(("a1", "a2", "a3")),
}


def _served(tries: list[FirstTry]) -> str:
    if not tries:
        return "none sent"
    return f"{sum(each.served for each in tries)} of {len(tries)}"


def _latency_ms(tries: list[FirstTry]) -> str:
    times = sorted(each.took_s * 1000 for each in tries)
    if not times:
        return "-"
    late = times[int(0.95 * (len(times) - 1))]
    return f"{statistics.median(times):.0f} / {late:.0f}"


def _row(result: PartitionResult) -> list[str]:
    cut = result.first_tries(cut=True, from_s=FROM_S, to_s=SPAN_S)
    others = result.first_tries(cut=False, from_s=FROM_S, to_s=SPAN_S)
    cpu_ms = 1000 * sum(result.cpu_s.values()) / len(result.tries)
    return [
        _served(cut),
        _served(others),
        _latency_ms(cut),
        _latency_ms(others),
        f"{cpu_ms:.1f}",
    ]


def compare(builds: dict[str, str], seed: int = 1) -> None:
    """Prints the table.

    Args:
      builds: path of a checkout by the name of its build.
      seed: seed of the load.
    """
    table = Table()
    for heading in (
        "links",
        "cut",
        "build",
        "served, cut",
        "served, others",
        "cut ms",
        "others ms",
        "cpu ms",
    ):
        table.add_column(heading)
    for fault, part in CUTS:
        cut = Cut(fault=fault, zones=ZONES[part], span_s=SPAN_S)
        for name, source in builds.items():
            with tempfile.TemporaryDirectory() as folder:
                result = partition_rig.play(
                    cut=cut,
                    directory=Path(folder),
                    seed=seed,
                    source=Path(source).resolve(),
                    looks_up=True,
                )
            row = (str(fault), part, name, *_row(result))
            print("; ".join(row), flush=True)
            table.add_row(*row)
    Console(width=130).print(table)


if __name__ == "__main__":
    fire.Fire(compare)
