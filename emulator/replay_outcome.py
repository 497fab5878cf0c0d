"""Outcomes of the requests of a replay."""

from collections import Counter
import enum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

# Credit of a late response; one within the target latency earns 1.
LATE_CREDIT = 0.2
WINDOW_S = 2.0
_MAX_LATENCY_MS = 60_000


class Ending(enum.StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "in aim"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class KindOutcome(NamedTuple):
    """Outcomes of the requests of one kind.

    Attributes:
      total: number of requests.
      in_aim: number with a response within the target latency.
      late: number with a later response, before the deadline.
      refused: number that were refused and not run.
      failed: number without a response before the deadline.
      p50_ms: median latency of the requests with a response, in milliseconds.
      p99_ms: 99th percentile of the same, in milliseconds.
    """

    total: int
    in_aim: int
    late: int
    refused: int
    failed: int
    p50_ms: float
    p99_ms: float

    @property
    def credit(self) -> float:
        """Returns the share of the possible credit that was earned."""
        if not self.total:
            return 1.0
        return (self.in_aim + LATE_CREDIT * self.late) / self.total


class ReturnOutcome(NamedTuple):
    """What became of callers that returned when they were told.

    Attributes:
      told: number of refused callers that could retry, by what their return
        time rested on.
      served: number of them that got a response at their return.
    """

    told: dict[str, int]
    served: dict[str, int]

    @property
    def served_share(self) -> float:
        """Returns the share of them that was served; 1 if there are none."""
        told = sum(self.told.values())
        return sum(self.served.values()) / told if told else 1.0


class RestAsked(NamedTuple):
    """A rest that an upstream asked an entry for.

    Attributes:
      entry: name of the entry.
      upstream: name of the upstream.
      at_s: when it answered, in seconds.
      rest_s: how long the rest is, in seconds.
    """

    entry: str
    upstream: str
    at_s: float
    rest_s: float


class Outcome(NamedTuple):
    """Credit of the requests and runs at the upstreams in a replay.

    Attributes:
      kinds: outcome by kind of request.
      windows: credit of each window of `WINDOW_S`, by start time in seconds.
      runs: number of runs at upstreams.
      new_runs: number of runs whose object was not cached.
      upstreams_per_key: mean number of upstreams that ran a key.
      limited_arrivals: times of the requests that reached each upstream while
        it stated a limit, in seconds.
      rests: rests that upstreams asked entries for.
      arrivals: times of the requests that reached upstreams, by entry and
        upstream, in seconds.
      sent_to_leaving: requests that an entry sent to an upstream after it had
        got an answer that said that the upstream leaves.
      returns: callers that returned when told, by kind of request.
    """

    kinds: dict[str, KindOutcome]
    windows: dict[float, float]
    runs: int
    new_runs: int
    upstreams_per_key: float
    limited_arrivals: dict[str, list[float]]
    rests: list[RestAsked]
    arrivals: dict[tuple[str, str], list[float]]
    sent_to_leaving: int
    returns: dict[str, ReturnOutcome]

    @property
    def credit(self) -> float:
        """Returns the credit over all requests."""
        total = sum(kind.total for kind in self.kinds.values())
        earned = sum(kind.total * kind.credit for kind in self.kinds.values())
        return earned / total if total else 1.0

    @property
    def lowest_kind_credit(self) -> float:
        """Returns the lowest credit of any kind."""
        return min(kind.credit for kind in self.kinds.values())


class Tally:
    """Collects the outcomes of a running replay."""

    def __init__(self, *, warm_up_s: float) -> None:
        """Starts empty; requests sent before `warm_up_s` are not counted."""
        self._warm_up_s = warm_up_s
        self._endings: dict[str, Counter[Ending]] = {}
        self._latencies: dict[str, HdrHistogram] = {}
        self._requests: Counter[float] = Counter()
        self._earned: dict[float, float] = {}
        self._upstreams_by_key: dict[str, set[str]] = {}
        self._runs = 0
        self._new_runs = 0
        self._limited_arrivals: dict[str, list[float]] = {}
        self._rests: list[RestAsked] = []
        self._arrivals: dict[tuple[str, str], list[float]] = {}
        self._told_leaving: set[tuple[str, str]] = set()
        self._sent_to_leaving = 0
        self._told: dict[str, Counter[str]] = {}
        self._served_returns: dict[str, Counter[str]] = {}

    def record_sent(self, entry: str, upstream: str) -> None:
        """Records a request that an entry sends to an upstream."""
        self._sent_to_leaving += (entry, upstream) in self._told_leaving

    def record_arrival(self, entry: str, upstream: str, *, at_s: float) -> None:
        """Records a request of an entry that reaches an upstream."""
        self._arrivals.setdefault((entry, upstream), []).append(at_s)

    def record_told(self, kind: str, *, basis: str, started_s: float) -> None:
        """Records a refused caller that returns when it was told."""
        if started_s >= self._warm_up_s:
            self._told.setdefault(kind, Counter())[basis] += 1

    def record_served_return(
        self, kind: str, *, basis: str, started_s: float
    ) -> None:
        """Records a response to a caller that returned when it was told."""
        if started_s >= self._warm_up_s:
            self._served_returns.setdefault(kind, Counter())[basis] += 1

    def record_leaving(self, entry: str, upstream: str) -> None:
        """Records that an entry got an answer that said so."""
        self._told_leaving.add((entry, upstream))

    def record_rest(self, rest: RestAsked) -> None:
        """Records an answer that asks for a rest."""
        self._rests.append(rest)

    def record_limited(self, upstream: str, *, at_s: float) -> None:
        """Records a request that reaches an upstream with a limit."""
        self._limited_arrivals.setdefault(upstream, []).append(at_s)

    def record_request(
        self, *, kind: str, started_s: float, latency_s: float, ending: Ending
    ) -> None:
        """Records a request that has ended.

        Args:
          kind: kind of the request.
          started_s: time of its first attempt, in seconds.
          latency_s: time that its caller waited, in seconds.
          ending: how it ended.
        """
        if started_s < self._warm_up_s:
            return
        self._endings.setdefault(kind, Counter())[ending] += 1
        window_s = started_s // WINDOW_S * WINDOW_S
        self._requests[window_s] += 1
        earned = self._earned.setdefault(window_s, 0.0)
        if ending is Ending.ANSWERED:
            self._earned[window_s] = earned + 1.0
        elif ending is Ending.LATE:
            self._earned[window_s] = earned + LATE_CREDIT
        if ending in (Ending.ANSWERED, Ending.LATE):
            latencies = self._latencies.get(kind)
            if latencies is None:
                latencies = HdrHistogram(1, _MAX_LATENCY_MS, 2)
                self._latencies[kind] = latencies
            latencies.record_value(max(1, round(latency_s * 1000)))

    def record_run(
        self, *, key: str, upstream: str, new: bool, at_s: float
    ) -> None:
        """Records a run at an upstream."""
        if at_s < self._warm_up_s:
            return
        self._runs += 1
        self._new_runs += new
        self._upstreams_by_key.setdefault(key, set()).add(upstream)

    def outcome(self) -> Outcome:
        """Returns the collected outcomes."""
        kinds = {}
        for kind, endings in self._endings.items():
            latencies = self._latencies.get(kind)
            kinds[kind] = KindOutcome(
                total=endings.total(),
                in_aim=endings[Ending.ANSWERED],
                late=endings[Ending.LATE],
                refused=endings[Ending.REFUSED],
                failed=endings[Ending.FAILED],
                p50_ms=_percentile_ms(latencies, 50),
                p99_ms=_percentile_ms(latencies, 99),
            )
        windows = {}
        for window_s in sorted(self._requests):
            windows[window_s] = (
                self._earned[window_s] / self._requests[window_s]
            )
        upstream_counts = [
            len(found) for found in self._upstreams_by_key.values()
        ]
        return Outcome(
            kinds=kinds,
            windows=windows,
            runs=self._runs,
            new_runs=self._new_runs,
            upstreams_per_key=sum(upstream_counts) / len(upstream_counts)
            if upstream_counts
            else 0.0,
            limited_arrivals=self._limited_arrivals,
            rests=self._rests,
            arrivals=self._arrivals,
            sent_to_leaving=self._sent_to_leaving,
            returns=self._returns(),
        )

    def _returns(self) -> dict[str, ReturnOutcome]:
        outcomes = {}
        for kind in self._endings:
            outcomes[kind] = ReturnOutcome(
                told=dict(self._told.get(kind, Counter())),
                served=dict(self._served_returns.get(kind, Counter())),
            )
        return outcomes


def _percentile_ms(latencies: HdrHistogram | None, percent: float) -> float:
    if latencies is None:
        return 0.0
    return float(latencies.get_value_at_percentile(percent))
