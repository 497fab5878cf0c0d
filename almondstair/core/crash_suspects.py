"""Requests that crash the upstreams that run them.

Symptom: upstreams end one after the other, each in the middle of the same
request, whose caller sends it again. A connection that ends without an answer
is a hint only: upstreams lose answers too, and one that crashes takes along
whatever else ran there. So a lost answer is a doubt until it is known whether
its upstream is gone; then it is a strike, or nothing.

While there is a doubt or a strike, all entries send the request to the same
upstream, so that callers who send it again at once, through any entry, end one
more at most; and with doubts at two upstreams no third one gets it before it is
known whether they live. A whole answer to a request ends every suspicion.
"""

from collections import OrderedDict
import enum
import math
from typing import NamedTuple

import xxhash

# Upstreams that a request may end before it is refused. The operators' bound
# counts from the third.
STRIKES_TO_REFUSE = 3
# Strikes in turn without which a request is not refused: a rack that is lost
# ends several upstreams at once, whatever ran there.
TURNS_TO_REFUSE = 2
# Doubts and strikes with which a request that is in doubt does not run.
PLACES_TO_SETTLE = 2
# How long after a lost answer the upstream may turn out to be gone, and how
# long a strike is kept. A crashed upstream is back after some seconds, and the
# caller of a request gives up after ten or so.
CONFIRM_S = 3.0
STRIKE_LIFE_S = 60.0
# How long a doubt counts if nobody finds out whether the upstream lives.
DOUBT_LIFE_S = 0.5
# An entry hears of a strike later than it was by the way of the word. A request
# that began this much before a strike still counts as begun after it.
TRANSIT_S = 0.02
# Requests that are remembered, 100 bytes each.
CAPACITY = 2048
# Answered requests that are remembered.
ANSWERED_CAPACITY = 4096


class Strike(NamedTuple):
    """A request that was running where an upstream ended.

    Attributes:
      fingerprint: the request, 64 bits.
      upstream: hash of the upstream's id, 32 bits.
    """

    fingerprint: int
    upstream: int


class Standing(enum.Enum):
    """What may be done with a request.

    Attributes:
      CLEAR: it goes anywhere.
      SUSPECT: it goes to the one upstream that all entries agree on.
      UNSETTLED: it does not run until it is known whether upstreams live.
      REFUSED: it has ended too many upstreams.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    UNSETTLED = "unsettled"
    REFUSED = "refused"


class _Loss(NamedTuple):
    """When a request was lost at an upstream, and when it began there."""

    lost_s: float
    began_s: float


class _Case:
    """What stands against one request, by upstream.

    Attributes:
      doubts: losses at upstreams that may be gone.
      settled: losses at upstreams that seemed to live, and may still turn out
        to be gone.
      struck: losses at upstreams that are gone.
    """

    __slots__ = ("doubts", "settled", "struck")

    def __init__(self) -> None:
        self.doubts: dict[int, _Loss] = {}
        self.settled: dict[int, _Loss] = {}
        self.struck: dict[int, _Loss] = {}

    def forget_old(self, now_s: float) -> None:
        _keep_younger(self.doubts, now_s - CONFIRM_S)
        _keep_younger(self.settled, now_s - CONFIRM_S)
        _keep_younger(self.struck, now_s - STRIKE_LIFE_S)

    def doubt(self, upstream: int, loss: _Loss) -> None:
        """Adds a loss; several at one upstream count as one that ran longest.

        What goes wrong with the last one: a look-up that had just begun is lost
        with those that ran for long, and seems to have ended the upstream.
        """
        before = self.doubts.get(upstream)
        if before is not None:
            began_s = min(before.began_s, loss.began_s)
            loss = _Loss(loss.lost_s, began_s)
        self.doubts[upstream] = loss

    def take_loss(self, upstream: int) -> _Loss | None:
        """Takes out what was lost at an upstream that is gone now."""
        settled = self.settled.pop(upstream, None)
        return self.doubts.pop(upstream, settled)

    def strikes_in_turn(self) -> int:
        """Returns how many strikes came to a request that began after one."""
        count = 0
        last_s = -math.inf
        for loss in sorted(self.struck.values()):
            if loss.began_s < last_s - TRANSIT_S:
                continue
            count += 1
            last_s = loss.lost_s
        return count


def _keep_younger(losses: dict[int, _Loss], since_s: float) -> None:
    for upstream, loss in list(losses.items()):
        if loss.lost_s < since_s:
            del losses[upstream]


def fingerprint(*, method: str, target: str, body: bytes) -> int:
    """Returns the fingerprint of a request; its headers change each time."""
    digest = xxhash.xxh3_64()
    digest.update(method.encode())
    digest.update(target.encode("latin-1"))
    digest.update(b"\0")
    digest.update(body)
    return digest.intdigest()


class CrashSuspects:
    """Keeps doubts and strikes, this entry's and what others tell."""

    def __init__(self) -> None:
        """Starts with no suspicion."""
        self._cases: OrderedDict[int, _Case] = OrderedDict()
        self._answered: OrderedDict[int, None] = OrderedDict()

    def note_lost(self, strike: Strike, *, ran_s: float, now_s: float) -> bool:
        """Notes a connection that ended without an answer.

        Args:
          strike: the request, and the upstream that may be gone.
          ran_s: how long it had run there, in seconds.
          now_s: the entry's clock.

        Returns:
          Whether other entries need to know: a request that was answered
          before does not crash upstreams.
        """
        case = self._case(strike.fingerprint)
        case.doubt(strike.upstream, _Loss(now_s, now_s - ran_s))
        return strike.fingerprint not in self._answered

    def note_lives(self, upstream: int) -> None:
        """An upstream seems to live: the answers that it lost say nothing."""
        for case in self._cases.values():
            loss = case.doubts.pop(upstream, None)
            if loss is not None:
                case.settled[upstream] = loss

    def note_gone(self, upstream: int, *, now_s: float) -> list[int]:
        """An upstream turned out to be gone: what it lost is struck.

        Returns:
          The fingerprints of the requests that are struck.
        """
        struck = []
        for request, case in list(self._cases.items()):
            loss = case.take_loss(upstream)
            if loss is None or now_s - loss.lost_s > CONFIRM_S:
                continue
            self._strike(request, upstream, loss)
            struck.append(request)
        return struck

    def strike(self, strike: Strike, *, now_s: float) -> None:
        """Strikes a request on another entry's word."""
        case = self._case(strike.fingerprint)
        loss = case.take_loss(strike.upstream)
        if loss is None:
            # Nobody has told when it began; it may have been before another.
            loss = _Loss(lost_s=now_s, began_s=-math.inf)
        self._strike(strike.fingerprint, strike.upstream, loss)

    def note_answered(self, request: int) -> None:
        """A whole answer ends the suspicion against a request."""
        self._cases.pop(request, None)
        self._answered[request] = None
        self._answered.move_to_end(request)
        if len(self._answered) > ANSWERED_CAPACITY:
            self._answered.popitem(last=False)

    def standing(self, request: int, *, now_s: float) -> Standing:
        """Returns what may be done with a request now."""
        case = self._cases.get(request)
        if case is None:
            return Standing.CLEAR
        case.forget_old(now_s)
        doubts = self._open_doubts(request, now_s)
        strikes = len(case.struck)
        if strikes >= STRIKES_TO_REFUSE:
            if case.strikes_in_turn() >= TURNS_TO_REFUSE:
                return Standing.REFUSED
        places = len(doubts | case.struck.keys())
        if doubts and places >= PLACES_TO_SETTLE:
            return Standing.UNSETTLED
        return Standing.SUSPECT if places else Standing.CLEAR

    def exposed(self, request: int, *, now_s: float) -> frozenset[int]:
        """Returns the upstreams that a request may have ended."""
        case = self._cases.get(request)
        if case is None:
            return frozenset()
        doubts = self._open_doubts(request, now_s)
        return frozenset(doubts | case.struck.keys())

    def fresh(self, *, now_s: float, for_s: float) -> list[Strike]:
        """Returns strikes of the last seconds, to tell other entries."""
        found = []
        for request, case in self._cases.items():
            for upstream, loss in case.struck.items():
                if now_s - loss.lost_s <= for_s:
                    found.append(Strike(request, upstream))
        return found

    def _open_doubts(self, request: int, now_s: float) -> set[int]:
        """Returns upstreams of which it is not known whether they live."""
        if request in self._answered:
            return set()
        found = set()
        for upstream, loss in self._cases[request].doubts.items():
            if now_s - loss.lost_s <= DOUBT_LIFE_S:
                found.add(upstream)
        return found

    def _strike(self, request: int, upstream: int, loss: _Loss) -> None:
        self._cases[request].struck.setdefault(upstream, loss)
        self._cases.move_to_end(request)
        self._answered.pop(request, None)

    def _case(self, request: int) -> _Case:
        case = self._cases.get(request)
        if case is None:
            case = _Case()
            self._cases[request] = case
            if len(self._cases) > CAPACITY:
                self._cases.popitem(last=False)
        return case
