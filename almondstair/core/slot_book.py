"""The book of requests that this entry has running at upstreams.

The admission writes it; the home protocol reads it, to tell another entry how
many slots are still taken and for how long.
"""

from typing import NamedTuple


class Ticket(NamedTuple):
    """One request in flight.

    Attributes:
      number: unique within the process.
      upstream: where it runs.
      service: the service that it is for.
      started_s: when it took its slot.
      until_s: when its slot is surely free, with the margin added.
      reserve: whether it was started as successor, in the reserve slot.
    """

    number: int
    upstream: str
    service: str
    started_s: float
    until_s: float
    reserve: bool


class SlotBook:
    """Exact account of the slots that this entry's requests take."""

    def __init__(self, *, margin_s: float) -> None:
        """Makes an empty book.

        Args:
          margin_s: how long after its deadline an upstream may take to free
            the slot of a request.
        """
        self.margin_s = margin_s
        self._tickets: dict[str, dict[int, Ticket]] = {}
        self._next_number = 0

    def start(
        self,
        *,
        upstream: str,
        service: str,
        now_s: float,
        deadline_s: float,
        reserve: bool,
    ) -> Ticket:
        """Enters a request and returns its ticket."""
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

    def end(self, *, ticket: Ticket) -> None:
        """Strikes out a request; does nothing if it is out already."""
        self._tickets.get(ticket.upstream, {}).pop(ticket.number, None)

    def expire(self, *, upstream: str, now_s: float) -> None:
        """Strikes out the requests of an upstream that are surely over."""
        for ticket in self.running(upstream=upstream):
            if ticket.until_s <= now_s:
                self.end(ticket=ticket)

    def running(self, *, upstream: str) -> tuple[Ticket, ...]:
        """Returns the requests in flight at an upstream."""
        return tuple(self._tickets.get(upstream, {}).values())

    def upstreams(self) -> tuple[str, ...]:
        """Returns the upstreams with a request in flight."""
        names = []
        for name, tickets in self._tickets.items():
            if tickets:
                names.append(name)
        return tuple(names)
