"""What requests were lost or late, by cause, read from the logs of gateways."""

from collections import Counter
from collections.abc import Iterable
from datetime import datetime
import enum
from typing import Any, NamedTuple

from almondstair.log import Event
from almondstair.tools.request_explanations import LogLine

# Use of a service up to which a refusal for lack of room counts as one beside
# free slots; above, a request may have found every slot taken at its moment.
MAX_USE_WITH_FREE_SLOTS = 0.8
# Length of the windows in seconds.
WINDOW_S = 2.0
# Part of the aim that a queue has to take for it to count as the cause.
MIN_QUEUE_FRACTION = 0.2
# An answer that took this many times what was expected ran otherwise than it
# was expected to.
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
    """Why a request was not answered in its aim.

    Attributes:
      NONE: it was.
      ROOM: refused while its service had slots free.
      FULL: refused, no slot was free.
      NOT_READY: refused by an entry that had just started, or was leaving.
      OTHER_REFUSAL: refused for another reason.
      LOST: it may have run, and there is no whole answer.
      LEFT: its caller left first.
      FAILED: the upstream's own failure.
      TRIES: late after tries at upstreams that failed.
      QUEUED: late after a queue at its upstream.
      NEW: late as its object was not known where it ran.
      FORGOTTEN: late as it ran longer than is usual where its object is known.
      FAR: late by the way to another region.
      SLOW: late for none of these.
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
    OTHER_LATENESS = "late otherwise"


class RequestEnd(NamedTuple):
    """How one request ended.

    Attributes:
      at_s: when, in seconds since the first line.
      route: its route, empty where none was found.
      source: the log that tells it.
      cause: why it was not answered in its aim.
    """

    at_s: float
    route: str
    source: str
    cause: Cause


class Row(NamedTuple):
    """Requests of one part, by cause.

    Attributes:
      part: a route, a log or a window.
      asked: requests that ended.
      causes: how many of them by cause.
    """

    part: str
    asked: int
    causes: dict[str, int]


class Losses(NamedTuple):
    """What was lost: in all, by route, by log and by window."""

    total: Row
    routes: list[Row]
    sources: list[Row]
    windows: list[Row]


def summarize(lines: Iterable[LogLine]) -> Losses:
    """Returns what the lines of several logs say of lost requests."""
    ends = _find_ends(lines)
    windows: dict[str, list[RequestEnd]] = {}
    for end in ends:
        began_s = int(end.at_s / WINDOW_S) * WINDOW_S
        windows.setdefault(f"{began_s:6.0f} s", []).append(end)
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
    aim_ms = fields.get("aim_ms", 0)
    if fields.get("tries", 1) > 1:
        return Cause.FAILED_ATTEMPTS
    if fields.get("queue_ms", 0) > MIN_QUEUE_FRACTION * aim_ms:
        return Cause.QUEUED
    if fields.get("warm") is False:
        return Cause.NOT_CACHED
    if took_ms > SLOW_RUN_RATIO * fields.get("expected_ms", 0):
        return Cause.SLOWER_THAN_CACHED
    if took_ms - fields.get("way_ms", 0) <= aim_ms:
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
    """Returns the causes of a part with their counts, the greatest first."""
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
