"""Requests that crash the upstreams that run them.

Symptom: upstreams end one after the other, each in the middle of the same
request, whose caller sends it again. A connection that ends without an answer
is a hint only: upstreams lose answers too, and one that crashes takes along
whatever else ran there. So a request is struck when the upstream that lost it
turns out to be gone; a whole answer to it ends the suspicion; and only one that
was struck at several upstreams in turn is refused.
"""

from typing import NamedTuple

import xxhash

# Upstreams that a request may end before it is refused. The operators' bound
# counts from the third.
STRIKES_TO_REFUSE = 3
# How long after a lost answer the upstream may turn out to be gone, and how
# long a strike is kept. A crashed upstream is back after some seconds, and the
# caller of a request gives up after ten or so.
CONFIRM_S = 3.0
STRIKE_LIFE_S = 60.0
# Requests that are remembered, 100 bytes each.
CAPACITY = 2048


class Strike(NamedTuple):
    """A request that was running where an upstream ended.

    Attributes:
      fingerprint: the request, 64 bits.
      upstream: hash of the upstream's id, 32 bits.
    """

    fingerprint: int
    upstream: int


class _Lost(NamedTuple):
    fingerprint: int
    at_s: float


def fingerprint(*, method: str, target: str, body: bytes) -> int:
    """Returns the fingerprint of a request; its headers change each time."""
    digest = xxhash.xxh3_64()
    digest.update(method.encode())
    digest.update(target.encode("latin-1"))
    digest.update(b"\0")
    digest.update(body)
    return digest.intdigest()


class CrashSuspects:
    """Keeps strikes, this entry's and what others tell."""

    def __init__(self) -> None:
        """Starts with no suspicion."""
        self._lost: dict[int, list[_Lost]] = {}
        self._strikes: dict[int, dict[int, float]] = {}

    def note_lost(self, strike: Strike, *, now_s: float) -> None:
        """Notes a connection that ended without an answer."""
        lost = self._lost.setdefault(strike.upstream, [])
        lost.append(_Lost(strike.fingerprint, now_s))
        del lost[: -CAPACITY // 8]

    def note_gone(self, upstream: int, *, now_s: float) -> None:
        """An upstream turned out to be gone: what it lost is struck."""
        for lost in self._lost.pop(upstream, []):
            if now_s - lost.at_s <= CONFIRM_S:
                self.strike(Strike(lost.fingerprint, upstream), now_s=now_s)

    def strike(self, strike: Strike, *, now_s: float) -> None:
        """Strikes a request, on this entry's or another one's word."""
        if len(self._strikes) >= CAPACITY:
            self._strikes.clear()
        struck = self._strikes.setdefault(strike.fingerprint, {})
        struck.setdefault(strike.upstream, now_s)

    def note_answered(self, request: int) -> None:
        """A whole answer ends the suspicion against a request."""
        self._strikes.pop(request, None)

    def refused(self, request: int, *, now_s: float) -> bool:
        """Whether a request has ended too many upstreams to be sent again."""
        struck = self._strikes.get(request)
        if struck is None:
            return False
        for upstream, at_s in list(struck.items()):
            if now_s - at_s > STRIKE_LIFE_S:
                del struck[upstream]
        return len(struck) >= STRIKES_TO_REFUSE

    def fresh(self, *, now_s: float, for_s: float) -> list[Strike]:
        """Returns strikes of the last seconds, to tell other entries."""
        found = []
        for request, struck in self._strikes.items():
            for upstream, at_s in struck.items():
                if now_s - at_s <= for_s:
                    found.append(Strike(request, upstream))
        return found
