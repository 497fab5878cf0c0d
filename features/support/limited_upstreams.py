"""Upstreams that state a limit, and the callers of their gateways."""

from concurrent import futures
import http.client
import random
import time
from typing import NamedTuple

from features.support.gateway_world import GatewayWorld
from features.support.harness import HttpResponse

# What the operators tolerate: in any span of 4 s that begins at least 4 s after
# the first statement, 1.5 times the limit and 5 requests.
WINDOW_S = 4.0
SETTLE_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
WORKERS = 24
NO_ANSWER = HttpResponse(0, http.client.HTTPMessage(), b"")


class Outcome(NamedTuple):
    """One request of a caller.

    Attributes:
      at_s: when it was sent, on the monotonic clock.
      took_s: time until its answer, in seconds.
      answer: the answer.
    """

    at_s: float
    took_s: float
    answer: HttpResponse


def tolerated(limit_per_s: float) -> float:
    """Returns the most requests that a window may have."""
    return TOLERATED_FACTOR * limit_per_s * WINDOW_S + TOLERATED_REQUESTS


def largest_window(times_s: list[float], *, from_s: float) -> int:
    """Returns the most arrivals in any window that begins after a time."""
    times_s = sorted(at_s for at_s in times_s if at_s >= from_s)
    largest = 0
    begin = 0
    for index, at_s in enumerate(times_s):
        while times_s[begin] <= at_s - WINDOW_S:
            begin += 1
        largest = max(largest, index - begin + 1)
    return largest


def send_for(
    world: GatewayWorld, *, rate_per_s: float, span_s: float
) -> list[Outcome]:
    """Sends requests through all gateways at random times."""
    draws = random.Random(11)
    gateways = sorted(world.gateways)
    began_s = time.monotonic()
    pending = []
    at_s = began_s
    number = 0
    with futures.ThreadPoolExecutor(WORKERS) as pool:
        while at_s < began_s + span_s:
            number += 1
            pending.append(
                pool.submit(
                    _send_at,
                    world,
                    at_s,
                    f"/safe/{number % 40}",
                    draws.choice(gateways),
                )
            )
            at_s += draws.expovariate(rate_per_s)
        return [one.result() for one in pending]


def _send_at(
    world: GatewayWorld, at_s: float, path: str, gateway: str
) -> Outcome:
    time.sleep(max(0.0, at_s - time.monotonic()))
    sent_s = time.monotonic()
    try:
        answer = world.send(
            "GET",
            path,
            gateway=gateway,
            headers={"X-Almondstair-Affinity-Key": path},
        )
    except (OSError, http.client.HTTPException):
        # The gateway was killed.
        answer = NO_ANSWER
    return Outcome(sent_s, time.monotonic() - sent_s, answer)
