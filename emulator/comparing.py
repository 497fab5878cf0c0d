"""Commands that run a deployment and report the results."""

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
    """Runs both sides alternately, prints the tables and writes the page."""
    loaded = _load(deployment)
    results = asyncio.run(
        experiment.compare(
            deployment=loaded,
            sides=sides,
            seed=seed,
            seconds=seconds,
            rounds=rounds,
        )
    )
    summary_rows = report.rows(results, zones=list(loaded.zones))
    cost_rows = report.costs(results, seconds=seconds)
    title = f"{Path(deployment).stem}, seed {seed}, {rounds} rounds"
    report.write_page(
        page,
        title=title,
        rounds=results,
        summary_rows=summary_rows,
        cost_rows=cost_rows,
    )
    print(report.text(summary_rows, cost_rows))
    print(f"written: {page}")
