"""What one entry believes of one upstream: load, health, coldness."""

import math
from typing import NamedTuple

import xxhash

from almondstair.core.others_loads import OthersLoads

# Half-life of what an answer told about other entries' requests. Requests last
# a few tenths of a second, so after a second half of what ran then has ended.
LOAD_HALF_LIFE_S = 1.0
# Weight of the newest sample in running means over answers.
SAMPLE_WEIGHT = 0.2
# Half-life of what failures and slow answers tell. An upstream that is left
# alone for them is tried again after some seconds, with few requests.
MEMORY_HALF_LIFE_S = 4.0
# Bounds of how much slower or faster than its service an upstream is taken to
# be; one outlying sample should not decide for good.
SLOWEST = 12.0
FASTEST = 0.6


class UpstreamRecord(NamedTuple):
    """One incarnation of an upstream as service discovery lists it.

    Attributes:
      upstream_id: its id; an upstream may start again under the one it had.
      service: the service that it runs.
      address: `ip:port`.
      availability_zone: where it stands.
      software_version: version of its software.
      slots: requests that it runs at once.
      draining: whether it is about to stop and takes no new work.
      cold_left_s: how much longer it is slow after its start, in seconds.
      born_ms: time of its start, in milliseconds since 1970; 0 where it does
        not tell.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    software_version: str
    slots: int
    draining: bool
    cold_left_s: float
    born_ms: int = 0

    @property
    def incarnation(self) -> str:
        """Returns a name that no other start of an upstream has."""
        if not self.born_ms:
            return self.upstream_id
        # No id has a space.
        return f"{self.upstream_id} {self.born_ms}"


def incarnation_hash(incarnation: str) -> int:
    """Returns the short name of an incarnation in messages between entries."""
    return xxhash.xxh32_intdigest(incarnation.encode())


class ToldLoad(NamedTuple):
    """The load that an upstream states in an answer."""

    running: int
    waiting: int
    slots: int


class UpstreamState:
    """Load and health of one upstream.

    Attributes:
      record: what service discovery says.
      incarnation: its name as long as it runs.
      name_hash: hash of its incarnation, by which entries call it.
      region: its region.
      in_flight: requests of this entry that it holds now.
      cold_until_s: until when it is cold, on the entry's clock.
      was_unreachable: whether no connection was accepted since the last one
        failed.
      unreachable_at_s: when the first of those failed, on the entry's clock.
    """

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        region: str,
        loads: OthersLoads | None = None,
    ) -> None:
        """Starts calm: nothing against it.

        Args:
          record: what service discovery says.
          region: its region.
          loads: what other entries have at all upstreams.
        """
        self.record = record
        self.incarnation = record.incarnation
        self.name_hash = incarnation_hash(self.incarnation)
        self._loads = loads or OthersLoads()
        self.region = region
        self.in_flight = 0
        self.cold_until_s = 0.0
        self.was_unreachable = False
        self.unreachable_at_s = -math.inf
        self._told_others = 0.0
        self._told_at_s = -math.inf
        self._on_trial = False
        self._trial_running = False
        self._failures = 0.0
        self._slowness_log = 0.0
        self._judged_at_s = 0.0

    # Load.

    @property
    def others(self) -> int:
        """Returns the requests of other entries that it holds, as they tell."""
        return self._loads.at(self.name_hash)

    def take_load(self, told: ToldLoad, *, now_s: float) -> None:
        """Takes the load that an answer states.

        The answered request may still be counted there; it counts here too
        until its answer is handled, so that the difference is others' work.
        """
        busy = told.running + told.waiting
        self._told_others = max(0.0, float(busy - self.in_flight))
        self._told_at_s = now_s

    def busy(self, *, now_s: float, peers_heard: bool) -> float:
        """Returns how many requests it is believed to hold.

        Args:
          now_s: the entry's clock.
          peers_heard: whether every other entry tells what it has there; the
            sum is then nearly exact, and fresher than the last answer.
        """
        known = float(self.in_flight + self.others)
        if peers_heard:
            return known
        age_s = now_s - self._told_at_s
        if age_s > 8 * LOAD_HALF_LIFE_S:
            return known
        others = self._told_others * 0.5 ** (age_s / LOAD_HALF_LIFE_S)
        return max(known, self.in_flight + others)

    def load_age_s(self, *, now_s: float) -> float:
        """Returns the age of its last own word on its load, in seconds."""
        return now_s - self._told_at_s

    # Reachability.

    def paused(self) -> bool:
        """Whether it is left alone after it could not be reached."""
        if self.was_unreachable:
            return True
        # Once it is back, one request at a time finds out whether it works.
        return self._on_trial and self._trial_running

    def note_unreachable(self, *, now_s: float = -math.inf) -> None:
        """Counts a failure to reach it: it gets nothing until it is reached."""
        if not self.was_unreachable:
            self.unreachable_at_s = now_s
        self._trial_running = False
        self._on_trial = True
        self.was_unreachable = True

    def note_reached(self) -> None:
        """It has taken a new connection."""
        self.was_unreachable = False

    def note_sent(self) -> None:
        """Counts a request that goes to it."""
        self.in_flight += 1
        if self._on_trial:
            self._trial_running = True

    def note_ended(self) -> None:
        """Counts a request that has left it."""
        self.in_flight -= 1
        self._trial_running = False

    # What answers show.

    def note_answer(self, *, good: bool, now_s: float) -> None:
        """Counts an answer, good or a failure of its own."""
        self._fade(now_s)
        if good:
            self._on_trial = False
        sample = 0.0 if good else 1.0
        self._failures += SAMPLE_WEIGHT * (sample - self._failures)

    def note_run(
        self, *, run_s: float, expected_s: float, now_s: float
    ) -> None:
        """Compares a run with what its service needs for it.

        A run that was cut off counts with the time that it had.
        """
        self._fade(now_s)
        ratio = run_s / max(expected_s, 0.001)
        sample = math.log(min(SLOWEST, max(FASTEST, ratio)))
        self._slowness_log += SAMPLE_WEIGHT * (sample - self._slowness_log)

    def _fade(self, now_s: float) -> None:
        kept = 0.5 ** (max(0.0, now_s - self._judged_at_s) / MEMORY_HALF_LIFE_S)
        self._failures *= kept
        self._slowness_log *= kept
        self._judged_at_s = now_s

    def failure_share(self, *, now_s: float) -> float:
        """Returns the part of its answers that are failures, 0 to 1."""
        age_s = max(0.0, now_s - self._judged_at_s)
        return self._failures * 0.5 ** (age_s / MEMORY_HALF_LIFE_S)

    def slowness(self, *, now_s: float) -> float:
        """Returns how many times longer than its service it runs requests.

        Operators see it. Requests are not placed by it: a slow upstream has
        more of its slots taken, which says the same sooner, and one that runs
        new objects for a while is not slow.
        """
        age_s = max(0.0, now_s - self._judged_at_s)
        kept = 0.5 ** (age_s / MEMORY_HALF_LIFE_S)
        return math.exp(self._slowness_log * kept)

    def cold(self, *, now_s: float) -> bool:
        """Whether it is believed cold."""
        return now_s < self.cold_until_s
