"""The emulator's commands that play a deployment and show what came of it."""

import asyncio
from pathlib import Path
import sys

from almondstair.errors import AlmondstairError
from emulator import deployment as deployments
from emulator import experiment
from emulator import report
from emulator.experiment import Side

USAGE_CODE = 2


def _load(path: str) -> deployments.Deployment:
    try:
        return deployments.load(Path(path))
    except AlmondstairError as error:
        print(f"emulator: {error.detail}", file=sys.stderr)
        sys.exit(USAGE_CODE)


def run(deployment: str, *, seconds: float) -> None:
    """Runs a deployment with its load; see `python -m emulator run --help`."""
    asyncio.run(experiment.serve(_load(deployment), seconds=seconds))


def compare(
    deployment: str,
    *,
    sides: tuple[Side, Side],
    page: Path,
    seed: int,
    seconds: float,
    rounds: int,
) -> None:
    """Plays both sides in turns, prints the tables and writes the page."""
    wanted = _load(deployment)
    done = asyncio.run(
        experiment.compare(
            deployment=wanted,
            sides=sides,
            seed=seed,
            seconds=seconds,
            rounds=rounds,
        )
    )
    found = report.rows(done, zones=list(wanted.zones))
    spent = report.costs(done, seconds=seconds)
    title = f"{Path(deployment).stem}, seed {seed}, {rounds} rounds"
    report.write_page(page, title=title, rounds=done, found=found, cost=spent)
    print(report.text(found, spent))
    print(f"written: {page}")
