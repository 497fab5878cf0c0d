"""The promises of the pages, checked from what callers and upstreams saw."""

from collections.abc import Iterable
from typing import NamedTuple

from emulator.world import Ran

# A clock that is read by two processes, and a packet on its way.
SLACK_S = 0.5
COLD_BOUND_PER_S = 5 * 1.5 + 5


class Sent(NamedTuple):
    """One request as its caller saw it.

    Attributes:
      request: its id.
      path: its path.
      repeatable: whether it may run more than once.
      sent_s: when it was sent, monotonic seconds of the machine.
      ended_s: when its answer came or its connection ended.
      status: status of the answer, 0 if there was none.
      seal: signature of the answer.
      whole: whether the body was the upstream's whole one.
      read: whether the gateway surely read it.
    """

    request: str
    path: str
    repeatable: bool
    sent_s: float
    ended_s: float
    status: int
    seal: str
    whole: bool
    read: bool = True


class Span(NamedTuple):
    """A time in which something holds, monotonic seconds."""

    name: str
    from_s: float
    to_s: float


class Violation(NamedTuple):
    """A broken promise."""

    guarantee: str
    detail: str


def check_answers(sent: Iterable[Sent]) -> list[Violation]:
    """Each success is the whole answer to its own request."""
    faults = []
    for request in sent:
        if request.status != 200:
            continue
        if request.seal != f"seal-{request.request}" or not request.whole:
            faults.append(Violation("own and whole answers", str(request)))
    return faults


def check_once(sent: Iterable[Sent], ran: Iterable[Ran]) -> list[Violation]:
    """What must not repeat ran once; nothing ran that nobody sent."""
    counts: dict[str, int] = {}
    for run in ran:
        counts[run.request] = counts.get(run.request, 0) + 1
    faults = []
    known = set()
    for request in sent:
        known.add(request.request)
        if not request.repeatable and counts.get(request.request, 0) > 1:
            faults.append(Violation("runs once", str(request)))
    for request_id in counts.keys() - known:
        faults.append(Violation("only what was sent runs", request_id))
    return faults


def check_refusals(sent: Iterable[Sent], ran: Iterable[Ran]) -> list[Violation]:
    """A 429 or 503 is true: the request did not run."""
    ran_ids = {run.request for run in ran}
    faults = []
    for request in sent:
        if request.status not in (408, 421, 429, 503):
            continue
        if not request.repeatable and request.request in ran_ids:
            faults.append(Violation("a refusal is true", str(request)))
    return faults


def check_silent(ran: Iterable[Ran], spans: Iterable[Span]) -> list[Violation]:
    """Upstreams that left or are evacuated get nothing in these spans."""
    closed: dict[str, list[Span]] = {}
    for span in spans:
        closed.setdefault(span.name, []).append(span)
    faults = []
    for run in ran:
        for span in closed.get(run.upstream, []):
            if span.from_s + SLACK_S < run.at_s < span.to_s:
                faults.append(
                    Violation("leaving upstreams rest", f"{run} {span}")
                )
    return faults


def check_cold(ran: Iterable[Ran], cold: Iterable[Span]) -> list[Violation]:
    """A cold upstream gets no more than its bound in any second."""
    faults = []
    runs = sorted(ran, key=lambda run: run.at_s)
    for span in cold:
        times = []
        for run in runs:
            if run.upstream != span.name:
                continue
            if span.from_s <= run.at_s < span.to_s:
                times.append(run.at_s)
        for index, at_s in enumerate(times):
            within = sum(1 for each in times[index:] if each < at_s + 1)
            if within > COLD_BOUND_PER_S:
                faults.append(Violation("cold upstreams", f"{span} {within}/s"))
                break
    return faults


def check_stops(sent: Iterable[Sent], stops: Iterable[Span]) -> list[Violation]:
    """No request that was read is cut by a planned stop alone.

    Args:
      sent: requests that went to the stopping gateway.
      stops: from SIGTERM to the process's end, by gateway, where no other
        fault was near.
    """
    faults = []
    for request in sent:
        if request.status or not request.read:
            continue
        for span in stops:
            if span.from_s <= request.sent_s <= span.to_s:
                faults.append(
                    Violation("stops cut nobody", f"{request} {span}")
                )
    return faults


def check_configuration(
    sent: Iterable[Sent], routes: Iterable[Span]
) -> list[Violation]:
    """A route is known from some seconds after it was written, for good.

    Args:
      sent: all requests.
      routes: spans in which a path must be known, by the path's start.
    """
    faults = []
    spans = list(routes)
    for request in sent:
        if request.status != 404:
            continue
        for span in spans:
            if not request.path.startswith(span.name):
                continue
            if span.from_s < request.sent_s < span.to_s:
                faults.append(Violation("configuration in force", str(request)))
    return faults


def check_recovery(
    sent: Iterable[Sent], spans: Iterable[Span], *, least_share: float
) -> list[Violation]:
    """In spans without fault most requests are served."""
    faults = []
    requests = list(sent)
    for span in spans:
        within = [
            request
            for request in requests
            if span.from_s <= request.sent_s < span.to_s
        ]
        served = sum(1 for request in within if request.status == 200)
        if within and served < least_share * len(within):
            detail = f"{span} served {served} of {len(within)}"
            faults.append(Violation("service recovers", detail))
    return faults
