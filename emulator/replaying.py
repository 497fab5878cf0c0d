"""The command that replays patterns over seeds and prints the results."""

from collections.abc import Iterable, Mapping
from concurrent import futures
import math
from pathlib import Path
import statistics
import sys
from typing import NamedTuple

from rich.console import Console
from rich.table import Table

from almondstair.core.overload_parts import OverloadPart
from almondstair.core.overload_parts import PartMode
from almondstair.core.overload_parts import parse_modes
from almondstair.errors import AlmondstairError
from emulator import load_pattern
from emulator import replay_switches
from emulator.load_pattern import Pattern
from emulator.replay import Replay
from emulator.replay_outcome import Outcome
from emulator.replay_switches import Constant

USAGE_CODE = 2


class Comparison(NamedTuple):
    """A figure over seeds, without and with overridden constants.

    Attributes:
      name: name of the figure.
      mean: mean without overrides.
      changed: mean with overrides; the same if there are none.
      error: standard error of the paired difference per seed.
    """

    name: str
    mean: float
    changed: float
    error: float


def run_replays(
    pattern: Pattern,
    *,
    seeds: int,
    constants: tuple[Constant, ...],
    jobs: int,
    modes: Mapping[OverloadPart, PartMode] | None = None,
) -> list[Outcome]:
    """Replays a pattern with seeds from 1, in parallel processes."""
    seed_range = range(1, seeds + 1)
    if jobs == 1:
        return [
            _run_one(pattern, seed, constants, modes) for seed in seed_range
        ]
    with futures.ProcessPoolExecutor(jobs) as pool:
        waiting = []
        for seed in seed_range:
            waiting.append(
                pool.submit(_run_one, pattern, seed, constants, modes)
            )
        return [future.result() for future in waiting]


def _run_one(
    pattern: Pattern,
    seed: int,
    constants: tuple[Constant, ...],
    modes: Mapping[OverloadPart, PartMode] | None,
) -> Outcome:
    with replay_switches.override(constants):
        return Replay(pattern, seed=seed, modes=modes).run()


def compare(
    outcomes: list[Outcome], changed: list[Outcome]
) -> list[Comparison]:
    """Compares the figures of two lists of replays with the same seeds."""
    figures = [("credit", [outcome.credit for outcome in outcomes])]
    changed_figures = [[outcome.credit for outcome in changed]]
    figures.append(("worst kind", [one.lowest_kind_credit for one in outcomes]))
    changed_figures.append([one.lowest_kind_credit for one in changed])
    for kind in outcomes[0].kinds:
        figures.append((kind, [one.kinds[kind].credit for one in outcomes]))
        changed_figures.append([one.kinds[kind].credit for one in changed])
    for kind in outcomes[0].kinds:
        name = f"{kind} served at its return"
        figures.append(
            (name, [one.returns[kind].served_share for one in outcomes])
        )
        changed_figures.append(
            [one.returns[kind].served_share for one in changed]
        )
    figures.append(("new runs", [one.new_runs / one.runs for one in outcomes]))
    changed_figures.append([one.new_runs / one.runs for one in changed])
    figures.append(
        ("places a key", [one.upstreams_per_key for one in outcomes])
    )
    changed_figures.append([one.upstreams_per_key for one in changed])
    rows = []
    for (name, values), after in zip(figures, changed_figures, strict=True):
        rows.append(_comparison(name, values, after))
    return rows


def _comparison(
    name: str, values: list[float], changed: list[float]
) -> Comparison:
    differences = []
    for before, after in zip(values, changed, strict=True):
        differences.append(after - before)
    error = 0.0
    if len(differences) > 1:
        error = statistics.stdev(differences) / math.sqrt(len(differences))
    return Comparison(
        name, statistics.fmean(values), statistics.fmean(changed), error
    )


def replay(
    patterns: Iterable[str],
    *,
    seeds: int,
    without: list[str],
    constants: list[str],
    jobs: int,
    parts: str = "",
) -> None:
    """Replays patterns and prints a table for each.

    With `parts`, such as `returns=on`, the changed replays play these modes,
    and the others play the named parts switched off.
    """
    try:
        changed = replay_switches.without(without)
        changed += replay_switches.parse(constants)
        modes = parse_modes(parts) or None
        loaded = [(path, load_pattern.load(Path(path))) for path in patterns]
    except AlmondstairError as error:
        print(f"emulator: {error.detail}", file=sys.stderr)
        sys.exit(USAGE_CODE)
    without_parts = dict.fromkeys(modes, PartMode.OFF) if modes else None
    for path, pattern in loaded:
        outcomes = run_replays(
            pattern, seeds=seeds, constants=(), jobs=jobs, modes=without_parts
        )
        changed_outcomes = outcomes
        if changed or modes:
            changed_outcomes = run_replays(
                pattern,
                seeds=seeds,
                constants=changed,
                jobs=jobs,
                modes=modes,
            )
        title = f"{Path(path).stem}, {seeds} seeds: {pattern.shows}"
        _print(
            title,
            compare(outcomes, changed_outcomes),
            bool(changed or modes),
        )


def _print(title: str, rows: list[Comparison], with_change: bool) -> None:
    console = Console(width=100)
    console.print(title)
    table = Table()
    table.add_column("figure")
    table.add_column("mean", justify="right")
    if with_change:
        table.add_column("changed", justify="right")
        table.add_column("difference", justify="right")
    for row in rows:
        cells = [row.name, f"{row.mean:.3f}"]
        if with_change:
            difference = f"{row.changed - row.mean:+.3f} ± {row.error:.3f}"
            cells += [f"{row.changed:.3f}", difference]
        table.add_row(*cells)
    console.print(table)
