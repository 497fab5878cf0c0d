"""Rules on what entries may send to upstreams that leave or want rest.

A request is put down to the entry that its caller chose.
"""

import collections
from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Time from an answer that says that its upstream leaves until its entry sends
# nothing more to it.
DRAIN_S = 2.0
# Requests that were decided on before an answer asked for rest may arrive for
# this long; of later ones, this many may.
REST_SETTLE_S = 0.5
REST_REQUESTS = 2


class AnswerHead(NamedTuple):
    """An answer as its upstream tells it; see `emulator.upstream.Answer`."""

    incarnation: str
    request: str
    arrived_s: float
    answered_s: float
    status: int
    leaving: bool
    rest_s: float


class CallerTry(NamedTuple):
    """A request as its caller tells it.

    Attributes:
      gateway: the entry that the caller chose.
      sent_s: when it was sent, on the host's monotonic clock, in seconds.
      ended_s: when its answer had arrived, on the same clock.
      answered: whether there was one.
    """

    gateway: str
    sent_s: float
    ended_s: float
    answered: bool


class Breach(NamedTuple):
    """A case in which a rule was broken.

    Attributes:
      gateway: the entry.
      at_s: when, on the host's monotonic clock, in seconds.
      detail: what happened.
    """

    gateway: str
    at_s: float
    detail: str


def _by_incarnation(
    answers: Iterable[AnswerHead],
) -> dict[str, list[AnswerHead]]:
    found = collections.defaultdict(list)
    for answer in answers:
        found[answer.incarnation].append(answer)
    return found


def sent_to_leaving(
    tries: Mapping[str, CallerTry], answers: Iterable[AnswerHead]
) -> list[Breach]:
    """Returns requests that reached an upstream after it said that it leaves.

    They were sent later than `DRAIN_S` after their entry had passed on an
    answer that said so.

    Args:
      tries: what callers sent, by request.
      answers: answers of all upstreams.
    """
    found = []
    for incarnation, at_upstream in _by_incarnation(answers).items():
        told_s: dict[str, float] = {}
        for answer in at_upstream:
            each = tries.get(answer.request)
            if each is not None and answer.leaving and each.answered:
                earlier_s = told_s.get(each.gateway, each.ended_s)
                told_s[each.gateway] = min(each.ended_s, earlier_s)
        for answer in at_upstream:
            each = tries.get(answer.request)
            if each is None or each.gateway not in told_s:
                continue
            late_s = each.sent_s - told_s[each.gateway]
            if late_s > DRAIN_S:
                detail = f"{each.gateway} to {incarnation} {late_s:.2f} s after"
                found.append(Breach(each.gateway, each.sent_s, detail))
    return found


def sent_in_rest(
    tries: Mapping[str, CallerTry], answers: Iterable[AnswerHead]
) -> list[Breach]:
    """Returns the rests in which more requests came than may.

    Args:
      tries: what callers sent, by request.
      answers: answers of all upstreams.
    """
    found = []
    for incarnation, at_upstream in _by_incarnation(answers).items():
        by_gateway = collections.defaultdict(list)
        for answer in at_upstream:
            if answer.request in tries:
                by_gateway[tries[answer.request].gateway].append(answer)
        for gateway, answered in by_gateway.items():
            for asked in answered:
                count = _count_in_rest(asked, answered)
                if count > REST_REQUESTS:
                    detail = f"{count} from {gateway} to {incarnation}"
                    found.append(Breach(gateway, asked.answered_s, detail))
    return found


def _count_in_rest(asked: AnswerHead, answers: list[AnswerHead]) -> int:
    """Returns how many requests arrived in the rest that one answer asks."""
    from_s = asked.answered_s + REST_SETTLE_S
    to_s = asked.answered_s + asked.rest_s
    return sum(from_s < each.arrived_s < to_s for each in answers)
