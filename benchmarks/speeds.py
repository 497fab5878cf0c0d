"""Measures what the speed that upstreams state is worth in a placement.

    python -m benchmarks.speeds PATTERN [SEEDS] [--states=FIGURE]
        [--half-life=S] [--ways=WAY;WAY]

Replays a pattern with uneven upstreams. Prints how well a figure predicts the
slowdown of a run that starts now, by the age of the figure, and the late and
lost requests with each way of using it. The ways replace the selection of the
gateway only here; a perfect knowledge of the next run is the upper bound.
"""

from collections.abc import Iterator
from concurrent import futures
import contextlib
import math
from pathlib import Path
import statistics
import sys
from typing import Any, NamedTuple
import unittest.mock

import msgspec

from almondstair.core import choosing
from almondstair.core import request_placer
from almondstair.core.choosing import Choice
from almondstair.core.upstream_speed import SLOW_PERCENT
from almondstair.core.upstream_state import UpstreamState
from emulator import load_pattern
from emulator.load_pattern import Pattern
from emulator.replay import Replay

# Upper limits of the age of figures, in seconds.
AGES_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, math.inf)
DEFAULT_SEEDS = 6
WORKERS = 2
# Costs that differ by less are equal, in seconds.
EQUAL_COST_S = 0.02
# Default age at which the effect of a figure has halved, in seconds.
HALF_LIFE_S = 0.2
WAYS = (
    "unused",
    "everywhere",
    "everywhere, told",
    "cached",
    "equal",
    "failing",
    "cached, told",
    "equal, told",
    "perfect, cached",
    "perfect, equal",
    "perfect",
)
_MIN_PAIRS = 30


class Sample(NamedTuple):
    """A run and the figure that was known when it was sent.

    Attributes:
      age_s: age of the figure, in seconds.
      percent: the figure.
      slowdown: how much longer than usual the run takes.
    """

    age_s: float
    percent: int
    slowdown: float


class Result(NamedTuple):
    """Requests of a replay that were not answered in time."""

    total: int
    late: int
    lost: int
    credit: float
    new_runs: float


class _Trial(Replay):
    """A replay that notes the figures and may use them."""

    def __init__(
        self, pattern: Pattern, *, seed: int, way: str, half_life_s: float
    ) -> None:
        super().__init__(pattern, seed=seed)
        self._half_life_s = half_life_s
        self._way, _, self._source = way.partition(", ")
        if self._way == "perfect":
            self._way = self._source or "everywhere"
            self._source = "perfect"
        self.samples: list[Sample] = []
        # Figures that all entries were told, with the time of their answers.
        self._told: dict[str, list[tuple[float, int]]] = {}
        self._deciding = False

    def _slowdown(self, state: UpstreamState, run_s: float) -> float:
        """Returns the slowdown of a run that starts now."""
        turns = self._upstreams[state.record.upstream_id].turns
        return 1.0 if turns is None else turns.run_s(run_s) / run_s

    def _send(self, call: Any, choice: Choice) -> None:
        speed = choice.upstream.speed
        age_s = speed.age_s(now_s=self._now_s)
        percent = speed.run_time_percent
        if age_s is not None and percent is not None:
            slowdown = self._slowdown(choice.upstream, choice.run_s)
            self.samples.append(Sample(age_s, percent, slowdown))
        super()._send(call, choice)

    def _record_speed(self, state: UpstreamState, load: bytes | None) -> None:
        super()._record_speed(state, load)
        if state.speed.age_s(now_s=self._now_s) == 0.0:
            percent = state.speed.run_time_percent
            assert percent is not None
            told = self._told.setdefault(state.record.upstream_id, [])
            told.append((self._now_s, percent))

    def _on_refused(self, call: Any, choice: Choice) -> None:
        if self._way != "failing":
            super()._on_refused(call, choice)
            return
        percent = choice.upstream.speed.run_time_percent or 0
        failures = choice.upstream._failures
        super()._on_refused(call, choice)
        if percent >= SLOW_PERCENT:
            choice.upstream._failures = failures

    # Ways to use the figure.

    def _factor(self, state: UpstreamState, run_s: float) -> float:
        """Returns the expected slowdown of a run that starts now."""
        if self._source == "perfect":
            return self._slowdown(state, run_s)
        percent, age_s = self._figure(state)
        return 1.0 + (percent / 100 - 1.0) * 0.5 ** (age_s / self._half_life_s)

    def _figure(self, state: UpstreamState) -> tuple[int, float]:
        if self._source == "told":
            told = self._told.get(state.record.upstream_id, [])
            for at_s, percent in reversed(told):
                if at_s <= self._now_s - self._pattern.told_s:
                    return percent, self._now_s - at_s
            return 100, 0.0
        age_s = state.speed.age_s(now_s=self._now_s)
        return state.speed.run_time_percent or 100, age_s or 0.0

    @contextlib.contextmanager
    def deciding(self) -> Iterator[None]:
        """Replaces the selection within the context."""
        select = choosing.select_upstream
        estimate = choosing._estimate

        def estimated(
            upstream: UpstreamState, *args: Any
        ) -> tuple[Choice, float]:
            choice, cost_s = estimate(upstream, *args)
            if not self._deciding:
                return choice, cost_s
            factor = self._factor(upstream, choice.run_s)
            more_s = (factor - 1.0) * (choice.run_s + choice.wait_s)
            choice = choice._replace(expected_s=choice.expected_s + more_s)
            return choice, cost_s + more_s

        def selected(**arguments: Any) -> Choice | None:
            self._deciding = self._way == "everywhere"
            best = select(**arguments)
            self._deciding = False
            if best is None or self._way not in ("cached", "equal"):
                return best
            return self._better(best, arguments, estimate)

        with (
            unittest.mock.patch.object(choosing, "_estimate", estimated),
            unittest.mock.patch.object(
                request_placer, "select_upstream", selected
            ),
        ):
            yield

    def _better(
        self, best: Choice, arguments: dict[str, Any], estimate: Any
    ) -> Choice:
        """Returns the best of the upstreams between which figures decide."""
        criteria = arguments["criteria"]
        cached = criteria.cached_upstreams
        best_cached = best.upstream.name_hash in cached
        if self._way == "cached" and not best_cached:
            return best
        limit_s = math.inf
        if self._way == "equal":
            if best.waits:
                return best
            at_home = best.warm is None
            limit_s = (
                EQUAL_COST_S
                + estimate(
                    best.upstream, best.position, best_cached, at_home, criteria
                )[1]
            )
        found = best
        least_s = math.inf
        home = ""
        for position, upstream in enumerate(arguments["order"]):
            if not choosing._is_eligible(
                upstream, criteria, arguments["cold_start_limiter"]
            ):
                continue
            home = home or upstream.incarnation
            if (upstream.name_hash in cached) != best_cached:
                continue
            at_home = upstream.incarnation == home
            if not best_cached and at_home != (best.warm is None):
                continue
            choice, cost_s = estimate(
                upstream, position, best_cached, at_home, criteria
            )
            if cost_s > limit_s or choice.waits > best.waits:
                continue
            factor = self._factor(upstream, choice.run_s)
            cost_s += (factor - 1.0) * (choice.run_s + choice.wait_s)
            if cost_s < least_s:
                found, least_s = choice, cost_s
        return found


def run(
    pattern: Pattern, seed: int, way: str, half_life_s: float
) -> tuple[Result, list[Sample]]:
    """Replays a pattern with one way to use the figure."""
    trial = _Trial(pattern, seed=seed, way=way, half_life_s=half_life_s)
    with trial.deciding():
        outcome = trial.run()
    kinds = outcome.kinds.values()
    result = Result(
        total=sum(kind.total for kind in kinds),
        late=sum(kind.late for kind in kinds),
        lost=sum(kind.refused + kind.failed for kind in kinds),
        credit=outcome.credit,
        new_runs=outcome.new_runs / max(1, outcome.runs),
    )
    return result, trial.samples if way == "unused" else []


def print_predictions(samples: list[Sample]) -> None:
    """Prints how well figures predict, by their age."""
    print("age up to  share of runs  correlation  slow now if stated slow")
    above_s = -1.0
    for age_s in AGES_S:
        group = [one for one in samples if above_s < one.age_s <= age_s]
        above_s = age_s
        if len(group) < _MIN_PAIRS:
            continue
        try:
            correlation = statistics.correlation(
                [one.percent for one in group],
                [one.slowdown for one in group],
            )
        except statistics.StatisticsError:
            correlation = math.nan
        slow = [one for one in group if one.percent >= SLOW_PERCENT]
        still = sum(one.slowdown > SLOW_PERCENT / 100 for one in slow)
        share = still / len(slow) if slow else math.nan
        print(
            f"{age_s:7.2f} s  {len(group) / len(samples):13.3f}  "
            f"{correlation:11.2f}  {share:9.2f}"
        )


def main() -> None:
    """Prints the two tables."""
    arguments = [one for one in sys.argv[1:] if not one.startswith("--")]
    pattern = load_pattern.load(Path(arguments[0]))
    seeds = int(arguments[1]) if len(arguments) > 1 else DEFAULT_SEEDS
    half_life_s = HALF_LIFE_S
    ways: tuple[str, ...] = WAYS
    for option in sys.argv[1:]:
        name, _, value = option.partition("=")
        if name == "--states":
            troubles = [
                msgspec.structs.replace(trouble, states=value)
                for trouble in pattern.troubles
            ]
            pattern = msgspec.structs.replace(pattern, troubles=troubles)
        if name == "--half-life":
            half_life_s = float(value)
        if name == "--ways":
            ways = ("unused", *value.split(";"))
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        jobs = {}
        for way in ways:
            jobs[way] = [
                pool.submit(run, pattern, seed, way, half_life_s)
                for seed in range(1, seeds + 1)
            ]
        base = [job.result() for job in jobs["unused"]]
        print_predictions([one for _, found in base for one in found])
        print("way               late    lost  credit  new runs  late avoided")
        for way, waiting in jobs.items():
            results = [job.result()[0] for job in waiting]
            total = sum(one.total for one in results)
            late = sum(one.late for one in results) / total
            lost = sum(one.lost for one in results) / total
            avoided = [
                (before.late + before.lost - after.late - after.lost)
                / before.total
                for (before, _), after in zip(base, results, strict=True)
            ]
            error = 0.0
            if seeds > 1:
                error = statistics.stdev(avoided) / math.sqrt(seeds)
            credit = statistics.fmean(one.credit for one in results)
            new_runs = statistics.fmean(one.new_runs for one in results)
            print(
                f"{way:16}  {late:.4f}  {lost:.4f}  {credit:.4f}  "
                f"{new_runs:8.4f}  {statistics.fmean(avoided):+.4f} "
                f"± {error:.4f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
