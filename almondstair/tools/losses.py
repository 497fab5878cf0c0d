"""Lost and late requests by cause, read from the logs of gateways."""

from collections import Counter
from collections.abc import Iterable
from datetime import datetime
import enum
from typing import Any, NamedTuple

from almondstair.log import Event
from almondstair.tools.request_explanations import LogLine

# A refusal for lack of a slot below this use of the service counts as one with
# free slots; above it, every slot may have been taken at that moment.
MAX_USE_WITH_FREE_SLOTS = 0.8
# Length of the time windows that losses are counted in.
WINDOW_S = 2.0
# A queue counts as the cause if it took more than this part of the target.
MIN_QUEUE_FRACTION = 0.2
# Ratio of actual to expected latency above which the expectation was wrong.
SLOW_RUN_RATIO = 1.5
_SUCCESS = range(200, 300)
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
_END_EVENTS = frozenset(
    (
        Event.REQUEST_ANSWERED.value.number,
        Event.GATEWAY_REFUSED.value.number,
        Event.REQUEST_FAILED.value.number,
        Event.REQUEST_ABANDONED.value.number,
    )
)


class Cause(enum.StrEnum):
    """Names why a request was not answered within its latency target.

    Attributes:
      IN_TIME: it was answered within its latency target.
      REFUSED_WITH_FREE_SLOTS: refused while its service had free slots.
      SERVICE_FULL: refused because no slot was free.
      NOT_READY: refused by an entry that had just started or was leaving.
      OTHER_REFUSAL: refused for another reason.
      RESPONSE_LOST: it may have run, and there is no complete response.
      CALLER_DISCONNECTED: its caller disconnected first.
      UPSTREAM_FAILED: the upstream answered with a failure.
      FAILED_ATTEMPTS: late after failed attempts at other upstreams.
      QUEUED: late because of the queue at its upstream.
      NOT_CACHED: late because the upstream had not cached its object.
      SLOWER_THAN_CACHED: late because it ran longer than expected with its
        object cached.
      ROUND_TRIP: late because of the round trip to another region.
      OTHER_LATENESS: late for another reason.
    """

    IN_TIME = "in its aim"
    REFUSED_WITH_FREE_SLOTS = "refused with slots free"
    SERVICE_FULL = "refused, service full"
    NOT_READY = "refused, entry starting or leaving"
    OTHER_REFUSAL = "refused for another reason"
    RESPONSE_LOST = "answer lost"
    CALLER_DISCONNECTED = "caller left"
    UPSTREAM_FAILED = "failed by its upstream"
    FAILED_ATTEMPTS = "late after failed tries"
    QUEUED = "late after a queue"
    NOT_CACHED = "late, ran as new"
    SLOWER_THAN_CACHED = "late, slower than where known"
    ROUND_TRIP = "late by the way"
    RELAYED = "late through another entry"
    OTHER_LATENESS = "late otherwise"


class RequestEnd(NamedTuple):
    """Describes how one request ended.

    Attributes:
      at_s: when it ended, in seconds since the first line.
      route: its route, empty if none matched.
      source: the log that records it.
      cause: why it was not answered within its latency target.
    """

    at_s: float
    route: str
    source: str
    cause: Cause


class Row(NamedTuple):
    """Counts requests of one part by cause.

    Attributes:
      part: name of a route, log or time window.
      asked: number of requests that ended.
      causes: number of requests by cause.
    """

    part: str
    asked: int
    causes: dict[str, int]


class Losses(NamedTuple):
    """Holds lost and late requests: in all, by route, by log and by window."""

    total: Row
    routes: list[Row]
    sources: list[Row]
    windows: list[Row]


def summarize(lines: Iterable[LogLine]) -> Losses:
    """Counts lost and late requests in the lines of several logs."""
    ends = _find_ends(lines)
    windows: dict[str, list[RequestEnd]] = {}
    for end in ends:
        start_s = int(end.at_s / WINDOW_S) * WINDOW_S
        windows.setdefault(f"{start_s:6.0f} s", []).append(end)
    return Losses(
        total=_row("all", ends),
        routes=_rows(ends, "route"),
        sources=_rows(ends, "source"),
        windows=[_row(part, windows[part]) for part in sorted(windows)],
    )


def _find_ends(lines: Iterable[LogLine]) -> list[RequestEnd]:
    found = []
    first_s: float | None = None
    for line in sorted(lines, key=lambda line: line.time):
        if line.event not in _END_EVENTS:
            continue
        if line.fields.get("relayed_by"):
            # Its caller reached another entry, which logs how it ended.
            continue
        at_s = _seconds(line.time)
        if at_s is None:
            continue
        if first_s is None:
            first_s = at_s
        found.append(
            RequestEnd(
                at_s=at_s - first_s,
                route=str(line.fields.get("route", "")),
                source=line.source,
                cause=_cause(line),
            )
        )
    return found


def _seconds(text: str) -> float | None:
    try:
        return datetime.strptime(text, _TIME_FORMAT).timestamp()
    except ValueError:
        return None


def _cause(line: LogLine) -> Cause:
    fields = line.fields
    if line.event == Event.GATEWAY_REFUSED.value.number:
        return _refusal_cause(fields)
    if line.event == Event.REQUEST_FAILED.value.number:
        return Cause.RESPONSE_LOST
    if line.event == Event.REQUEST_ABANDONED.value.number:
        return Cause.CALLER_DISCONNECTED
    if fields.get("status") not in _SUCCESS:
        return Cause.UPSTREAM_FAILED
    if fields.get("took_ms", 0) <= fields.get("aim_ms", 0):
        return Cause.IN_TIME
    return _lateness_cause(fields)


def _refusal_cause(fields: dict[str, Any]) -> Cause:
    kind = fields.get("kind")
    if kind in ("entry_not_ready", "entry_leaving"):
        return Cause.NOT_READY
    if kind != "no_slot":
        return Cause.OTHER_REFUSAL
    if fields.get("use", 1.0) < MAX_USE_WITH_FREE_SLOTS:
        return Cause.REFUSED_WITH_FREE_SLOTS
    return Cause.SERVICE_FULL


def _lateness_cause(fields: dict[str, Any]) -> Cause:
    took_ms = fields.get("took_ms", 0)
    target_ms = fields.get("aim_ms", 0)
    through = fields.get("through")
    if through or fields.get("tries", 1) > 1:
        return Cause.RELAYED if through else Cause.FAILED_ATTEMPTS
    if fields.get("queue_ms", 0) > MIN_QUEUE_FRACTION * target_ms:
        return Cause.QUEUED
    if fields.get("warm") is False:
        return Cause.NOT_CACHED
    if took_ms > SLOW_RUN_RATIO * fields.get("expected_ms", 0):
        return Cause.SLOWER_THAN_CACHED
    if took_ms - fields.get("way_ms", 0) <= target_ms:
        return Cause.ROUND_TRIP
    return Cause.OTHER_LATENESS


def _rows(ends: list[RequestEnd], name: str) -> list[Row]:
    parts: dict[str, list[RequestEnd]] = {}
    for end in ends:
        parts.setdefault(getattr(end, name), []).append(end)
    rows = [_row(part, parts[part]) for part in parts]
    return sorted(rows, key=lambda row: -(row.asked - _in_time(row)))


def _row(part: str, ends: list[RequestEnd]) -> Row:
    counts = Counter(str(end.cause) for end in ends)
    return Row(part=part, asked=len(ends), causes=dict(counts))


def _in_time(row: Row) -> int:
    return row.causes.get(str(Cause.IN_TIME), 0)


def loss_counts(row: Row) -> list[tuple[str, int]]:
    """Returns the causes of losses with their counts, the greatest first."""
    found = []
    for cause, count in row.causes.items():
        if cause != str(Cause.IN_TIME):
            found.append((cause, count))
    return sorted(found, key=lambda pair: -pair[1])


def as_json(losses: Losses) -> dict[str, Any]:
    """Returns the losses as `--json` prints them."""
    return {
        "total": losses.total._asdict(),
        "routes": [row._asdict() for row in losses.routes],
        "logs": [row._asdict() for row in losses.sources],
        "windows": [row._asdict() for row in losses.windows],
    }
