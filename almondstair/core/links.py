"""Share of one link that one entry may use, in one direction.

A link runs from an availability zone to a region and has a cap in bytes per
second. The entries of the zone divide it without a leader. Each has an
*allowance*: the cap divided by the entries of the zone in the entry table. It
may use its allowance, less what it lent, plus what it borrowed. The sum of
these over all entries never exceeds the cap, in any window of one second:

* Rate and depth of the token bucket together stay within the allowance of a
  window, so stored tokens are part of the cap and not an addition to it.
* An allowance shrinks as soon as a new epoch of the table is known, and grows
  only after every other entry of the table has acknowledged that epoch.
* A process starts without an allowance. It gets one from a table that it has
  read from the platform since its start, and not before all loans of an earlier
  process of its name have ended.
* Loans follow the rules of `almondstair.core.loans`.

These rules don't cover a process that is frozen between `acquire` and the write
to the socket: it sends that chunk late. Callers call `acquire` for each chunk,
so this is at most one chunk for each request in flight.
"""

from typing import NamedTuple

from almondstair.core.loans import BorrowedLoans
from almondstair.core.loans import LentLoans
from almondstair.core.loans import Loan
from almondstair.core.loans import LoanRequest
from almondstair.core.loans import LoanTiming
from almondstair.core.token_bucket import TokenBucket

WINDOW_S = 1.0
# Fraction of a window's share that may be stored and spent in one burst. The
# rest is the rate, so steady load cannot use this part of the cap.
DEPTH_FRACTION = 0.04
# Fraction of its allowance that a lender keeps for its own requests.
OWN_USE_FRACTION = 0.05
# Headroom over the measured use that an entry keeps or asks for.
HEADROOM_FACTOR = 1.25
# Peers asked for a loan in one round, besides current lenders. Bounds the
# number of messages in a zone of many entries.
PEERS_PER_ROUND = 4
# Bounds a returned wait, since a loan may arrive in the meantime.
MAX_WAIT_S = 0.05
MIN_WAIT_S = 0.001
# Use measured over a shorter time is too noisy.
METER_INTERVAL_S = 0.1
METER_SMOOTHING_S = 1.0


class PartialGrant(NamedTuple):
    """Holds how much of a chunk may be sent now.

    Attributes:
      size_bytes: bytes that may be sent now; may be 0.
      wait_s: seconds to wait before the next call, if nothing may be sent.
    """

    size_bytes: int
    wait_s: float


class LinkStatus(NamedTuple):
    """Holds the state of a share for metrics, heartbeats and operators.

    Attributes:
      epoch: epoch of the entry table in use.
      acknowledged_epoch: epoch that peers may rely on.
      allowance_bytes_per_s: this entry's part of the cap.
      lent_bytes_per_s: share lent to peers.
      borrowed_bytes_per_s: share borrowed from peers.
      used_bytes_per_s: measured use, smoothed over about a second.
      busy: whether something had to wait within the last loan term.
    """

    epoch: int
    acknowledged_epoch: int
    allowance_bytes_per_s: int
    lent_bytes_per_s: int
    borrowed_bytes_per_s: int
    used_bytes_per_s: int
    busy: bool


class _Meter:
    """Measures the use of the link, smoothed over about a second."""

    def __init__(self, *, now_s: float) -> None:
        self._sent_bytes = 0
        self._since_s = now_s
        self._used_bytes_per_s = 0.0

    def add(self, size_bytes: int) -> None:
        """Counts bytes that were sent."""
        self._sent_bytes += size_bytes

    def used_bytes_per_s(self, *, now_s: float) -> float:
        """Returns the smoothed use in bytes per second."""
        elapsed_s = now_s - self._since_s
        if elapsed_s < METER_INTERVAL_S:
            return self._used_bytes_per_s
        latest = self._sent_bytes / elapsed_s
        weight = min(1.0, elapsed_s / METER_SMOOTHING_S)
        self._used_bytes_per_s += (latest - self._used_bytes_per_s) * weight
        self._sent_bytes = 0
        self._since_s = now_s
        return self._used_bytes_per_s


class LinkShare:
    """One entry's share of one link in one direction.

    Every method needs the current monotonic time, read for that call.
    """

    def __init__(
        self,
        *,
        link: str,
        entry_name: str,
        incarnation: int,
        cap_bytes_per_s: int,
        now_s: float,
        timing: LoanTiming | None = None,
    ) -> None:
        """Creates a share without an allowance.

        Args:
          link: name of the link and direction, the same on every entry.
          entry_name: this entry.
          incarnation: number of this process, different at each start.
          cap_bytes_per_s: cap of the link.
          now_s: monotonic time in seconds at the start of the process.
          timing: durations of loans; the same on every entry.
        """
        self._link = link
        self._entry_name = entry_name
        self._incarnation = incarnation
        self._cap_bytes_per_s = cap_bytes_per_s
        self._timing = timing or LoanTiming()
        # An earlier process of this name may have lent its allowance and died.
        # Its borrowers use the loans until their terms end. If this process
        # used the allowance at once, the same bytes would be used twice.
        self._no_allowance_until_s = now_s + self._timing.lender_term_s
        self._epoch = 0
        self._entries: tuple[str, ...] = ()
        self._has_platform_table = False
        self._released = False
        self._peer_epochs: dict[str, int] = {}
        self._acknowledged_epoch = 0
        self._allowance_bytes_per_s = 0
        self._lent = LentLoans(timing=self._timing)
        self._borrowed = BorrowedLoans(timing=self._timing)
        self._bucket = TokenBucket(now_s=now_s)
        self._meter = _Meter(now_s=now_s)
        self._last_wait_s = float("-inf")
        self._last_round_s = float("-inf")
        self._next_peer = 0
        self._next_change_s = self._no_allowance_until_s

    @property
    def link(self) -> str:
        """Name of the link and direction."""
        return self._link

    @property
    def max_acquire_bytes(self) -> int:
        """The largest size for which `acquire` can succeed at present."""
        return int(self._bucket.depth_bytes)

    # Sending.

    def acquire(self, *, size_bytes: int, now_s: float) -> float:
        """Takes the tokens for a chunk that cannot be divided.

        Args:
          size_bytes: size of the chunk.
          now_s: monotonic time in seconds.

        Returns:
          0.0 if the tokens were taken and the chunk may be sent now, else the
          seconds to wait before the next call. A chunk above
          `max_acquire_bytes` never succeeds; use `acquire_part` for it.
        """
        self._advance(now_s=now_s)
        if self._bucket.acquire(size_bytes=size_bytes, now_s=now_s):
            self._meter.add(size_bytes)
            return 0.0
        self._last_wait_s = now_s
        return self._wait_s(size_bytes=size_bytes)

    def acquire_part(self, *, size_bytes: int, now_s: float) -> PartialGrant:
        """Takes the tokens for as much of a chunk as possible.

        Args:
          size_bytes: size of the chunk.
          now_s: monotonic time in seconds.

        Returns:
          How much may be sent now. To avoid tiny writes this is nothing until
          tokens for half a bucket, or for the whole chunk, are available.
        """
        self._advance(now_s=now_s)
        min_bytes = min(size_bytes, int(self._bucket.depth_bytes / 2) + 1)
        self._bucket.refill(now_s=now_s)
        wait_s = self._wait_s(size_bytes=min_bytes)
        taken_bytes = 0
        if self._bucket.tokens >= min_bytes:
            taken_bytes = self._bucket.acquire_up_to(
                size_bytes=size_bytes, now_s=now_s
            )
            wait_s = 0.0
        if taken_bytes < size_bytes:
            self._last_wait_s = now_s
        self._meter.add(taken_bytes)
        return PartialGrant(taken_bytes, wait_s)

    # The entry table.

    def apply_table(
        self,
        *,
        epoch: int,
        entries: tuple[str, ...],
        from_platform: bool,
        now_s: float,
    ) -> None:
        """Applies an entry table; ignores an older one.

        Args:
          epoch: epoch of the table.
          entries: names of the table's entries in the link's availability zone.
          from_platform: whether this process has itself read the table from the
            platform, after it started. Otherwise a restarted process could take
            its allowance from a table older than one that it acknowledged
            before the restart and that a new entry relies on.
          now_s: monotonic time in seconds.
        """
        self._advance(now_s=now_s)
        if epoch < self._epoch:
            return
        if from_platform:
            self._has_platform_table = True
        if epoch > self._epoch:
            self._epoch = epoch
            self._entries = entries
            self._borrowed.clear()
            self._lent.retain_entries(entries=entries)
        self._recompute(now_s=now_s)

    def record_acknowledgement(
        self, *, entry: str, epoch: int, now_s: float
    ) -> None:
        """Records that `entry` has acknowledged `epoch` for this link."""
        if epoch <= self._peer_epochs.get(entry, 0):
            return
        self._peer_epochs[entry] = epoch
        self._advance(now_s=now_s)
        self._recompute(now_s=now_s)

    def acknowledged_epoch(self, *, now_s: float) -> int:
        """Returns the epoch that peers may rely on.

        It lags behind the epoch in use while more is lent than the new
        allowance, since borrowers may use the loans until their terms end.
        """
        self._advance(now_s=now_s)
        return self._acknowledged_epoch

    def set_cap(self, *, cap_bytes_per_s: int, now_s: float) -> None:
        """Applies the cap of a new configuration.

        The total use is within the new cap once the configuration is in force
        on every entry and all earlier loans have ended.
        """
        self._advance(now_s=now_s)
        self._cap_bytes_per_s = cap_bytes_per_s
        self._recompute(now_s=now_s)

    def release(self, *, now_s: float) -> None:
        """Gives up allowance and borrowed share for good, before leaving."""
        self._advance(now_s=now_s)
        self._released = True
        self._borrowed.clear()
        self._recompute(now_s=now_s)

    # Loans.

    def next_loan_requests(self, *, now_s: float) -> tuple[LoanRequest, ...]:
        """Returns the loan requests to send now, often none.

        Call it a few times a second. Current lenders are asked first, so that
        their loans are renewed before they end. If there are many of them, each
        is asked only in the second half of its loan's term.
        """
        self._advance(now_s=now_s)
        if self._released or self._entry_name not in self._entries:
            return ()
        if now_s - self._last_round_s < self._timing.ask_interval_s:
            return ()
        wanted_bytes_per_s = self._wanted_bytes_per_s(now_s=now_s)
        if wanted_bytes_per_s <= 0:
            return ()
        self._last_round_s = now_s
        requests = []
        for lender in self._peers_to_ask(now_s=now_s):
            sequence = self._borrowed.next_sequence(lender=lender, now_s=now_s)
            request = LoanRequest(
                link=self._link,
                borrower=self._entry_name,
                lender=lender,
                incarnation=self._incarnation,
                sequence=sequence,
                epoch=self._epoch,
                wanted_bytes_per_s=wanted_bytes_per_s,
            )
            requests.append(request)
        return tuple(requests)

    def lend(self, *, request: LoanRequest, now_s: float) -> Loan | None:
        """Answers a loan request, and lowers the share before it returns.

        Args:
          request: the request, which may be duplicated or late.
          now_s: monotonic time in seconds.

        Returns:
          The loan to send, or None if nothing is lent.
        """
        self._advance(now_s=now_s)
        if not self._may_answer(request):
            return None
        repeated = self._lent.sent_loan(request=request)
        if repeated is not None:
            return repeated
        if self._lent.is_outdated(request=request):
            return None
        share_bytes_per_s = self._lendable(request=request, now_s=now_s)
        if share_bytes_per_s <= 0:
            return None
        loan = Loan(
            link=self._link,
            borrower=request.borrower,
            lender=self._entry_name,
            incarnation=request.incarnation,
            sequence=request.sequence,
            epoch=request.epoch,
            share_bytes_per_s=share_bytes_per_s,
        )
        self._lent.add(loan=loan, now_s=now_s)
        self._recompute(now_s=now_s)
        return loan

    def accept(self, *, loan: Loan, now_s: float) -> bool:
        """Uses a loan; returns False if it is late or was not requested."""
        self._advance(now_s=now_s)
        if self._released or loan.borrower != self._entry_name:
            return False
        if loan.incarnation != self._incarnation:
            return False
        if loan.epoch != self._epoch:
            return False
        if not self._borrowed.accept(loan=loan, now_s=now_s):
            return False
        self._recompute(now_s=now_s)
        return True

    def status(self, *, now_s: float) -> LinkStatus:
        """Returns the state of the share."""
        self._advance(now_s=now_s)
        used_bytes_per_s = self._meter.used_bytes_per_s(now_s=now_s)
        return LinkStatus(
            epoch=self._epoch,
            acknowledged_epoch=self._acknowledged_epoch,
            allowance_bytes_per_s=self._allowance_bytes_per_s,
            lent_bytes_per_s=self._lent.share_bytes_per_s,
            borrowed_bytes_per_s=self._borrowed.share_bytes_per_s,
            used_bytes_per_s=int(used_bytes_per_s),
            busy=self._is_busy(now_s=now_s),
        )

    # Private methods.

    def _advance(self, *, now_s: float) -> None:
        """Applies everything that ended by `now_s`, in order of time.

        The order matters after a freeze: tokens are added at the rate of a loan
        only until that loan ended.
        """
        while self._next_change_s <= now_s:
            change_s = self._next_change_s
            self._lent.expire(now_s=change_s)
            self._borrowed.expire(now_s=change_s)
            self._recompute(now_s=change_s)

    def _recompute(self, *, now_s: float) -> None:
        """Recomputes the allowance and the bucket from the current state."""
        self._update_allowance(now_s=now_s)
        own = self._allowance_bytes_per_s - self._lent.share_bytes_per_s
        share = max(0, own) + self._borrowed.share_bytes_per_s
        # A fast clock would exceed the share without this allowance for drift.
        steady_fraction = 1.0 - DEPTH_FRACTION - self._timing.drift_fraction
        self._bucket.resize(
            rate_bytes_per_s=share * steady_fraction,
            depth_bytes=share * DEPTH_FRACTION * WINDOW_S,
            now_s=now_s,
        )
        if self._lent.share_bytes_per_s <= self._allowance_bytes_per_s:
            self._acknowledged_epoch = self._epoch
        self._next_change_s = min(
            self._lent.next_end_s, self._borrowed.next_end_s
        )
        if now_s < self._no_allowance_until_s:
            self._next_change_s = min(
                self._next_change_s, self._no_allowance_until_s
            )

    def _update_allowance(self, *, now_s: float) -> None:
        if self._released or self._entry_name not in self._entries:
            self._allowance_bytes_per_s = 0
            return
        target = self._cap_bytes_per_s // len(self._entries)
        if self._may_grow(now_s=now_s):
            self._allowance_bytes_per_s = target
            return
        self._allowance_bytes_per_s = min(self._allowance_bytes_per_s, target)

    def _may_grow(self, *, now_s: float) -> bool:
        if not self._has_platform_table or now_s < self._no_allowance_until_s:
            return False
        for entry in self._entries:
            if entry == self._entry_name:
                continue
            # An entry at an older epoch still uses its share of that epoch.
            if self._peer_epochs.get(entry, 0) < self._epoch:
                return False
        return True

    def _may_answer(self, request: LoanRequest) -> bool:
        if self._released or request.lender != self._entry_name:
            return False
        # `apply_table` drops loans at a new epoch. A loan across epochs would
        # escape that.
        if request.epoch != self._epoch:
            return False
        return request.borrower in self._entries

    def _lendable(self, *, request: LoanRequest, now_s: float) -> int:
        """Returns the share to lend for `request`, in bytes per second."""
        asking = self._lent.record_request(
            borrower=request.borrower, now_s=now_s
        )
        # An entry that borrows is short itself. If it lent on what it borrowed,
        # two entries could drive up each other's demand.
        if self._borrowed.share_bytes_per_s or self._is_busy(now_s=now_s):
            return 0
        used = self._meter.used_bytes_per_s(now_s=now_s) * HEADROOM_FACTOR
        kept = self._allowance_bytes_per_s * OWN_USE_FRACTION
        idle = int(self._allowance_bytes_per_s - max(used, kept))
        lent_to_others = self._lent.share_bytes_per_s
        lent_to_others -= self._lent.share_of(borrower=request.borrower)
        share = min(idle - lent_to_others, idle // asking)
        return min(share, request.wanted_bytes_per_s)

    def _wanted_bytes_per_s(self, *, now_s: float) -> int:
        """Returns how much more than its own share the entry could use."""
        own = self._allowance_bytes_per_s - self._lent.share_bytes_per_s
        if self._is_busy(now_s=now_s):
            return self._cap_bytes_per_s - max(0, own)
        used = self._meter.used_bytes_per_s(now_s=now_s)
        return int(used * HEADROOM_FACTOR) - max(0, own)

    def _peers_to_ask(self, *, now_s: float) -> tuple[str, ...]:
        """Returns current lenders, then other peers in rotation."""
        lenders = self._borrowed.lenders
        others = []
        for entry in self._entries:
            if entry != self._entry_name and entry not in lenders:
                others.append(entry)
        chosen = list(lenders)
        if len(lenders) > PEERS_PER_ROUND:
            chosen = list(self._borrowed.lenders_to_renew(now_s=now_s))
        for step in range(min(PEERS_PER_ROUND, len(others))):
            chosen.append(others[(self._next_peer + step) % len(others)])
        self._next_peer += PEERS_PER_ROUND
        return tuple(chosen)

    def _is_busy(self, *, now_s: float) -> bool:
        return now_s - self._last_wait_s < self._timing.term_s

    def _wait_s(self, *, size_bytes: int) -> float:
        wait_s = self._bucket.wait_s(
            size_bytes=size_bytes, max_wait_s=MAX_WAIT_S
        )
        return max(wait_s, MIN_WAIT_S)
