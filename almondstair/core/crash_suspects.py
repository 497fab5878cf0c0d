"""Detects requests that crash the upstreams that run them.

Such a request shows as upstreams that end one after the other, each while it
runs the same request, which the caller retries. A connection that ends without
a response is only a hint: upstreams also lose responses, and a crash takes
along every other request on the upstream. So a lost response is unconfirmed
until it is known whether its upstream has ended; then it becomes a strike or is
dismissed.

While a request has an unconfirmed loss or a strike, all entries send it to the
same upstream, so that callers that retry at once, through any entry, crash at
most one more. With unconfirmed losses at two upstreams no third one gets the
request until it is known whether they are alive. A complete response clears the
request.
"""

from collections import OrderedDict
import enum
import math
from typing import NamedTuple

import xxhash

# Number of crashed upstreams at which a request is refused. The operators'
# limit counts from the third.
MIN_STRIKES_TO_REFUSE = 3
# Consecutive strikes that are needed to refuse a request: the loss of a rack
# ends several upstreams at once, whatever ran there.
MIN_CONSECUTIVE_TO_REFUSE = 2
# Number of upstreams with an unconfirmed loss or a strike at which a request
# does not run while one of the losses is unconfirmed.
MIN_UPSTREAMS_TO_HOLD = 2
# Time after a lost response within which the end of the upstream counts as a
# crash, and time for which a strike is kept. A crashed upstream is back after
# some seconds, and the caller of a request gives up after about ten.
CONFIRMATION_WINDOW_S = 3.0
STRIKE_TTL_S = 60.0
# Time for which an unconfirmed loss counts if it stays unknown whether the
# upstream is alive.
UNCONFIRMED_TTL_S = 0.5
# Allowance for the delay of reported strikes: a request that began this long
# before a strike still counts as begun after it.
REPORT_DELAY_S = 0.02
# Remembered requests with losses or strikes, 100 bytes each.
MAX_CASES = 2048
# Remembered answered requests.
MAX_ANSWERED = 4096


class Strike(NamedTuple):
    """Identifies a request that was running when an upstream ended.

    Attributes:
      fingerprint: fingerprint of the request, 64 bits.
      upstream: hash of the upstream's id, 32 bits.
    """

    fingerprint: int
    upstream: int


class CrashVerdict(enum.Enum):
    """States how a request may be sent.

    Attributes:
      CLEAR: to any upstream.
      SUSPECT: only to the one upstream that all entries select.
      PENDING: not until it is known whether upstreams are alive.
      REFUSED: not at all, as it has crashed too many upstreams.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    PENDING = "unsettled"
    REFUSED = "refused"


class _Loss(NamedTuple):
    """Holds when a request was lost at an upstream and when it began."""

    lost_s: float
    began_s: float


class _Case:
    """Holds the losses of one request, by upstream.

    Attributes:
      unconfirmed: losses at upstreams that may have ended.
      dismissed: losses at upstreams that seemed to be alive and may still turn
        out to have ended.
      strikes: losses at upstreams that have ended.
    """

    __slots__ = ("dismissed", "strikes", "unconfirmed")

    def __init__(self) -> None:
        self.unconfirmed: dict[int, _Loss] = {}
        self.dismissed: dict[int, _Loss] = {}
        self.strikes: dict[int, _Loss] = {}

    def drop_expired(self, now_s: float) -> None:
        _drop_older(self.unconfirmed, now_s - CONFIRMATION_WINDOW_S)
        _drop_older(self.dismissed, now_s - CONFIRMATION_WINDOW_S)
        _drop_older(self.strikes, now_s - STRIKE_TTL_S)

    def add_unconfirmed(self, upstream: int, loss: _Loss) -> None:
        """Adds an unconfirmed loss; of several the longest run counts.

        If the last one counted, a run that had just begun, and was lost along
        with longer ones, would seem to have crashed the upstream.
        """
        before = self.unconfirmed.get(upstream)
        if before is not None:
            began_s = min(before.began_s, loss.began_s)
            loss = _Loss(loss.lost_s, began_s)
        self.unconfirmed[upstream] = loss

    def pop_loss(self, upstream: int) -> _Loss | None:
        """Removes and returns the loss at an upstream that has ended."""
        dismissed = self.dismissed.pop(upstream, None)
        return self.unconfirmed.pop(upstream, dismissed)

    def count_consecutive(self) -> int:
        """Returns how many strikes are of runs begun after the previous one."""
        count = 0
        last_s = -math.inf
        for loss in sorted(self.strikes.values()):
            if loss.began_s < last_s - REPORT_DELAY_S:
                continue
            count += 1
            last_s = loss.lost_s
        return count


def _drop_older(losses: dict[int, _Loss], since_s: float) -> None:
    for upstream, loss in list(losses.items()):
        if loss.lost_s < since_s:
            del losses[upstream]


def fingerprint(*, method: str, target: str, body: bytes) -> int:
    """Returns a request's fingerprint, without headers, which vary."""
    digest = xxhash.xxh3_64()
    digest.update(method.encode())
    digest.update(target.encode("latin-1"))
    digest.update(b"\0")
    digest.update(body)
    return digest.intdigest()


class CrashSuspects:
    """Holds losses and strikes of requests, own and reported by others."""

    def __init__(self) -> None:
        """Starts without losses or strikes."""
        self._cases: OrderedDict[int, _Case] = OrderedDict()
        self._answered: OrderedDict[int, None] = OrderedDict()

    def record_lost(
        self, strike: Strike, *, ran_s: float, now_s: float
    ) -> bool:
        """Records a connection that ended without a response.

        Args:
          strike: the request, and the upstream that may have ended.
          ran_s: how long it had run there, in seconds.
          now_s: the entry's clock, in seconds.

        Returns:
          Whether other entries need a report; a request that was answered
          before does not crash upstreams.
        """
        case = self._case(strike.fingerprint)
        case.add_unconfirmed(strike.upstream, _Loss(now_s, now_s - ran_s))
        return strike.fingerprint not in self._answered

    def record_alive(self, upstream: int) -> None:
        """Dismisses the losses at an upstream that seems to be alive."""
        for case in self._cases.values():
            loss = case.unconfirmed.pop(upstream, None)
            if loss is not None:
                case.dismissed[upstream] = loss

    def record_ended(self, upstream: int, *, now_s: float) -> list[int]:
        """Turns the losses at an upstream that has ended into strikes.

        Returns:
          The fingerprints of the requests that got a strike.
        """
        strikes = []
        for request, case in list(self._cases.items()):
            loss = case.pop_loss(upstream)
            if loss is None or now_s - loss.lost_s > CONFIRMATION_WINDOW_S:
                continue
            self._strike(request, upstream, loss)
            strikes.append(request)
        return strikes

    def add_strike(self, strike: Strike, *, now_s: float) -> None:
        """Adds a strike that another entry reports."""
        case = self._case(strike.fingerprint)
        loss = case.pop_loss(strike.upstream)
        if loss is None:
            # Its start is unknown and may precede other strikes.
            loss = _Loss(lost_s=now_s, began_s=-math.inf)
        self._strike(strike.fingerprint, strike.upstream, loss)

    def record_response(self, request: int) -> None:
        """Clears a request that got a complete response."""
        self._cases.pop(request, None)
        self._answered[request] = None
        self._answered.move_to_end(request)
        if len(self._answered) > MAX_ANSWERED:
            self._answered.popitem(last=False)

    def verdict(self, request: int, *, now_s: float) -> CrashVerdict:
        """Returns how a request may be sent now."""
        case = self._cases.get(request)
        if case is None:
            return CrashVerdict.CLEAR
        case.drop_expired(now_s)
        unconfirmed = self._recent_unconfirmed(request, now_s)
        strikes = len(case.strikes)
        if strikes >= MIN_STRIKES_TO_REFUSE:
            if case.count_consecutive() >= MIN_CONSECUTIVE_TO_REFUSE:
                return CrashVerdict.REFUSED
        upstream_count = len(unconfirmed | case.strikes.keys())
        if unconfirmed and upstream_count >= MIN_UPSTREAMS_TO_HOLD:
            return CrashVerdict.PENDING
        return CrashVerdict.SUSPECT if upstream_count else CrashVerdict.CLEAR

    def possibly_crashed(self, request: int, *, now_s: float) -> frozenset[int]:
        """Returns hashes of the upstreams that a request may have crashed."""
        case = self._cases.get(request)
        if case is None:
            return frozenset()
        unconfirmed = self._recent_unconfirmed(request, now_s)
        return frozenset(unconfirmed | case.strikes.keys())

    def recent_strikes(self, *, now_s: float, for_s: float) -> list[Strike]:
        """Returns the strikes of the last `for_s` seconds, for reports."""
        found = []
        for request, case in self._cases.items():
            for upstream, loss in case.strikes.items():
                if now_s - loss.lost_s <= for_s:
                    found.append(Strike(request, upstream))
        return found

    def _recent_unconfirmed(self, request: int, now_s: float) -> set[int]:
        """Returns upstreams whose losses are unconfirmed and recent."""
        if request in self._answered:
            return set()
        found = set()
        for upstream, loss in self._cases[request].unconfirmed.items():
            if now_s - loss.lost_s <= UNCONFIRMED_TTL_S:
                found.add(upstream)
        return found

    def _strike(self, request: int, upstream: int, loss: _Loss) -> None:
        self._cases[request].strikes.setdefault(upstream, loss)
        self._cases.move_to_end(request)
        self._answered.pop(request, None)

    def _case(self, request: int) -> _Case:
        case = self._cases.get(request)
        if case is None:
            case = _Case()
            self._cases[request] = case
            if len(self._cases) > MAX_CASES:
                self._cases.popitem(last=False)
        return case
