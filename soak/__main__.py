"""The soak's command line: `python -m soak --help`."""

import asyncio
from collections.abc import Sequence
from pathlib import Path
import random
import sys
import tempfile
import tomllib

import fire

from soak.plan import FIRST_KINDS
from soak.plan import Kind
from soak.run import Report
from soak.run import Size
from soak.run import Soak

# How much of each process's log is shown after a broken promise.
LOG_LINES = 12
LOG_LINE_CHARACTERS = 300
SEEDS_FILE = Path(__file__).with_name("seeds.toml")


def run_seed(
    seed: int,
    seconds: float,
    size: Size,
    logs: str = "",
    kinds: Sequence[Kind] = tuple(Kind),
) -> Report:
    """Plays one seed; logs are kept in a folder if it names one."""
    with tempfile.TemporaryDirectory(prefix="almondstair-soak-") as folder:
        directory = Path(logs or folder)
        directory.mkdir(parents=True, exist_ok=True)
        soak = Soak(
            seed=seed,
            seconds=seconds,
            directory=directory,
            size=size,
            kinds=kinds,
        )
        report = asyncio.run(soak.run())
        if report.violations:
            print_logs(directory)
        return report


def print_logs(directory: Path) -> None:
    """Prints what gateways warned of last, and how upstreams ended."""
    for path in sorted(directory.glob("[gu]*.log")):
        lines = []
        for line in path.read_text("utf-8", "replace").splitlines():
            if '"INFO"' not in line:
                lines.append(line[:LOG_LINE_CHARACTERS])
        for line in lines[-LOG_LINES:]:
            print(f"  {path.stem}: {line}")


def print_report(report: Report) -> None:
    """Prints what a run showed."""
    print(
        f"seed {report.seed}: {report.sent} sent, {report.served} answered, "
        f"{len(report.violations)} broken promises",
        flush=True,
    )
    for pause in report.stalls:
        print(
            f"  own loop stood still for {pause.length_s:.2f} s until "
            f"{pause.at_s:.2f} s"
        )
    if not report.violations:
        return
    for step in report.steps:
        print(
            f"  {step.at_s:6.2f} s {step.kind} {step.variant} {step.duration_s:.1f} s"
        )
    for outcome, count in sorted(report.outcomes.items()):
        print(
            f"  at the end caller {outcome.caller} had {count} times "
            f"{outcome.status or 'no answer'} of {outcome.gateway}"
        )
    for fault in report.violations[:5]:
        print(f"  BROKEN {fault.guarantee}: {fault.detail}", flush=True)


class Commands:
    """Plays seeds of faults on real processes and checks the promises."""

    def run(
        self,
        seed: int,
        seconds: float = 30,
        size: tuple[int, int, int] = (6, 3, 8),
        logs: str = "",
        first_kinds: bool = False,
    ) -> None:
        """Plays one seed.

        Args:
          seed: the seed; the same one plays the same plan.
          seconds: length of the run.
          size: how many upstreams, gateways and callers.
          logs: folder for the processes' logs; by default they are dropped.
          first_kinds: whether faults are drawn from the kinds that the kept
            seeds were found with; with all kinds a seed plays another plan.
        """
        kinds = FIRST_KINDS if first_kinds else tuple(Kind)
        report = run_seed(seed, seconds, Size(*size), logs, kinds)
        print_report(report)
        sys.exit(1 if report.violations else 0)

    def many(
        self, first: int = 0, count: int = 10, seconds: float = 25
    ) -> None:
        """Plays seeds in a row; fresh ones if `first` is 0."""
        first = first or random.randrange(1, 1_000_000)
        broken = []
        for seed in range(first, first + count):
            report = run_seed(seed, seconds, Size())
            print_report(report)
            if report.violations:
                broken.append(seed)
        print(f"{count} seeds from {first}, broken: {broken or 'none'}")
        sys.exit(1 if broken else 0)

    def kept(self) -> None:
        """Plays the seeds that failed once; see seeds.toml."""
        seeds = tomllib.loads(SEEDS_FILE.read_text(encoding="utf-8"))["seeds"]
        broken = []
        for row in seeds:
            kinds = tuple(Kind) if row.get("all_kinds") else FIRST_KINDS
            report = run_seed(row["seed"], row["seconds"], Size(), kinds=kinds)
            print_report(report)
            if report.violations:
                broken.append(row["seed"])
        print(f"{len(seeds)} kept seeds, broken: {broken or 'none'}")
        sys.exit(1 if broken else 0)


def main() -> None:
    """Runs the command that is named."""
    fire.Fire(Commands, name="soak")


if __name__ == "__main__":
    main()
