"""Results of admission, and reports on upstreams and services."""

import enum
from typing import NamedTuple

from almondstair.core.slot_tracker import Ticket
from almondstair.errors import ErrorKind


class Outcome(enum.StrEnum):
    """How a request at an upstream ended."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


class Admission(NamedTuple):
    """Holds a slot taken for one request.

    Attributes:
      ticket: the request's ticket among those in flight.
      upstream: name of the upstream.
      service: name of the service.
      admitted_s: monotonic time at which the slot was taken, in seconds.
      stall_s: total time for which this entry's event loop had stalled by then,
        in seconds.
    """

    ticket: Ticket
    upstream: str
    service: str
    admitted_s: float
    stall_s: float


class Refusal(NamedTuple):
    """States why no slot was granted, and when to retry.

    Attributes:
      kind: the reason.
      retry_after_ms: milliseconds after which a retry may succeed.
    """

    kind: ErrorKind
    retry_after_ms: int


class UpstreamReport(NamedTuple):
    """Holds an upstream's load report, from a response or a probe."""

    slots: int
    busy: int
    draining: bool


class UpstreamStatus(NamedTuple):
    """Holds the state of one upstream as shown to operators.

    Attributes:
      name: name of the upstream.
      allowed_slots: slots that the home protocol allows this entry.
      usable_slots: slots that slow start allows.
      in_flight: requests of this entry in flight.
      busy_elsewhere: slots held for other entries' work.
      leaving: whether it is leaving and gets no new work.
      report_age_s: age of its last load report in seconds, None if it sent
        none.
    """

    name: str
    allowed_slots: int
    usable_slots: int
    in_flight: int
    busy_elsewhere: int
    leaving: bool
    report_age_s: float | None


class ServiceCapacity(NamedTuple):
    """Counts the slots of one service that this entry may use.

    Attributes:
      usable: slots that this entry may fill.
      free: how many of them interactive work could take now.
    """

    usable: int
    free: int
