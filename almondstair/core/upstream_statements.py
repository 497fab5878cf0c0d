"""What an upstream says of itself in the head of a response."""

from typing import NamedTuple


class ReportedLoad(NamedTuple):
    """Holds the load that an upstream reports in a response.

    Attributes:
      running: requests that it runs.
      waiting: requests in its queue.
      slots: requests that it can run at once.
      run_time_percent: current run time of work on its machine, in percent of
        the usual; None if unknown.
    """

    running: int
    waiting: int
    slots: int
    run_time_percent: int | None = None


class UnreadableValue(NamedTuple):
    """A header of a response whose value has no meaning.

    Attributes:
      header: its name.
      values: how often the response has it.
      value: its first value, shortened.
    """

    header: str
    values: int
    value: str


class UpstreamStatement(NamedTuple):
    """What the head of a response says of the upstream that sent it.

    Attributes:
      upstream_id: id of the upstream, empty if the response does not tell.
      load: its load; None if unknown.
      cold_left_s: how long it stays cold, in seconds; None if unknown.
      states_limit: whether `rate_per_s` counts; an unreadable limit changes
        nothing.
      rate_per_s: requests per second that it accepts from all entries; None
        for no limit.
      is_leaving: whether it stops soon and wants no new requests.
      rest_s: how long it wants no requests from this entry, in seconds; 0 if it
        does not ask for a rest.
      unreadable: headers whose values were ignored.
    """

    upstream_id: str = ""
    load: ReportedLoad | None = None
    cold_left_s: float | None = None
    states_limit: bool = True
    rate_per_s: float | None = None
    is_leaving: bool = False
    rest_s: float = 0.0
    unreadable: tuple[UnreadableValue, ...] = ()
