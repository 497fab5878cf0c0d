"""Command line of the soak: `python -m soak --help`."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
import random
import sys
import tempfile
import tomllib

import fire

from soak.plan import DRAWN_KINDS
from soak.plan import FIRST_KINDS
from soak.plan import FaultKind
from soak.run import Report
from soak.run import Size
from soak.run import Soak

# How much of each process's log is printed if a guarantee is violated.
LOG_LINES = 12
LOG_LINE_CHARACTERS = 300
SEEDS_FILE = Path(__file__).with_name("seeds.toml")


def run_seed(
    seed: int,
    seconds: float,
    size: Size,
    *,
    logs: str = "",
    kinds: Sequence[FaultKind] = DRAWN_KINDS,
    limits: bool = False,
    cuts: bool = False,
    statements: bool = False,
    restores: bool = False,
    endless: bool = False,
    foreign: bool = False,
    ahead: bool = False,
    series: bool = False,
) -> Report:
    """Runs one seed; keeps the processes' logs if `logs` names a folder."""
    with tempfile.TemporaryDirectory(prefix="almondstair-soak-") as folder:
        directory = Path(logs or folder)
        directory.mkdir(parents=True, exist_ok=True)
        soak = Soak(
            seed=seed,
            seconds=seconds,
            directory=directory,
            size=size,
            kinds=kinds,
            limits=limits,
            cuts=cuts,
            statements=statements,
            restores=restores,
            endless=endless,
            foreign=foreign,
            ahead=ahead,
            series=series,
        )
        report = asyncio.run(soak.run())
        if report.violations:
            print_logs(directory)
        return report


def print_logs(directory: Path) -> None:
    """Prints the last warnings of gateways and how upstreams ended.

    These are the lines of their logs that are not at level INFO.
    """
    for path in sorted(directory.glob("[gu]*.log")):
        lines = []
        for line in path.read_text("utf-8", "replace").splitlines():
            if '"INFO"' not in line:
                lines.append(line[:LOG_LINE_CHARACTERS])
        for line in lines[-LOG_LINES:]:
            print(f"  {path.stem}: {line}")


def print_report(report: Report) -> None:
    """Prints the results of a run."""
    print(
        f"seed {report.seed}: {report.sent} sent, {report.served} answered, "
        f"{len(report.violations)} violated guarantees",
        flush=True,
    )
    for stall in report.stalls:
        print(
            f"  own event loop stalled for {stall.duration_s:.2f} s until "
            f"{stall.at_s:.2f} s"
        )
    if not report.violations:
        return
    for step in report.steps:
        print(
            f"  {step.at_s:6.2f} s {step.kind} {step.variant} "
            f"{step.duration_s:.1f} s"
        )
    for outcome, count in sorted(report.outcomes.items()):
        print(
            f"  at the end caller {outcome.caller} got {count} times "
            f"{outcome.status or 'no response'} from {outcome.gateway}"
        )
    for violation in report.violations[:5]:
        print(
            f"  VIOLATED {violation.guarantee}: {violation.detail}", flush=True
        )


class Commands:
    """Runs seeded plans of faults on real processes and checks guarantees."""

    def run(
        self,
        seed: int,
        seconds: float = 30,
        *,
        size: tuple[int, int, int] = (6, 3, 8),
        logs: str = "",
        first_kinds: bool = False,
        limits: bool = False,
        cuts: bool = False,
        statements: bool = False,
        restores: bool = False,
        endless: bool = False,
        foreign: bool = False,
        ahead: bool = False,
        series: bool = False,
    ) -> None:
        """Runs one seed.

        Args:
          seed: the seed; the same seed gives the same plan.
          seconds: length of the run.
          size: number of upstreams, gateways and callers.
          logs: folder for the processes' logs; by default they are dropped.
          first_kinds: whether to draw faults only from the kinds that the kept
            seeds were found with; with all kinds a seed gives another plan.
          limits: whether upstreams state limits on requests besides.
          cuts: whether gateways lose their links to upstreams besides.
          statements: whether upstreams say that they leave or want rest
            besides.
          restores: whether the store is restored from copies besides.
          endless: whether upstreams send bytes without end besides.
          foreign: whether another writer stores values of all forms besides.
          ahead: whether some callers send requests ahead, whose responses are
            late behind others.
          series: whether stops, restarts and changes come in series besides.
        """
        kinds = FIRST_KINDS if first_kinds else DRAWN_KINDS
        report = run_seed(
            seed,
            seconds,
            Size(*size),
            logs=logs,
            kinds=kinds,
            limits=limits,
            cuts=cuts,
            statements=statements,
            restores=restores,
            endless=endless,
            foreign=foreign,
            ahead=ahead,
            series=series,
        )
        print_report(report)
        sys.exit(1 if report.violations else 0)

    def many(
        self,
        first: int = 0,
        count: int = 10,
        seconds: float = 25,
        *,
        size: tuple[int, int, int] = (6, 3, 8),
    ) -> None:
        """Runs consecutive seeds with all kinds of faults.

        Args:
          first: the first seed; 0 for a random one.
          count: number of seeds.
          seconds: length of each run.
          size: number of upstreams, gateways and callers.
        """
        first = first or random.randrange(1, 1_000_000)
        failed = []
        for seed in range(first, first + count):
            report = run_seed(
                seed,
                seconds,
                Size(*size),
                limits=True,
                cuts=True,
                statements=True,
                restores=True,
                endless=True,
                foreign=True,
                ahead=True,
                series=True,
            )
            print_report(report)
            if report.violations:
                failed.append(seed)
        print(f"{count} seeds from {first}, failed: {failed or 'none'}")
        sys.exit(1 if failed else 0)

    def kept(self) -> None:
        """Runs the seeds that failed before; see seeds.toml."""
        seeds = tomllib.loads(SEEDS_FILE.read_text(encoding="utf-8"))["seeds"]
        failed = []
        for row in seeds:
            kinds = DRAWN_KINDS if row.get("all_kinds") else FIRST_KINDS
            report = run_seed(row["seed"], row["seconds"], Size(), kinds=kinds)
            print_report(report)
            if report.violations:
                failed.append(row["seed"])
        print(f"{len(seeds)} kept seeds, failed: {failed or 'none'}")
        sys.exit(1 if failed else 0)


def main() -> None:
    """Runs the command given on the command line."""
    fire.Fire(Commands, name="soak")


if __name__ == "__main__":
    main()
