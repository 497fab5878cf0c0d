"""Entries that divide limits among themselves, in virtual time.

The limits and the view of the other entries are the gateway's own code; the
store, the clock and the callers are simulated. Every entry uses whatever its
limits allow, the worst case for the sum.
"""

from collections.abc import Callable, Collection
from typing import NamedTuple

from almondstair.core.cold_start_limiter import ColdStartLimiter
from almondstair.core.fleet import Fleet
from almondstair.core.registered_entries import Entry
from almondstair.core.shared_retry_budget import SharedRetryBudget
from almondstair.gateway.entry_registration import LEASE_S
from almondstair.gateway.entry_registration import RENEWAL_INTERVAL_S

STEP_S = 0.1
POLL_INTERVAL_S = 0.5
SERVICE = "s"
COLD_UPSTREAM = "u"
COLD_RATE_PER_S = 5.0
COLD_FACTOR = 1.5
COLD_SLACK = 5.0


class RetryRule(NamedTuple):
    """The operators' limit on retries, over all entries.

    Attributes:
      ratio: retries per request.
      slack: retries in addition.
      window_s: length of the sliding window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class _Process:
    """One process of an entry, with all that it knows."""

    def __init__(self, *, name: str, rule: RetryRule, started_s: float) -> None:
        self.fleet = Fleet(own_name=name, own_region="r", zones={"z": "r"})
        self.retry_budget = SharedRetryBudget(
            ratio=rule.ratio, slack=rule.slack, window_s=rule.window_s
        )
        self.cold_start_limiter = ColdStartLimiter(
            own_name=name, rate_factor=COLD_FACTOR, slack=COLD_SLACK
        )
        self.next_renewal_s = started_s
        self.next_poll_s = started_s
        self.registered = False


class SharedLimitWorld:
    """Simulates the entries, their leases and their callers.

    Attributes:
      now_s: time of the virtual clock, in seconds.
      names: names of all entries.
      cut: names of the entries that do not reach the store.
      store_up: whether the store answers.
      rate_per_s: requests per second of each entry.
      retrying: whether entries retry as often as they may.
      requests: times of all requests.
      retries: times of all retries.
      cold_requests: times of all requests to the cold upstream.
    """

    def __init__(
        self, *, entries: int, rule: RetryRule, start_gap_s: float = STEP_S
    ) -> None:
        """Starts entries that are not registered yet.

        Args:
          entries: number of entries.
          rule: the operators' limit on retries.
          start_gap_s: time between the starts of two entries, in seconds.
        """
        self.now_s = 0.0
        self.names = [f"e{number}" for number in range(entries)]
        self.rule = rule
        self.cut: set[str] = set()
        self.store_up = True
        self.rate_per_s = 1.0
        self.retrying = False
        self.requests: list[float] = []
        self.retries: list[float] = []
        self.cold_requests: list[float] = []
        self._leases: dict[str, float] = {}
        self._credit = dict.fromkeys(self.names, 0.0)
        self._events: list[tuple[float, Callable[[], None]]] = []
        self._processes: dict[str, _Process] = {}
        for number, name in enumerate(self.names):
            self._start(name, delay_s=number * start_gap_s)

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self._events.append((at_s, action))
        self._events.sort(key=lambda event: event[0])

    def kill(self, names: Collection[str], *, for_s: float) -> None:
        """Ends processes and starts them again; leases stay until they end."""
        for name in names:
            self._processes.pop(name, None)
            self.at(self.now_s + for_s, lambda name=name: self._start(name))

    def expire_leases(self) -> None:
        """Ends all leases, as a store may while it is down."""
        self._leases.clear()

    def run(self, until_s: float) -> None:
        """Runs until a time."""
        while self.now_s < until_s:
            while self._events and self._events[0][0] <= self.now_s:
                self._events.pop(0)[1]()
            for name, process in list(self._processes.items()):
                self._step(name, process)
            self.now_s = round(self.now_s + STEP_S, 6)

    def _start(self, name: str, *, delay_s: float = 0.0) -> None:
        self._processes[name] = _Process(
            name=name, rule=self.rule, started_s=self.now_s + delay_s
        )

    def _step(self, name: str, process: _Process) -> None:
        if self.now_s >= process.next_renewal_s:
            process.next_renewal_s = self.now_s + RENEWAL_INTERVAL_S
            self._renew(name, process)
        if self.now_s >= process.next_poll_s:
            process.next_poll_s = self.now_s + POLL_INTERVAL_S
            self._poll(name, process)
        process.fleet.expire(now_s=self.now_s)
        self._serve(name, process)
        self._send_to_cold(process)

    def _reaches_store(self, name: str) -> bool:
        return self.store_up and name not in self.cut

    def _renew(self, name: str, process: _Process) -> None:
        if not self._reaches_store(name):
            return
        alive = self._leases.get(name, 0.0) > self.now_s
        created = not (process.registered and alive)
        process.registered = True
        self._leases[name] = self.now_s + LEASE_S
        process.fleet.record_registered(
            valid_until_s=self.now_s + LEASE_S,
            created=created,
            now_s=self.now_s,
        )

    def _poll(self, name: str, process: _Process) -> None:
        fleet = process.fleet
        if not self._reaches_store(name):
            fleet.record_store_failure(now_s=self.now_s)
            return
        fleet.as_of_s = self.now_s
        for other, ends_s in self._leases.items():
            if ends_s > self.now_s:
                fleet.apply_entry(Entry(other, "", "", "r", "z"))
        for other in list(fleet.entries):
            if self._leases.get(other, 0.0) <= self.now_s:
                fleet.drop_entry(other, now_s=self.now_s)

    def _serve(self, name: str, process: _Process) -> None:
        self._credit[name] += self.rate_per_s * STEP_S
        while self._credit[name] >= 1.0:
            self._credit[name] -= 1.0
            self.requests.append(self.now_s)
            process.retry_budget.record_request(
                service=SERVICE,
                membership=process.fleet.membership(now_s=self.now_s),
                now_s=self.now_s,
            )
        while self.retrying and self._may_retry(process):
            self.retries.append(self.now_s)

    def _may_retry(self, process: _Process) -> bool:
        return process.retry_budget.try_acquire(
            service=SERVICE,
            membership=process.fleet.membership(now_s=self.now_s),
            now_s=self.now_s,
        )

    def _send_to_cold(self, process: _Process) -> None:
        if not process.fleet.joined(now_s=self.now_s):
            return
        while process.cold_start_limiter.may_send(
            incarnation=COLD_UPSTREAM,
            rate_per_s=COLD_RATE_PER_S,
            entry_names=process.fleet.sharing_names(now_s=self.now_s),
            now_s=self.now_s,
        ):
            process.cold_start_limiter.record_sent(
                incarnation=COLD_UPSTREAM, now_s=self.now_s
            )
            self.cold_requests.append(self.now_s)

    def worst_retry_window(self) -> tuple[float, int, float]:
        """Returns the start, the retries and the limit of the worst window.

        Requests are counted in the window, the one before it or the one half a
        window before it, whichever has most.
        """
        window_s = self.rule.window_s
        worst = (0.0, 0, self.rule.slack)
        for from_s in self.retries:
            retries = _count(self.retries, from_s, window_s)
            requests = max(
                _count(self.requests, from_s - back_s, window_s)
                for back_s in (0.0, window_s / 2, window_s)
            )
            limit = self.rule.ratio * requests + self.rule.slack
            if retries - limit > worst[1] - worst[2]:
                worst = (from_s, retries, limit)
        return worst

    def largest_cold_second(self) -> int:
        """Returns the most requests to the cold upstream in one second."""
        return max(
            _count(self.cold_requests, from_s, 1.0)
            for from_s in self.cold_requests
        )


def _count(times_s: list[float], from_s: float, span_s: float) -> int:
    return sum(from_s <= at_s < from_s + span_s for at_s in times_s)
