"""Requests that crash the upstreams that run them.

Symptom: an upstream dies mid-request; the caller, told nothing, sends the
request again through another entry; the next upstream dies. Unchecked, one
request takes down a region. A connection lost without an answer is therefore a
strike against the request, known by its fingerprint. After one strike it runs
only where nothing else runs; after strikes on two different upstreams no entry
dispatches it for some minutes.

Upstreams also die of something else, and take along whatever ran there. When a
rack is lost, several die at once, each running the most asked for paths, which
must not be refused for minutes on that ground. A request that is sent again
starts after the strike before; what a rack took along had started already. So a
strike counts only if its request started after the last one that counts. And
one strike no longer keeps a request alone once it was answered whole; the
strike itself stays, and the next one at another upstream counts.
"""

import enum
from typing import NamedTuple

import xxhash

DEFAULT_STRIKE_LIFE_S = 300.0
DEFAULT_CAPACITY = 1024
DEFAULT_DIGEST_LIMIT = 16
STRIKES_TO_QUARANTINE = 2
# Strikes learned from a peer look later than they were by the transit time. A
# request that started this much before a strike still counts as sent after it.
TRANSIT_S = 0.02
# Losses at one upstream within this time have one cause, its end.
SAME_END_S = 1.0
# A mark on its last seconds is neither sent nor taken. Otherwise each entry
# would learn it from a peer just after forgetting it, a little longer each
# time by the transit time, and a mark could outlive its time without end.
RELAY_MARGIN_S = 10.0


class Verdict(enum.StrEnum):
    """How a request may be dispatched."""

    CLEAR = "clear"
    ALONE = "alone"
    QUARANTINED = "quarantined"


class Mark(NamedTuple):
    """One strike as heartbeats carry it.

    Attributes:
      fingerprint: fingerprint of the request, 64 bits.
      upstream: hash of the upstream's name, 32 bits.
      remaining_s: time left; a span, since entries share no clock.
      ran_s: how long the request had run at the upstream.
    """

    fingerprint: int
    upstream: int
    remaining_s: float
    ran_s: float = 0.0


class _Strike:
    """A strike as this entry keeps it."""

    __slots__ = ("answered", "expires_s", "ran_s", "times_sent")

    def __init__(self, *, expires_s: float, ran_s: float) -> None:
        self.expires_s = expires_s
        self.ran_s = ran_s
        self.answered = False
        self.times_sent = 0

    def take_same_end(self, other: "_Strike") -> bool:
        """Takes another loss at the upstream if the same end caused it.

        What goes wrong if the last one stands alone: look-ups that had just
        begun are lost with those that ran for long, and the end seems to have
        come to a request that began after the strike before.
        """
        if abs(other.expires_s - self.expires_s) > SAME_END_S:
            return False
        began_s = other.expires_s - other.ran_s
        self.ran_s = max(self.ran_s, self.expires_s - began_s)
        return True


def request_fingerprint(*, method: str, path: str, body_digest: bytes) -> int:
    """Returns the fingerprint of a request, 64 bits.

    Headers stay out of it: a resend carries new deadlines and traces.
    """
    digest = xxhash.xxh3_64()
    digest.update(method.encode())
    digest.update(b"\0")
    digest.update(path.encode())
    digest.update(b"\0")
    digest.update(body_digest)
    return digest.intdigest()


def body_digest(*, body: bytes) -> bytes:
    """Returns the digest of a body, or of the part of it at hand."""
    return xxhash.xxh3_64_digest(body)


class Quarantine:
    """Strikes by request, own and learned from peers."""

    def __init__(
        self,
        *,
        strike_life_s: float = DEFAULT_STRIKE_LIFE_S,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        """Makes an empty table.

        Args:
          strike_life_s: how long a strike counts, and so how long a request
            stays quarantined at most.
          capacity: most requests kept; the oldest is dropped first.
        """
        self._strike_life_s = strike_life_s
        self._capacity = capacity
        self._strikes: dict[int, dict[int, _Strike]] = {}

    def strike(
        self, *, fingerprint: int, upstream: str, ran_s: float, now_s: float
    ) -> None:
        """Counts a connection to `upstream` lost without an answer.

        Args:
          fingerprint: of the request.
          upstream: name of the upstream.
          ran_s: how long it had run there.
          now_s: the time.
        """
        self._add(
            fingerprint=fingerprint,
            upstream=xxhash.xxh32_intdigest(upstream.encode()),
            strike=_Strike(expires_s=now_s + self._strike_life_s, ran_s=ran_s),
        )

    def answered(self, *, fingerprint: int) -> None:
        """Takes a whole answer: the strikes so far need no running alone."""
        for strike in self._strikes.get(fingerprint, {}).values():
            strike.answered = True

    def verdict(self, *, fingerprint: int, now_s: float) -> Verdict:
        """Returns how a request may be dispatched now."""
        by_upstream = self._strikes.get(fingerprint)
        if by_upstream is None:
            return Verdict.CLEAR
        _drop_expired(by_upstream=by_upstream, now_s=now_s)
        if not by_upstream:
            del self._strikes[fingerprint]
            return Verdict.CLEAR
        if len(_counted(by_upstream=by_upstream)) >= STRIKES_TO_QUARANTINE:
            return Verdict.QUARANTINED
        for strike in by_upstream.values():
            if not strike.answered:
                return Verdict.ALONE
        return Verdict.CLEAR

    def remaining_s(self, *, fingerprint: int, now_s: float) -> float:
        """Returns how long a request stays quarantined, 0 if it is not."""
        by_upstream = self._strikes.get(fingerprint, {})
        ends: list[float] = []
        for strike in _counted(by_upstream=by_upstream):
            ends.append(strike.expires_s)
        if len(ends) < STRIKES_TO_QUARANTINE:
            return 0.0
        ends.sort(reverse=True)
        return max(0.0, ends[STRIKES_TO_QUARANTINE - 1] - now_s)

    def digest(
        self, *, now_s: float, limit: int = DEFAULT_DIGEST_LIMIT
    ) -> tuple[Mark, ...]:
        """Returns at most `limit` marks for the next heartbeat.

        Marks sent least often come first, so that each gets its turn.
        """
        waiting: list[tuple[int, int, int]] = []
        for fingerprint, by_upstream in self._strikes.items():
            for upstream, strike in by_upstream.items():
                if strike.expires_s - now_s <= RELAY_MARGIN_S:
                    continue
                waiting.append((strike.times_sent, fingerprint, upstream))
        waiting.sort()
        marks: list[Mark] = []
        for _, fingerprint, upstream in waiting[:limit]:
            strike = self._strikes[fingerprint][upstream]
            strike.times_sent += 1
            remaining_s = round(strike.expires_s - now_s, 3)
            marks.append(Mark(fingerprint, upstream, remaining_s, strike.ran_s))
        return tuple(marks)

    def merge(self, *, marks: tuple[Mark, ...], now_s: float) -> None:
        """Takes in a peer's marks; taking them in again changes nothing."""
        for mark in marks:
            if mark.remaining_s <= RELAY_MARGIN_S:
                continue
            life_s = min(float(mark.remaining_s), self._strike_life_s)
            strike = _Strike(expires_s=now_s + life_s, ran_s=mark.ran_s)
            known = self._strikes.get(mark.fingerprint, {}).get(mark.upstream)
            if known is not None:
                known.take_same_end(strike)
                continue
            self._add(
                fingerprint=mark.fingerprint,
                upstream=mark.upstream,
                strike=strike,
            )

    def expire(self, *, now_s: float) -> None:
        """Forgets what has run out; called now and then."""
        for fingerprint in list(self._strikes):
            self.verdict(fingerprint=fingerprint, now_s=now_s)

    def __len__(self) -> int:
        """Returns the number of requests with a strike."""
        return len(self._strikes)

    def _add(self, *, fingerprint: int, upstream: int, strike: _Strike) -> None:
        by_upstream = self._strikes.get(fingerprint)
        if by_upstream is None:
            if len(self._strikes) >= self._capacity:
                oldest = next(iter(self._strikes))
                del self._strikes[oldest]
            by_upstream = {}
            self._strikes[fingerprint] = by_upstream
        known = by_upstream.get(upstream)
        if known is None or not known.take_same_end(strike):
            by_upstream[upstream] = strike


def _counted(*, by_upstream: dict[int, _Strike]) -> list[_Strike]:
    """Returns the strikes that count, oldest first."""
    strikes = sorted(by_upstream.values(), key=_end)
    counted: list[_Strike] = []
    for strike in strikes:
        started_s = strike.expires_s - strike.ran_s
        if counted and started_s < counted[-1].expires_s - TRANSIT_S:
            continue
        counted.append(strike)
    return counted


def _end(strike: _Strike) -> float:
    return strike.expires_s


def _drop_expired(*, by_upstream: dict[int, _Strike], now_s: float) -> None:
    for upstream in list(by_upstream):
        if by_upstream[upstream].expires_s <= now_s:
            del by_upstream[upstream]
