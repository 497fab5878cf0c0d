"""Explanations of single requests, from the log lines of several VMs."""

from collections.abc import Iterable
import json
from typing import Any, NamedTuple

from almondstair.core.return_times import ReturnBasis
from almondstair.core.wait_queue import WaitEnd
from almondstair.log import Event

_ANSWERED = Event.REQUEST_ANSWERED.value.number
_ATTEMPT_FAILED = Event.TRY_FAILED.value.number
_REFUSED = Event.GATEWAY_REFUSED.value.number
_FAILED = Event.REQUEST_FAILED.value.number
_ABANDONED = Event.REQUEST_ABANDONED.value.number
_WAITED = Event.ANSWER_WAITED.value.number
_LINES_DROPPED = Event.LINES_LEFT_OUT.value.number
_STORE_LOST = Event.STORE_LOST.value.number
_STORE_BACK = Event.STORE_BACK.value.number
_IN_FORCE = Event.CONFIGURATION_IN_FORCE.value.number
_UPSTREAM_EVENTS = frozenset(
    (
        Event.UPSTREAM_CHANGED.value.number,
        Event.UPSTREAM_GONE.value.number,
        Event.UPSTREAM_UNREACHABLE.value.number,
        Event.UPSTREAM_LIMIT_CHANGED.value.number,
        Event.UPSTREAM_STATES_LEAVING.value.number,
        Event.UPSTREAM_STATES_REST.value.number,
        Event.UPSTREAM_REST_ENDED.value.number,
    )
)
# Fields that don't help to explain the outcome.
_COMMON_FIELDS = frozenset(("time", "level", "message", "event", "event_name"))
# Ratio of actual to expected latency above which the upstream was slow; below
# it, a long latency was expected.
_SLOW_RUN_RATIO = 1.5


class LogLine(NamedTuple):
    """Holds one line of a log.

    Attributes:
      time: when it was written, in the format of the log.
      source: name of the log file.
      event: number of the event.
      fields: all fields of the line.
    """

    time: str
    source: str
    event: int
    fields: dict[str, Any]


class RequestExplanation(NamedTuple):
    """Explains what happened to a request and why.

    Attributes:
      request: id of the request.
      cause: its outcome and the reason, in one sentence.
      lines: lines that name the request, in order of time.
      around: lines about its upstreams, the store and the configuration.
    """

    request: str
    cause: str
    lines: list[LogLine]
    around: list[LogLine]


_RETURN_BASES = {
    str(ReturnBasis.TURN): "its turn in the capacity that is likely to be free",
    str(ReturnBasis.LATEST): "its latest possible return, without a turn",
    str(ReturnBasis.CONSTANT): "the same for all",
}
_WAIT_ENDS = {
    str(WaitEnd.OUT_OF_TIME): "it could no longer be answered in its time",
    str(WaitEnd.BEHIND_OTHERS): "those ahead of it took longer than it had",
    str(WaitEnd.QUEUE_FULL): "requests before it took all places",
    str(WaitEnd.NOT_PLACEABLE): "no upstream could get it at all",
}


def read_lines(source: str, text: Iterable[str]) -> list[LogLine]:
    """Reads JSON lines; skips other lines, such as a traceback."""
    lines = []
    for row in text:
        start = row.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(row[start:])
        except json.JSONDecodeError:
            continue
        if not isinstance(fields, dict) or "event" not in fields:
            continue
        lines.append(
            LogLine(
                time=str(fields.get("time", "")),
                source=source,
                event=int(fields["event"]),
                fields=fields,
            )
        )
    return lines


def explain(request: str, lines: list[LogLine]) -> RequestExplanation:
    """Explains a request from log lines."""
    ordered = sorted(lines, key=lambda line: line.time)
    own_lines = [
        line for line in ordered if line.fields.get("request") == request
    ]
    upstreams = _upstreams_tried(own_lines)
    context = []
    for line in ordered:
        if _is_context(line, own_lines, upstreams):
            context.append(line)
    return RequestExplanation(
        request=request,
        cause=_describe_cause(own_lines, ordered),
        lines=own_lines,
        around=context,
    )


def _upstreams_tried(own_lines: list[LogLine]) -> set[str]:
    found = set()
    for line in own_lines:
        if "upstream" in line.fields:
            found.add(line.fields["upstream"])
        found.update(line.fields.get("limited", []))
        found.update(line.fields.get("tried", []))
    return found


def _is_context(
    line: LogLine, own_lines: list[LogLine], upstreams: set[str]
) -> bool:
    if not own_lines:
        return False
    if line.event in (_STORE_LOST, _STORE_BACK, _IN_FORCE):
        return (
            line.source == own_lines[-1].source
            and line.time <= own_lines[-1].time
        )
    if line.event not in _UPSTREAM_EVENTS:
        return False
    return line.fields.get("upstream") in upstreams


def _describe_cause(own_lines: list[LogLine], ordered: list[LogLine]) -> str:
    if not own_lines:
        return _describe_absence(ordered)
    # The entry that the caller reached knows how the request ended for it.
    at_caller = [line for line in own_lines if not _is_relayed(line)]
    final = (at_caller or own_lines)[-1]
    last = final.fields
    event = final.event
    if event == _ANSWERED:
        return _describe_answered(own_lines, last)
    if event == _FAILED:
        return _describe_failure(own_lines, last)
    if event == _WAITED:
        return (
            f"{_describe_cause(own_lines[:-1], ordered)}; "
            f"{_describe_wait(last)}"
        )
    if event == _REFUSED:
        return _describe_refusal(last)
    return _describe_unanswered(event, last)


def _is_relayed(line: LogLine) -> bool:
    """Returns whether a line is of an entry that another one relays to."""
    return bool(line.fields.get("relayed_by"))


def _describe_unanswered(event: int, last: dict[str, Any]) -> str:
    if event == _ABANDONED and last.get("cause"):
        return (
            f"this entry closed the connection after {last.get('after_ms')} "
            f"ms, as its caller neither read nor sent: {last['cause']}"
        )
    if event == _ABANDONED:
        return f"the caller disconnected after {last.get('after_ms')} ms"
    return "no log line shows how it ended; the process may have been killed"


def _describe_absence(ordered: list[LogLine]) -> str:
    for line in ordered:
        if line.event == _LINES_DROPPED:
            return (
                "no log line names it; lines were dropped at "
                f"{line.time}: {line.fields.get('lines')}"
            )
    return "no log line names it: it reached none of these VMs"


def _describe_answered(own_lines: list[LogLine], last: dict[str, Any]) -> str:
    took_ms = last.get("took_ms", 0)
    expected_ms = last.get("expected_ms", 0)
    text = f"answered {last.get('status')} after {took_ms} ms"
    through = last.get("through")
    if through:
        return f"{text}, {_describe_relay(own_lines, through)}"
    if len(own_lines) > 1:
        return (
            f"{text}, after {len(own_lines) - 1} failed attempts: "
            f"{_failed_attempts(own_lines)}"
        )
    if took_ms > _SLOW_RUN_RATIO * max(1, expected_ms):
        return (
            f"{text}, expected {expected_ms} ms: upstream "
            f"{last.get('upstream')} was slow"
        )
    limited = last.get("limited")
    if limited:
        return (
            f"{text}, at upstream {last.get('upstream')}: the limits of "
            f"{', '.join(limited)} were used up"
        )
    if not last.get("warm"):
        return f"{text}, as expected: the upstream had not cached the object"
    return f"{text}, as expected with {last.get('busy')} requests there"


def _describe_relay(own_lines: list[LogLine], through: str) -> str:
    """Returns which upstream another entry sent a request to."""
    text = f"through entry {through}, as no upstream was reachable"
    for line in own_lines:
        if _is_relayed(line) and line.fields.get("upstream"):
            return f"{text}; it was sent to {line.fields['upstream']}"
    return f"{text}; that entry's log is not among the logs"


def _describe_wait(last: dict[str, Any]) -> str:
    text = (
        f"the response waited {last.get('waited_ms')} ms on its connection "
        f"behind request {last.get('behind')}"
    )
    if last.get("delivered"):
        return text
    return f"{text}, and the caller left before it was sent"


def _describe_refusal(last: dict[str, Any]) -> str:
    kind = last.get("kind")
    if kind == "no_slot":
        text = (
            f"refused, not run: service {last.get('service')} had "
            f"{last.get('use')} of its slots in use at "
            f"{last.get('upstreams')} upstreams"
        )
        held_back = last.get("held_back")
        if held_back:
            text += f"; held back from {', '.join(held_back)}"
        limited = last.get("limited")
        if limited:
            text += f"; at their limits: {', '.join(limited)}"
        wait_end = _WAIT_ENDS.get(str(last.get("detail")))
        if wait_end:
            text += f"; its wait ended, as {wait_end}"
        return text + _describe_return(last)
    if kind == "upstreams_limited":
        return (
            f"refused, not run: all upstreams of service "
            f"{last.get('service')} were at the limits that they state: "
            f"{', '.join(last.get('limited') or [])}"
        )
    if kind == "upstreams_resting":
        return (
            f"refused, not run: all {last.get('upstreams')} upstreams of "
            f"service {last.get('service')} wanted rest, were unreachable or "
            "at their limits"
        )
    if kind == "entry_memory_full":
        return (
            "refused, not run: the entry held too many bytes to read its "
            f"body: {last.get('detail')}"
        )
    if kind == "unknown_path":
        return f"no route: {last.get('detail')}"
    text = f"refused, not run: {kind} {last.get('detail')}"
    return text + _describe_return(last)


def _describe_return(last: dict[str, Any]) -> str:
    """Returns what the caller of a refused request was told."""
    basis = str(last.get("return_basis"))
    if basis == ReturnBasis.NONE:
        return "; told no return time, as no return would leave time to run"
    if basis not in _RETURN_BASES:
        return ""
    return (
        f"; told to return after {last.get('retry_after_ms')} ms: "
        f"{_RETURN_BASES[basis]}"
    )


def _describe_failure(own_lines: list[LogLine], last: dict[str, Any]) -> str:
    if last.get("kind") == "upstream_timeout":
        return (
            f"no response after {last.get('after_ms')} ms from upstream "
            f"{', '.join(last.get('tried', []))}"
        )
    return f"may have run, no whole answer: {_failed_attempts(own_lines)}"


def _failed_attempts(own_lines: list[LogLine]) -> str:
    parts = []
    for line in own_lines:
        if line.event != _ATTEMPT_FAILED:
            continue
        fields = line.fields
        target = fields.get("upstream") or f"through {fields.get('through')}"
        parts.append(f"{target}: {fields.get('cause')}")
    return "; ".join(parts) or "no failed attempt is logged"


def details(line: LogLine) -> str:
    """Returns the fields of a line other than its time and event."""
    parts = []
    for name, value in line.fields.items():
        if name not in _COMMON_FIELDS:
            parts.append(f"{name}={value}")
    return " ".join(parts)
