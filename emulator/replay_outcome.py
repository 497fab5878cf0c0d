"""What became of the requests of a replay."""

from collections import Counter
import enum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

# What a late answer is worth, as a part of a timely one.
LATE_CREDIT = 0.2
WINDOW_S = 2.0
_LONGEST_MS = 60_000


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "in aim"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class KindOutcome(NamedTuple):
    """The requests of one kind.

    Attributes:
      asked: how many there were.
      in_aim: how many were answered in their aim.
      late: how many were answered later.
      refused: how many were not run.
      failed: how many had no answer.
      p50_ms: median time to an answer, in milliseconds.
      p99_ms: 99th percentile of it, in milliseconds.
    """

    asked: int
    in_aim: int
    late: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float

    @property
    def credit(self) -> float:
        """Returns what was earned, as a part of what could be."""
        if not self.asked:
            return 1.0
        return (self.in_aim + LATE_CREDIT * self.late) / self.asked


class Outcome(NamedTuple):
    """A whole play.

    Attributes:
      kinds: what became of each kind of request.
      windows: the credit of each window of `WINDOW_S`, by its begin in seconds.
      runs: how many requests ran.
      new_runs: how many of them ran as new.
      places: upstreams at which a key was run, in the mean over keys.
    """

    kinds: dict[str, KindOutcome]
    windows: dict[float, float]
    runs: int
    new_runs: int
    places: float

    @property
    def credit(self) -> float:
        """Returns the credit over all requests."""
        asked = sum(kind.asked for kind in self.kinds.values())
        earned = sum(kind.asked * kind.credit for kind in self.kinds.values())
        return earned / asked if asked else 1.0

    @property
    def worst_kind(self) -> float:
        """Returns the credit of the kind that earned the least."""
        return min(kind.credit for kind in self.kinds.values())


class Tally:
    """Counts while a replay plays."""

    def __init__(self, *, warm_up_s: float) -> None:
        """Starts with nothing; what is asked before `warm_up_s` is left out."""
        self._warm_up_s = warm_up_s
        self._endings: dict[str, Counter[Ending]] = {}
        self._latencies: dict[str, HdrHistogram] = {}
        self._asked: Counter[float] = Counter()
        self._earned: dict[float, float] = {}
        self._places: dict[str, set[str]] = {}
        self._runs = 0
        self._new_runs = 0

    def note(
        self, *, kind: str, asked_s: float, took_s: float, ending: Ending
    ) -> None:
        """Counts a request that has ended.

        Args:
          kind: its kind.
          asked_s: when its caller first asked.
          took_s: how long its caller waited, in seconds.
          ending: how it ended.
        """
        if asked_s < self._warm_up_s:
            return
        self._endings.setdefault(kind, Counter())[ending] += 1
        window_s = asked_s // WINDOW_S * WINDOW_S
        self._asked[window_s] += 1
        earned = self._earned.setdefault(window_s, 0.0)
        if ending is Ending.ANSWERED:
            self._earned[window_s] = earned + 1.0
        elif ending is Ending.LATE:
            self._earned[window_s] = earned + LATE_CREDIT
        if ending in (Ending.ANSWERED, Ending.LATE):
            latencies = self._latencies.get(kind)
            if latencies is None:
                latencies = HdrHistogram(1, _LONGEST_MS, 2)
                self._latencies[kind] = latencies
            latencies.record_value(max(1, round(took_s * 1000)))

    def note_run(
        self, *, key: str, upstream: str, new: bool, at_s: float
    ) -> None:
        """Counts a run at an upstream."""
        if at_s < self._warm_up_s:
            return
        self._runs += 1
        self._new_runs += new
        self._places.setdefault(key, set()).add(upstream)

    def outcome(self) -> Outcome:
        """Returns what was counted."""
        kinds = {}
        for kind, endings in self._endings.items():
            latencies = self._latencies.get(kind)
            kinds[kind] = KindOutcome(
                asked=endings.total(),
                in_aim=endings[Ending.ANSWERED],
                late=endings[Ending.LATE],
                refused=endings[Ending.REFUSED],
                failed=endings[Ending.FAILED],
                p50_ms=_percentile_ms(latencies, 50),
                p99_ms=_percentile_ms(latencies, 99),
            )
        windows = {}
        for window_s in sorted(self._asked):
            windows[window_s] = self._earned[window_s] / self._asked[window_s]
        places = [len(found) for found in self._places.values()]
        return Outcome(
            kinds=kinds,
            windows=windows,
            runs=self._runs,
            new_runs=self._new_runs,
            places=sum(places) / len(places) if places else 0.0,
        )


def _percentile_ms(latencies: HdrHistogram | None, percent: float) -> float:
    if latencies is None:
        return 0.0
    return float(latencies.get_value_at_percentile(percent))
