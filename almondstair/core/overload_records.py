"""Counts what overload does to requests, for operators."""

from collections import Counter
from typing import NamedTuple


class RequestClass(NamedTuple):
    """The requests of one priority for one service."""

    service: str
    priority: int


class SpeedCounts(NamedTuple):
    """Responses that stated the speed of their upstream, since the start.

    Attributes:
      usual: those that stated a machine that runs work nearly as usual.
      slow: those that stated a slow machine.
    """

    usual: int
    slow: int


class OverloadRow(NamedTuple):
    """What operators see of one class of requests at one entry.

    Attributes:
      service: the service.
      priority: the priority; 0 is the highest.
      waiting: requests that wait for a slot now.
      waited: requests that have waited, since the start.
      refused: refused requests since the start, by reason.
      returned: requests whose callers had been refused before.
      return_times: refusals for which the part Return decided when the caller
        should return, since the start, by the basis of the decision.
    """

    service: str
    priority: int
    waiting: int
    waited: int
    refused: dict[str, int]
    returned: int
    return_times: dict[str, int]


class OverloadRecords:
    """Counts waits, refusals and returns by class of requests."""

    def __init__(self) -> None:
        """Starts without requests."""
        self._waiting: Counter[RequestClass] = Counter()
        self._waited: Counter[RequestClass] = Counter()
        self._refused: dict[RequestClass, Counter[str]] = {}
        self._returned: Counter[RequestClass] = Counter()
        self._return_times: dict[RequestClass, Counter[str]] = {}
        self._speeds: dict[str, SpeedCounts] = {}

    def record_wait(self, requests: RequestClass) -> None:
        """Counts a request that starts to wait."""
        self._waiting[requests] += 1
        self._waited[requests] += 1

    def record_wait_ended(self, requests: RequestClass) -> None:
        """Counts a request that waits no longer."""
        self._waiting[requests] -= 1

    def waiting(self, service: str) -> int:
        """Returns the requests for a service that wait now."""
        count = 0
        for requests, waiting in self._waiting.items():
            if requests.service == service:
                count += waiting
        return count

    def record_refused(self, requests: RequestClass, *, reason: str) -> None:
        """Counts a request that was refused for lack of capacity."""
        self._refused.setdefault(requests, Counter())[reason] += 1

    def record_returned(self, requests: RequestClass) -> None:
        """Counts a request whose caller had been refused before."""
        self._returned[requests] += 1

    def record_return_time(self, requests: RequestClass, *, basis: str) -> None:
        """Counts a decision on when a refused caller should return."""
        self._return_times.setdefault(requests, Counter())[basis] += 1

    def record_speed(self, service: str, *, slow: bool) -> None:
        """Counts a response that states the speed of its upstream."""
        counts = self._speeds.get(service, SpeedCounts(usual=0, slow=0))
        if slow:
            counts = counts._replace(slow=counts.slow + 1)
        else:
            counts = counts._replace(usual=counts.usual + 1)
        self._speeds[service] = counts

    def speeds(self) -> dict[str, SpeedCounts]:
        """Returns the counts of stated speeds by service."""
        return dict(self._speeds)

    def rows(self) -> list[OverloadRow]:
        """Returns a row for each class that has any count."""
        known = {
            *self._waited,
            *self._refused,
            *self._returned,
            *self._return_times,
        }
        rows = []
        for requests in sorted(known):
            rows.append(
                OverloadRow(
                    service=requests.service,
                    priority=requests.priority,
                    waiting=self._waiting[requests],
                    waited=self._waited[requests],
                    refused=dict(self._refused.get(requests, Counter())),
                    returned=self._returned[requests],
                    return_times=dict(
                        self._return_times.get(requests, Counter())
                    ),
                )
            )
        return rows
