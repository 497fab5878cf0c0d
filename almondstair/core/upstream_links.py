"""Tells whether an entry's own links to upstreams work.

A failed connection looks the same whether the upstream has ended or the entry
is partitioned from it. After one, the entry probes a few other upstreams. If
any of them answers, or any response arrives meanwhile, only that upstream is
unreachable. If none does, the entry is partitioned from all upstreams, and what
it sees of them is no evidence of their state.
"""

import enum
import math
from typing import NamedTuple

# A check that is not over by then counts as a partition for new requests, which
# would otherwise wait for connections that do not open.
SETTLE_S = 0.05


class LinkState(enum.StrEnum):
    """State of an entry's links to upstreams.

    Attributes:
      WORKING: at least one upstream is reachable.
      CHECKING: a link has failed, and others are being probed.
      PARTITIONED: no upstream that was probed is reachable.
    """

    WORKING = "working"
    CHECKING = "checking"
    PARTITIONED = "partitioned"


class Partition(NamedTuple):
    """Describes a partition from all upstreams.

    Attributes:
      since_s: when the first failure was noticed, on the entry's clock.
      cause: how it was noticed.
      probed: ids of the upstreams that did not answer a probe.
      is_silent: whether no open connection delivers anything either.
    """

    since_s: float
    cause: str
    probed: tuple[str, ...]
    is_silent: bool


class UpstreamLinks:
    """Holds the state of one entry's links to upstreams.

    Attributes:
      state: the current state.
      partition: the current partition, if there is one.
      failed_since_s: when the failure began that is being checked, on the
        entry's clock, in seconds.
    """

    def __init__(self) -> None:
        """Starts with working links."""
        self.state = LinkState.WORKING
        self.partition: Partition | None = None
        self._checked_since_s = math.inf
        self.failed_since_s = math.inf
        self._cause = ""
        self._suspect = 0
        self._last_received_s = -math.inf

    @property
    def is_partitioned(self) -> bool:
        """Whether the entry is known to reach no upstream."""
        return self.state is LinkState.PARTITIONED

    @property
    def last_received_s(self) -> float:
        """Returns when a part of a response last arrived, in seconds."""
        return self._last_received_s

    def are_usable(self, *, now_s: float) -> bool:
        """Returns whether requests should be sent over the own links."""
        if self.state is LinkState.CHECKING:
            return now_s - self._checked_since_s < SETTLE_S
        return self.state is LinkState.WORKING

    def record_received(self, upstream_hash: int, *, now_s: float) -> None:
        """Records that a part of a response arrived.

        Args:
          upstream_hash: hash of the upstream's incarnation.
          now_s: the entry's clock, in seconds.
        """
        self._last_received_s = now_s
        if self.state is LinkState.CHECKING and upstream_hash != self._suspect:
            self.state = LinkState.WORKING

    def begin_check(
        self, *, suspect: int, cause: str, since_s: float, now_s: float
    ) -> bool:
        """Begins a check of the links; returns whether one is needed.

        Args:
          suspect: hash of the upstream that was found unreachable, 0 if the
            check has another reason.
          cause: the reason, for logs.
          since_s: when the failure began, on the entry's clock, in seconds.
          now_s: the entry's clock, in seconds.
        """
        if self.state is not LinkState.WORKING:
            return False
        self.state = LinkState.CHECKING
        self._suspect = suspect
        self._cause = cause
        self._checked_since_s = now_s
        self.failed_since_s = since_s
        return True

    def end_check(self, *, reachable: bool, probed: tuple[str, ...]) -> bool:
        """Ends a check; returns whether it found a partition.

        Args:
          reachable: whether any upstream answered.
          probed: ids of the upstreams that were probed.
        """
        if self.state is not LinkState.CHECKING:
            return False
        if reachable:
            self.state = LinkState.WORKING
            return False
        self.state = LinkState.PARTITIONED
        self.partition = Partition(
            since_s=self.failed_since_s,
            cause=self._cause,
            probed=probed,
            is_silent=self._last_received_s < self.failed_since_s,
        )
        return True

    def end_partition(self) -> Partition | None:
        """Ends the partition, as an upstream has answered; returns it."""
        ended = self.partition
        self.partition = None
        self.state = LinkState.WORKING
        return ended
