"""An entry's view of one upstream: load, health and cold state."""

import enum
import math
from typing import NamedTuple

import xxhash

from almondstair.core.peer_loads import PeerLoads
from almondstair.core.upstream_rests import UpstreamRest
from almondstair.core.upstream_speed import UpstreamSpeed
from almondstair.core.upstream_statements import ReportedLoad

# Half-life of the number of other entries' requests that a response reported.
# Requests last a few tenths of a second, so half of them have ended after one
# second.
LOAD_HALF_LIFE_S = 1.0
# Weight of the newest sample in running means over responses.
SAMPLE_WEIGHT = 0.2
# Half-life of the effect of failures and slow responses. An upstream that is
# avoided because of them gets a few requests again after some seconds.
HEALTH_HALF_LIFE_S = 4.0
# Age of a registration after which its upstream may have ended. Upstreams renew
# theirs about every 1.5 s, and one lapses after three missed renewals.
RENEWED_S = 4.0
# Time after a failed connection in which its upstream is due to renew.
RENEWAL_WAIT_S = 3.0
# Longest time from the writing of a registration until it is read.
RENEWAL_DELAY_S = 1.0
# Limits of a sample of an upstream's run time relative to its service, so that
# a single outlier does not dominate the mean.
MAX_SLOWNESS = 12.0
MIN_SLOWNESS = 0.6
_HASH_RANGE = 1 << 32


class UpstreamRecord(NamedTuple):
    """Holds one incarnation of an upstream as service discovery lists it.

    Attributes:
      upstream_id: its id, which an upstream may keep when it restarts.
      service: the service that it runs.
      address: `ip:port`.
      availability_zone: its availability zone.
      software_version: version of its software.
      slots: requests that it runs at once.
      draining: whether it is about to stop and accepts no new requests.
      cold_left_s: remaining time for which it is cold after its start, in
        seconds.
      started_ms: time of its start, in milliseconds since 1970; 0 if unknown.
      sequence: number of its writes of the registration; 0 if unknown.
    """

    upstream_id: str
    service: str
    address: str
    availability_zone: str
    software_version: str
    slots: int
    draining: bool
    cold_left_s: float
    started_ms: int = 0
    sequence: int = 0

    @property
    def incarnation(self) -> str:
        """Returns a name that is unique to this start of the upstream."""
        if not self.started_ms:
            return self.upstream_id
        # Ids contain no spaces.
        return f"{self.upstream_id} {self.started_ms}"


def incarnation_hash(incarnation: str) -> int:
    """Returns the hash that identifies an incarnation between entries."""
    return xxhash.xxh32_intdigest(incarnation.encode())


class LeavingSource(enum.StrEnum):
    """Names what told an entry first that an upstream leaves."""

    REGISTRATION = "registration"
    RESPONSE = "response"
    PEER = "peer"


class UpstreamState:
    """Tracks the load and health of one upstream.

    Attributes:
      record: its registration.
      incarnation: name of its incarnation.
      name_hash: hash of its incarnation, as used between entries.
      region: its region.
      in_flight: requests of this entry that are in flight to it.
      cold_until_s: until when it is cold, on the entry's clock, in seconds.
      is_unreachable: whether it has accepted no connection since the last
        failed one.
      unreachable_at_s: time of the first of those failures, on the entry's
        clock, in seconds.
      renewed_at_s: when its registration was last read as renewed, on the
        entry's clock, in seconds.
      leaving_source: what told first that it is leaving; None if it is not.
      registered_as_leaving: whether its registration says so.
      rest: the rest that it asked for last.
      speed: the speed that it stated last; it affects no placement.
    """

    def __init__(
        self,
        *,
        record: UpstreamRecord,
        region: str,
        peer_loads: PeerLoads | None = None,
    ) -> None:
        """Starts without load or failures.

        Args:
          record: its registration.
          region: its region.
          peer_loads: requests of other entries at all upstreams.
        """
        self.record = record
        self.incarnation = record.incarnation
        self.name_hash = incarnation_hash(self.incarnation)
        self._peer_loads = peer_loads or PeerLoads()
        self.region = region
        self.in_flight = 0
        self.cold_until_s = 0.0
        self.is_unreachable = False
        self.unreachable_at_s = -math.inf
        self.renewed_at_s = -math.inf
        self.leaving_source: LeavingSource | None = None
        self.registered_as_leaving = False
        self.rest = UpstreamRest()
        self.speed = UpstreamSpeed()
        self._reported_peer_requests = 0.0
        self._reported_at_s = -math.inf
        self._on_probation = False
        self._probe_running = False
        self._failures = 0.0
        self._slowness_log = 0.0
        self._decayed_at_s = 0.0

    # Load.

    @property
    def is_leaving(self) -> bool:
        """Returns whether it gets no new requests because it stops soon."""
        return self.record.draining

    @property
    def peer_requests(self) -> int:
        """Returns the number of requests that other entries report for it."""
        return self._peer_loads.requests_at(self.name_hash)

    def apply_load(
        self, reported: ReportedLoad, *, answered_requests: int, now_s: float
    ) -> None:
        """Applies the load that a response reports.

        The difference to the requests of this entry is the load of others.

        Args:
          reported: the load.
          answered_requests: requests in flight that the response answers, which
            the upstream does not count.
          now_s: the entry's clock, in seconds.
        """
        busy = reported.running + reported.waiting
        own = self.in_flight - answered_requests
        self._reported_peer_requests = max(0.0, float(busy - own))
        self._reported_at_s = now_s

    def estimated_load(
        self, *, now_s: float, peer_loads_complete: bool
    ) -> float:
        """Returns the estimated number of requests that it holds.

        Args:
          now_s: the entry's clock, in seconds.
          peer_loads_complete: whether every other entry reports its load there;
            the sum is then nearly exact, and newer than the last response.
        """
        reported = float(self.in_flight + self.peer_requests)
        if peer_loads_complete:
            return reported
        age_s = now_s - self._reported_at_s
        if age_s > 8 * LOAD_HALF_LIFE_S:
            return reported
        peer_requests = self._reported_peer_requests * 0.5 ** (
            age_s / LOAD_HALF_LIFE_S
        )
        return max(reported, self.in_flight + peer_requests)

    def load_falls_s(self, *, most_requests: float) -> float:
        """Returns when its estimated load falls to a number by time alone.

        It applies while the loads of other entries are not complete; the
        requests that a response stated fade then.

        Args:
          most_requests: the number of requests.

        Returns:
          The time on the entry's clock, in seconds; infinite if it does not
          fall that far.
        """
        stated = self._reported_peer_requests
        left = most_requests - self.in_flight
        if stated <= 0 or left < 0 or self.peer_requests > left:
            return math.inf
        faded_s = self._reported_at_s + 8 * LOAD_HALF_LIFE_S
        if left <= 0:
            return faded_s
        falls_s = self._reported_at_s + LOAD_HALF_LIFE_S * math.log2(
            stated / left
        )
        return min(faded_s, falls_s)

    def is_share_used(
        self, *, most_requests: float, entries: float, seed: int
    ) -> bool:
        """Returns whether this entry has used its share of the free slots.

        All entries learn of a free slot at the same time, from a report that is
        up to a second old. Each one may add its share of what that report shows
        as free, and replaces its own requests that have ended since. A part of
        a slot is rounded by a hash, so that the shares of all entries sum to
        the free slots.

        Args:
          most_requests: requests that it may hold.
          entries: number of entries that share its slots; a part of one
            counts.
          seed: number that differs between entries.
        """
        reported_own = self._peer_loads.own_requests_at(self.name_hash)
        free = most_requests - self.peer_requests - reported_own
        text = f"{seed} {self.name_hash} {self._peer_loads.version}"
        part = xxhash.xxh32_intdigest(text.encode()) / _HASH_RANGE
        share = math.floor(free / entries + part)
        return self.in_flight + 1 - reported_own > share

    def load_age_s(self, *, now_s: float) -> float:
        """Returns the age of the load that it last reported, in seconds."""
        return now_s - self._reported_at_s

    # Reachability.

    def is_paused(self) -> bool:
        """Returns whether it gets no requests because it was unreachable."""
        if self.is_unreachable:
            return True
        # After it is reachable again, one request at a time probes it.
        return self._on_probation and self._probe_running

    def record_unreachable(self, *, now_s: float = -math.inf) -> None:
        """Records a failed connection; it is paused until one is accepted."""
        if not self.is_unreachable:
            self.unreachable_at_s = now_s
        self._probe_running = False
        self._on_probation = True
        self.is_unreachable = True

    def record_reached(self) -> None:
        """Records that it accepted a new connection."""
        self.is_unreachable = False

    def restore_reachability(self) -> None:
        """Forgets failures that were this entry's own partition.

        It stays on probation, so that not all waiting requests are sent at
        once.
        """
        if self.is_unreachable:
            self.is_unreachable = False
            self._on_probation = True
        self._failures = 0.0

    def is_renewed(self, *, now_s: float) -> bool:
        """Returns whether its registration was renewed lately."""
        return now_s - self.renewed_at_s < RENEWED_S

    def is_alive_since_unreachable(self) -> bool:
        """Returns whether it renewed its registration while unreachable."""
        if math.isinf(self.unreachable_at_s):
            # Since when it is unreachable is not known.
            return False
        return self.renewed_at_s > self.unreachable_at_s + RENEWAL_DELAY_S

    def is_alive_elsewhere(self, *, now_s: float) -> bool:
        """Returns whether others may reach it although this entry does not.

        They do if they have requests there, or if it has written to the store
        since. Until it is due to write, it counts as alive.
        """
        if self.peer_requests or self.is_alive_since_unreachable():
            return True
        return now_s - self.unreachable_at_s < RENEWAL_WAIT_S

    def record_sent(self, *, now_s: float) -> None:
        """Counts a request that is sent to it."""
        self.in_flight += 1
        self.rest.record_sent(now_s=now_s)
        if self._on_probation:
            self._probe_running = True

    def record_ended(self) -> None:
        """Counts a request that has ended."""
        self.in_flight -= 1
        self._probe_running = False

    # Failures and run times.

    def record_response(self, *, good: bool, now_s: float) -> None:
        """Counts a response as a success or as a failure of the upstream."""
        self._decay(now_s)
        self.rest.record_response(
            good=good, slots=self.record.slots, now_s=now_s
        )
        if good:
            self._on_probation = False
        sample = 0.0 if good else 1.0
        self._failures += SAMPLE_WEIGHT * (sample - self._failures)

    def record_run(
        self, *, run_s: float, expected_s: float, now_s: float
    ) -> None:
        """Compares a run time with the one expected for its service.

        A run that was aborted counts with its time until then.
        """
        self._decay(now_s)
        ratio = run_s / max(expected_s, 0.001)
        sample = math.log(min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio)))
        self._slowness_log += SAMPLE_WEIGHT * (sample - self._slowness_log)

    def _decay(self, now_s: float) -> None:
        factor = 0.5 ** (
            max(0.0, now_s - self._decayed_at_s) / HEALTH_HALF_LIFE_S
        )
        self._failures *= factor
        self._slowness_log *= factor
        self._decayed_at_s = now_s

    def failure_share(self, *, now_s: float) -> float:
        """Returns the share of failures among its responses, 0 to 1."""
        age_s = max(0.0, now_s - self._decayed_at_s)
        return self._failures * 0.5 ** (age_s / HEALTH_HALF_LIFE_S)

    def slowness(self, *, now_s: float) -> float:
        """Returns its run time as a multiple of its service's.

        It is shown to operators. It does not affect placement: a slow upstream
        has more of its slots in use, which shows sooner, and one that runs
        uncached objects for a while is not slow.
        """
        age_s = max(0.0, now_s - self._decayed_at_s)
        factor = 0.5 ** (age_s / HEALTH_HALF_LIFE_S)
        return math.exp(self._slowness_log * factor)

    def is_cold(self, *, now_s: float) -> bool:
        """Returns whether it is considered cold."""
        return now_s < self.cold_until_s
