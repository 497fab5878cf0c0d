"""What one entry believes of one upstream: load, health, coldness."""

import math
from typing import NamedTuple

# Half-life of what an answer told about other entries' requests. Requests last
# a few tenths of a second, so after a second half of what ran then has ended.
LOAD_HALF_LIFE_S = 1.0
# First pause after an upstream could not be reached, and its limit. An
# upstream that crashes is back after some seconds; one that flaps is asked
# less and less often.
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0
# Weight of the newest sample in running means over answers.
SAMPLE_WEIGHT = 0.15


class UpstreamRecord(NamedTuple):
    """One incarnation of an upstream as service discovery lists it.

    Attributes:
      upstream_id: id of the incarnation; a restart has another.
      service: the service that it runs.
      address: `ip:port`.
      availability_zone: where it stands.
      software_version: version of its software.
      slots: requests that it runs at once.
      draining: whether it is about to stop and takes no new work.
      cold_left_s: how much longer it is slow after its start, in seconds.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    software_version: str
    slots: int
    draining: bool
    cold_left_s: float


class ToldLoad(NamedTuple):
    """The load that an upstream states in an answer."""

    running: int
    waiting: int
    slots: int


class UpstreamState:
    """Load and health of one upstream.

    Attributes:
      record: what service discovery says.
      region: its region.
      in_flight: requests of this entry that it holds now.
      cold_until_s: until when it is cold, on the entry's clock.
    """

    def __init__(self, *, record: UpstreamRecord, region: str) -> None:
        """Starts calm: no load known and nothing against it."""
        self.record = record
        self.region = region
        self.in_flight = 0
        self.cold_until_s = 0.0
        self.gone = False
        self._others = 0.0
        self._told_at_s = -math.inf
        self._paused_until_s = 0.0
        self._pause_s = 0.0
        self._trial_running = False
        self.failure_share = 0.0
        self.slowness = 1.0

    def take_load(self, told: ToldLoad, *, now_s: float) -> None:
        """Takes the load that an answer states.

        The request that was answered may still count as running there, so
        this entry's own requests are taken off, and that one with them.
        """
        busy = told.running + told.waiting
        self._others = max(0.0, float(busy - self.in_flight))
        self._told_at_s = now_s

    def busy(self, *, now_s: float) -> float:
        """Returns how many requests it is believed to hold."""
        age_s = now_s - self._told_at_s
        if age_s > 8 * LOAD_HALF_LIFE_S:
            return float(self.in_flight)
        return self.in_flight + self._others * 0.5 ** (age_s / LOAD_HALF_LIFE_S)

    def load_age_s(self, *, now_s: float) -> float:
        """Returns the age of the last word on its load, in seconds."""
        return now_s - self._told_at_s

    def paused(self, *, now_s: float) -> bool:
        """Whether it is left alone after failures."""
        if now_s < self._paused_until_s:
            return True
        # After a pause one request at a time finds out whether it is back.
        return self._pause_s > 0 and self._trial_running

    def note_unreachable(self, *, now_s: float) -> None:
        """Counts a failure to reach it and starts a pause."""
        self._trial_running = False
        if now_s < self._paused_until_s:
            return
        self._pause_s = min(
            LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * self._pause_s)
        )
        self._paused_until_s = now_s + self._pause_s

    def note_sent(self) -> None:
        """Counts a request that goes to it."""
        self.in_flight += 1
        if self._pause_s > 0:
            self._trial_running = True

    def note_ended(self) -> None:
        """Counts a request that has left it."""
        self.in_flight -= 1
        self._trial_running = False

    def note_answer(self, *, good: bool) -> None:
        """Counts a whole answer, good or its own failure."""
        self._pause_s = 0.0
        sample = 0.0 if good else 1.0
        self.failure_share += SAMPLE_WEIGHT * (sample - self.failure_share)

    def cold(self, *, now_s: float) -> bool:
        """Whether it is believed cold."""
        return now_s < self.cold_until_s
