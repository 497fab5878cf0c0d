"""Checks of the documented guarantees on records of callers and upstreams."""

from collections.abc import Iterable
from typing import NamedTuple

from emulator.world import UpstreamRun

# Tolerance for clock reads in two processes and for packets in transit.
SLACK_S = 0.5
COLD_BOUND_PER_S = 5 * 1.5 + 5
# Operators tolerate this factor of a limit and some requests in a window, from
# some seconds after an upstream has stated it.
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_WINDOW_S = 4.0
LIMIT_SETTLE_S = 4.0
# Operators tolerate this share of failed first tries at a gateway without
# upstreams, and some more, from a second after it lost them.
CUT_NOTICED_S = 1.0
CUT_SHARE = 1 / 50
CUT_SLACK = 10


class SentRequest(NamedTuple):
    """Describes one request and its result at the caller.

    Attributes:
      request: id of the request.
      path: path of the request.
      idempotent: whether it may run more than once.
      sent_s: when it was sent, in seconds of the host's monotonic clock.
      ended_s: when its response arrived or its connection ended.
      status: status of the response, 0 if there was none.
      seal: signature of the response.
      complete: whether the upstream's complete body arrived.
      read: whether the gateway is known to have read it.
    """

    request: str
    path: str
    idempotent: bool
    sent_s: float
    ended_s: float
    status: int
    seal: str
    complete: bool
    read: bool = True


class Span(NamedTuple):
    """Describes a named time span, in seconds of the monotonic clock."""

    name: str
    from_s: float
    to_s: float


class Violation(NamedTuple):
    """Describes a violated guarantee."""

    guarantee: str
    detail: str


def check_answers(sent: Iterable[SentRequest]) -> list[Violation]:
    """Finds successes without the complete response to their own request."""
    violations = []
    for request in sent:
        if request.status != 200:
            continue
        if request.seal != f"seal-{request.request}" or not request.complete:
            violations.append(
                Violation("complete responses to own request", str(request))
            )
    return violations


def check_at_most_once(
    sent: Iterable[SentRequest], ran: Iterable[UpstreamRun]
) -> list[Violation]:
    """Finds non-idempotent requests that ran twice, and runs nobody sent."""
    counts: dict[str, int] = {}
    for run in ran:
        counts[run.request] = counts.get(run.request, 0) + 1
    violations = []
    known = set()
    for request in sent:
        known.add(request.request)
        if not request.idempotent and counts.get(request.request, 0) > 1:
            violations.append(Violation("runs at most once", str(request)))
    for request_id in counts.keys() - known:
        violations.append(Violation("only sent requests run", request_id))
    return violations


def check_refusals(
    sent: Iterable[SentRequest], ran: Iterable[UpstreamRun]
) -> list[Violation]:
    """Finds non-idempotent requests that ran although they were refused.

    Status 408, 421, 429 or 503 says that the request did not run.
    """
    ran_ids = {run.request for run in ran}
    violations = []
    for request in sent:
        if request.status not in (408, 421, 429, 503):
            continue
        if not request.idempotent and request.request in ran_ids:
            violations.append(
                Violation("refused requests do not run", str(request))
            )
    return violations


def check_no_traffic(
    ran: Iterable[UpstreamRun], spans: Iterable[Span]
) -> list[Violation]:
    """Finds runs at upstreams in spans after they left or were evacuated."""
    closed: dict[str, list[Span]] = {}
    for span in spans:
        closed.setdefault(span.name, []).append(span)
    violations = []
    for run in ran:
        for span in closed.get(run.upstream, []):
            if span.from_s + SLACK_S < run.at_s < span.to_s:
                violations.append(
                    Violation("leaving upstreams get no work", f"{run} {span}")
                )
    return violations


def check_cold(
    ran: Iterable[UpstreamRun], cold: Iterable[Span]
) -> list[Violation]:
    """Finds cold upstreams that got more than their bound in any second."""
    violations = []
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
                violations.append(
                    Violation(
                        "cold upstreams within bound", f"{span} {within}/s"
                    )
                )
                break
    return violations


def check_limits(
    ran: Iterable[UpstreamRun], limits: Iterable[tuple[Span, float]]
) -> list[Violation]:
    """Finds upstreams that got more than the limit that they stated.

    Args:
      ran: runs without a disturbance nearby.
      limits: spans in which upstreams stated limits, with the limit in requests
        per second.
    """
    violations = []
    runs = sorted(ran, key=lambda run: run.at_s)
    for span, rate_per_s in limits:
        most = LIMIT_FACTOR * rate_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        times = []
        for run in runs:
            if run.upstream != span.name:
                continue
            if span.from_s + LIMIT_SETTLE_S <= run.at_s < span.to_s:
                times.append(run.at_s)
        for index, at_s in enumerate(times):
            within = sum(
                1 for each in times[index:] if each < at_s + LIMIT_WINDOW_S
            )
            if within > most:
                violations.append(
                    Violation(
                        "limits of upstreams hold",
                        f"{span} {within} of {most:.1f}",
                    )
                )
                break
    return violations


def check_cut(sent: Iterable[SentRequest], cut: Span) -> list[Violation]:
    """Finds a cut during which too few requests succeed.

    Args:
      sent: requests sent to gateways that the cut leaves without upstreams,
        without another fault nearby.
      cut: the span of the cut.
    """
    requests = [
        each
        for each in sent
        if cut.from_s + CUT_NOTICED_S <= each.sent_s < cut.to_s
    ]
    failed = sum(1 for each in requests if each.status != 200)
    if failed <= CUT_SLACK + CUT_SHARE * len(requests):
        return []
    detail = f"{cut} {failed} of {len(requests)} failed"
    return [Violation("cut gateways serve through others", detail)]


def check_graceful_stops(
    sent: Iterable[SentRequest], stops: Iterable[Span]
) -> list[Violation]:
    """Finds requests that were read and then cut by a planned stop alone.

    Args:
      sent: requests sent to the stopping gateway.
      stops: spans from SIGTERM to the process's exit, by gateway, without
        another fault nearby.
    """
    violations = []
    for request in sent:
        if request.status or not request.read:
            continue
        for span in stops:
            if span.from_s <= request.sent_s <= span.to_s:
                violations.append(
                    Violation("stops cut no request", f"{request} {span}")
                )
    return violations


def check_ahead(first: Iterable[SentRequest]) -> list[Violation]:
    """Finds requests that an upstream ran and that got no response at all.

    Args:
      first: small requests that were sent before others on their connections,
        while no gateway ended.
    """
    violations = []
    for request in first:
        if not request.status:
            violations.append(
                Violation("late responses lose none before them", str(request))
            )
    return violations


def check_configuration(
    sent: Iterable[SentRequest], routes: Iterable[Span]
) -> list[Violation]:
    """Finds requests answered 404 on a route that must be known.

    A route must stay known from some seconds after it was written.

    Args:
      sent: all requests.
      routes: spans in which a route must be known, by its path prefix.
    """
    violations = []
    spans = list(routes)
    for request in sent:
        if request.status != 404:
            continue
        for span in spans:
            if not request.path.startswith(span.name):
                continue
            if span.from_s < request.sent_s < span.to_s:
                violations.append(
                    Violation("configuration in force", str(request))
                )
    return violations


def check_recovery(
    sent: Iterable[SentRequest], spans: Iterable[Span], *, min_share: float
) -> list[Violation]:
    """Finds spans without faults in which too few requests succeed."""
    violations = []
    requests = list(sent)
    for span in spans:
        within = [
            request
            for request in requests
            if span.from_s <= request.sent_s < span.to_s
        ]
        served = sum(1 for request in within if request.status == 200)
        if within and served < min_share * len(within):
            detail = f"{span} served {served} of {len(within)}"
            violations.append(Violation("service recovers", detail))
    return violations
