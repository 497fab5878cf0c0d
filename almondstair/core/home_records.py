"""What entries tell each other of homes, and what a duty allows."""

from typing import NamedTuple

from almondstair.core.model import Configuration


class HomedUpstream(NamedTuple):
    """What the home protocol needs to know of an upstream.

    Attributes:
      name: its name.
      region: its region.
      slots: requests that it runs at once.
      longest_deadline_s: longest deadline of any class that it runs.
    """

    name: str
    region: str
    slots: int
    longest_deadline_s: float


class Duty(NamedTuple):
    """What this entry may do at an upstream now.

    Attributes:
      allowed_slots: most requests at once, `busy_until_s` included; 0 when
        this entry may not dispatch to it at all.
      long_slots: most of them that may last longer than the reserve allows.
      reserve_only: whether this entry acts as successor, with short work only;
        then just its own reserve requests count against `allowed_slots`.
      busy_until_s: one time for each slot taken by another entry's work.
    """

    allowed_slots: int
    long_slots: int = 0
    reserve_only: bool = False
    busy_until_s: tuple[float, ...] = ()


NO_DUTY = Duty(allowed_slots=0)


class HeldRecord(NamedTuple):
    """What a former holder tells the home of the epoch about one upstream.

    Attributes:
      upstream: its name.
      held_epoch: last epoch in which the sender held the duty.
      busy_left_s: for each slot that may still be taken, the seconds until it
        is surely free.
    """

    upstream: str
    held_epoch: int
    busy_left_s: tuple[float, ...]


class HomesReport(NamedTuple):
    """What one entry tells another of its region with each heartbeat.

    Attributes:
      entry: the sender.
      incarnation: its incarnation.
      epoch: epoch of the table that it has applied.
      sent_s: its own clock at sending; only the sender ever compares it.
      settled: whether it has nothing left of reserve duties of older epochs.
      echo_incarnation: incarnation of the receiver whose report is echoed.
      echo_sent_s: `sent_s` of the receiver's last report, or None while the
        sender has work in a reserve slot of the receiver.
      records: duties that the sender held and whose home is the receiver.
    """

    entry: str
    incarnation: str
    epoch: int
    sent_s: float
    settled: bool
    echo_incarnation: str = ""
    echo_sent_s: float | None = None
    records: tuple[HeldRecord, ...] = ()


def homed_upstreams(
    *, configuration: Configuration
) -> tuple[HomedUpstream, ...]:
    """Returns the upstreams of a configuration as the protocol needs them."""
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
