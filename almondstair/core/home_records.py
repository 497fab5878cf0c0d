"""Records of the home protocol: reports between entries and slot rights."""

from typing import NamedTuple

from almondstair.core.model import Configuration


class HomedUpstream(NamedTuple):
    """Holds the properties of an upstream that the home protocol uses.

    Attributes:
      name: its name.
      region: its region.
      slots: how many requests it runs at once.
      longest_deadline_s: longest deadline of any request class that it runs.
    """

    name: str
    region: str
    slots: int
    longest_deadline_s: float


class DispatchRights(NamedTuple):
    """Holds which slots of an upstream this entry may use now.

    Attributes:
      allowed_slots: maximum of requests at once, `busy_until_s` included; 0 if
        this entry may not dispatch to the upstream at all.
      long_slots: how many of them may last longer than the reserve allows.
      reserve_only: whether this entry acts as successor, with short work only;
        then only its own reserve requests count against `allowed_slots`.
      busy_until_s: one monotonic time for each slot that another entry's work
        takes.
    """

    allowed_slots: int
    long_slots: int = 0
    reserve_only: bool = False
    busy_until_s: tuple[float, ...] = ()


NO_RIGHTS = DispatchRights(allowed_slots=0)


class HandoverRecord(NamedTuple):
    """Hands one upstream over from a former home to the home of the epoch.

    Attributes:
      upstream: name of the upstream.
      held_epoch: last epoch in which the sender held the role.
      busy_remaining_s: for each slot that may still be taken, the seconds until
        it is certainly free.
    """

    upstream: str
    held_epoch: int
    busy_remaining_s: tuple[float, ...]


class HomesReport(NamedTuple):
    """Holds the report that an entry sends a peer of its region.

    It goes out with each heartbeat.

    Attributes:
      entry: the sender.
      incarnation: the sender's incarnation.
      epoch: epoch of the table that the sender has applied.
      sent_s: monotonic time of sending by the sender's clock; receivers use it
        only to order and to echo the sender's reports.
      settled: whether the sender has no reserve work of older epochs left.
      echo_incarnation: incarnation of the receiver whose report is echoed.
      echo_sent_s: `sent_s` of the receiver's last report, or None while the
        sender has work in a reserve slot of the receiver.
      records: roles that the sender held and whose home is now the receiver.
    """

    entry: str
    incarnation: str
    epoch: int
    sent_s: float
    settled: bool
    echo_incarnation: str = ""
    echo_sent_s: float | None = None
    records: tuple[HandoverRecord, ...] = ()


def homed_upstreams(
    *, configuration: Configuration
) -> tuple[HomedUpstream, ...]:
    """Returns a configuration's upstreams in the form the protocol uses."""
    homed = []
    for name, upstream in configuration.upstreams.items():
        region = configuration.region_of(
            availability_zone=upstream.availability_zone
        )
        if region is None:
            continue
        longest_ms = 0
        for service in upstream.services:
            for request_class in configuration.services[service].classes:
                longest_ms = max(longest_ms, request_class.deadline_ms)
        homed.append(
            HomedUpstream(name, region, upstream.slots, longest_ms / 1000)
        )
    return tuple(homed)
