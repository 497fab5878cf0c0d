"""Tracking of the requests that this entry has in flight at upstreams.

Admission writes the records; the home protocol reads them to report to other
entries how many slots are still taken and for how long.
"""

from typing import NamedTuple


class Ticket(NamedTuple):
    """Holds one request in flight; times are monotonic, in seconds.

    Attributes:
      number: identifier, unique within the process.
      upstream: name of the upstream that runs it.
      service: name of the service.
      started_s: when it took its slot.
      until_s: when its slot is certainly free, margin included.
      reserve: whether this entry started it as successor, in the reserve slot.
    """

    number: int
    upstream: str
    service: str
    started_s: float
    until_s: float
    reserve: bool


class SlotTracker:
    """Counts exactly the slots that this entry's requests take."""

    def __init__(self, *, margin_s: float) -> None:
        """Starts without requests.

        Args:
          margin_s: how long after a request's deadline its upstream may take
            to free the slot, in seconds.
        """
        self.margin_s = margin_s
        self._tickets: dict[str, dict[int, Ticket]] = {}
        self._next_number = 0

    def add(
        self,
        *,
        upstream: str,
        service: str,
        now_s: float,
        deadline_s: float,
        reserve: bool,
    ) -> Ticket:
        """Adds a request and returns its ticket."""
        self._next_number += 1
        ticket = Ticket(
            self._next_number,
            upstream,
            service,
            now_s,
            deadline_s + self.margin_s,
            reserve,
        )
        self._tickets.setdefault(upstream, {})[ticket.number] = ticket
        return ticket

    def remove(self, *, ticket: Ticket) -> None:
        """Removes a request; does nothing if it is not present."""
        self._tickets.get(ticket.upstream, {}).pop(ticket.number, None)

    def expire(self, *, upstream: str, now_s: float) -> None:
        """Removes the requests of an upstream that are certainly over."""
        for ticket in self.in_flight(upstream=upstream):
            if ticket.until_s <= now_s:
                self.remove(ticket=ticket)

    def in_flight(self, *, upstream: str) -> tuple[Ticket, ...]:
        """Returns the requests in flight at an upstream."""
        return tuple(self._tickets.get(upstream, {}).values())

    def upstreams(self) -> tuple[str, ...]:
        """Returns the upstreams with a request in flight."""
        names = []
        for name, tickets in self._tickets.items():
            if tickets:
                names.append(name)
        return tuple(names)
