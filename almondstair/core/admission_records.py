"""What admission says of requests, upstreams and services."""

import enum
from typing import NamedTuple

from almondstair.core.slot_book import Ticket
from almondstair.errors import ErrorKind


class Outcome(enum.StrEnum):
    """How a request at an upstream ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class Admission(NamedTuple):
    """A slot taken for one request.

    Attributes:
      ticket: in the book of slots.
      upstream: where it is.
      service: what the request is for.
      admitted_s: when it was taken.
      still_s: time for which this entry had stood still by then.
    """

    ticket: Ticket
    upstream: str
    service: str
    admitted_s: float
    still_s: float


class Refusal(NamedTuple):
    """No slot now.

    Attributes:
      kind: why.
      retry_after_ms: when coming back helps.
    """

    kind: ErrorKind
    retry_after_ms: int


class UpstreamReport(NamedTuple):
    """What an upstream says of itself, on an answer or to a probe."""

    slots: int
    busy: int
    draining: bool


class UpstreamStatus(NamedTuple):
    """One upstream as operators see it.

    Attributes:
      name: its name.
      allowed_slots: what the home protocol allows this entry.
      usable_slots: what slow start allows.
      in_flight: requests of this entry.
      busy_elsewhere: slots held for other entries' work.
      leaving: whether it gets new work.
      report_age_s: age of its last report, None if there was none.
    """

    name: str
    allowed_slots: int
    usable_slots: int
    in_flight: int
    busy_elsewhere: int
    leaving: bool
    report_age_s: float | None


class ServiceRoom(NamedTuple):
    """Slots of one service at the upstreams that this entry has a duty at.

    Attributes:
      usable: slots that this entry may fill.
      free: those of them that interactive work could take now.
    """

    usable: int
    free: int
