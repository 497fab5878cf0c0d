"""Quarantine of requests that crash the upstreams that run them.

Symptom: an upstream crashes during a request; the caller gets no answer and
resends the request through another entry; the next upstream crashes. Without a
quarantine, one request can take down a region. A connection lost without an
answer is therefore a strike against the request, identified by its fingerprint.
After one strike, the request is isolated: it runs only on an upstream that runs
nothing else. After strikes on two different upstreams, no entry dispatches it
for some minutes.

Upstreams also fail for other reasons, and all requests that they run are lost.
When a rack is lost, several upstreams fail at once, all running the most
popular paths, which must not be refused for minutes because of that. A resent
request starts after the previous strike, while requests lost with a rack had
all started before. So a strike counts only if its request started after the
last counted strike. Once the request was answered completely, a single strike
no longer isolates it. The strike itself stays, and the next one at another
upstream counts.
"""

import enum
from typing import NamedTuple

import xxhash

DEFAULT_STRIKE_TTL_S = 300.0
DEFAULT_CAPACITY = 1024
DEFAULT_DIGEST_LIMIT = 16
STRIKES_TO_QUARANTINE = 2
# Strikes learned from a peer appear later than they were by the transit time.
# A request that started up to this long before a strike still counts as started
# after it.
TRANSIT_TOLERANCE_S = 0.02
# Losses at one upstream within this time have one cause, its failure.
SAME_LOSS_WINDOW_S = 1.0
# Marks with less time left are neither sent nor accepted. Otherwise each entry
# could learn a mark from a peer just after dropping its own, each time extended
# by the transit time, and the mark would never expire.
RELAY_MARGIN_S = 10.0


class DispatchVerdict(enum.StrEnum):
    """How a request may be dispatched.

    Attributes:
      CLEAR: without restriction.
      ISOLATED: only on an upstream that runs nothing else.
      QUARANTINED: not at all.
    """

    CLEAR = "clear"
    ISOLATED = "alone"
    QUARANTINED = "quarantined"


class StrikeMark(NamedTuple):
    """A strike as carried by heartbeats.

    Attributes:
      fingerprint: fingerprint of the request, 64 bits.
      upstream: hash of the upstream's name, 32 bits.
      remaining_s: time to expiry; a duration, since entries share no clock.
      ran_s: how long the request had run at the upstream.
    """

    fingerprint: int
    upstream: int
    remaining_s: float
    ran_s: float = 0.0


class _Strike:
    """A strike as stored by this entry."""

    __slots__ = ("answered", "expires_s", "ran_s", "times_sent")

    def __init__(self, *, expires_s: float, ran_s: float) -> None:
        self.expires_s = expires_s
        self.ran_s = ran_s
        self.answered = False
        self.times_sent = 0

    def merge_same_loss(self, other: "_Strike") -> bool:
        """Merges another loss at the upstream if it has the same cause.

        The strike keeps the earliest start. Requests that had just started are
        lost together with those that had run for long; with a late start alone,
        the loss would seem to hit a request that was resent after the previous
        strike.

        Returns:
          Whether it was merged.
        """
        if abs(other.expires_s - self.expires_s) > SAME_LOSS_WINDOW_S:
            return False
        began_s = other.expires_s - other.ran_s
        self.ran_s = max(self.ran_s, self.expires_s - began_s)
        return True


def request_fingerprint(*, method: str, path: str, body_digest: bytes) -> int:
    """Returns the fingerprint of a request, 64 bits.

    Headers are excluded: a resent request has other deadlines and traces.
    """
    digest = xxhash.xxh3_64()
    digest.update(method.encode())
    digest.update(b"\0")
    digest.update(path.encode())
    digest.update(b"\0")
    digest.update(body_digest)
    return digest.intdigest()


def body_digest(*, body: bytes) -> bytes:
    """Returns the digest of a body, or of the part received so far."""
    return xxhash.xxh3_64_digest(body)


class Quarantine:
    """Stores strikes by request, own ones and those learned from peers."""

    def __init__(
        self,
        *,
        strike_ttl_s: float = DEFAULT_STRIKE_TTL_S,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        """Makes an empty table.

        Args:
          strike_ttl_s: time in seconds after which a strike expires, and so
            the maximum time that a request stays quarantined.
          capacity: maximum number of requests; the oldest is dropped first.
        """
        self._strike_ttl_s = strike_ttl_s
        self._capacity = capacity
        self._strikes: dict[int, dict[int, _Strike]] = {}

    def record_strike(
        self, *, fingerprint: int, upstream: str, ran_s: float, now_s: float
    ) -> None:
        """Records a connection to `upstream` that was lost without an answer.

        Args:
          fingerprint: fingerprint of the request.
          upstream: name of the upstream.
          ran_s: how long the request had run there, in seconds.
          now_s: monotonic time.
        """
        self._add(
            fingerprint=fingerprint,
            upstream=xxhash.xxh32_intdigest(upstream.encode()),
            strike=_Strike(expires_s=now_s + self._strike_ttl_s, ran_s=ran_s),
        )

    def record_answer(self, *, fingerprint: int) -> None:
        """Records a complete answer: earlier strikes no longer isolate."""
        for strike in self._strikes.get(fingerprint, {}).values():
            strike.answered = True

    def verdict(self, *, fingerprint: int, now_s: float) -> DispatchVerdict:
        """Returns how a request may be dispatched; drops expired strikes."""
        by_upstream = self._strikes.get(fingerprint)
        if by_upstream is None:
            return DispatchVerdict.CLEAR
        _drop_expired(by_upstream=by_upstream, now_s=now_s)
        if not by_upstream:
            del self._strikes[fingerprint]
            return DispatchVerdict.CLEAR
        if (
            len(_counted_strikes(by_upstream=by_upstream))
            >= STRIKES_TO_QUARANTINE
        ):
            return DispatchVerdict.QUARANTINED
        for strike in by_upstream.values():
            if not strike.answered:
                return DispatchVerdict.ISOLATED
        return DispatchVerdict.CLEAR

    def remaining_s(self, *, fingerprint: int, now_s: float) -> float:
        """Returns how long a request stays quarantined, 0 if it is not."""
        by_upstream = self._strikes.get(fingerprint, {})
        ends: list[float] = []
        for strike in _counted_strikes(by_upstream=by_upstream):
            ends.append(strike.expires_s)
        if len(ends) < STRIKES_TO_QUARANTINE:
            return 0.0
        ends.sort(reverse=True)
        return max(0.0, ends[STRIKES_TO_QUARANTINE - 1] - now_s)

    def next_marks(
        self, *, now_s: float, limit: int = DEFAULT_DIGEST_LIMIT
    ) -> tuple[StrikeMark, ...]:
        """Returns at most `limit` marks for the next heartbeat.

        Marks sent least often come first, so that all are sent eventually.
        """
        candidates: list[tuple[int, int, int]] = []
        for fingerprint, by_upstream in self._strikes.items():
            for upstream, strike in by_upstream.items():
                if strike.expires_s - now_s <= RELAY_MARGIN_S:
                    continue
                candidates.append((strike.times_sent, fingerprint, upstream))
        candidates.sort()
        marks: list[StrikeMark] = []
        for _, fingerprint, upstream in candidates[:limit]:
            strike = self._strikes[fingerprint][upstream]
            strike.times_sent += 1
            remaining_s = round(strike.expires_s - now_s, 3)
            marks.append(
                StrikeMark(fingerprint, upstream, remaining_s, strike.ran_s)
            )
        return tuple(marks)

    def merge_marks(
        self, *, marks: tuple[StrikeMark, ...], now_s: float
    ) -> None:
        """Merges a peer's marks; idempotent."""
        for mark in marks:
            if mark.remaining_s <= RELAY_MARGIN_S:
                continue
            ttl_s = min(float(mark.remaining_s), self._strike_ttl_s)
            strike = _Strike(expires_s=now_s + ttl_s, ran_s=mark.ran_s)
            known = self._strikes.get(mark.fingerprint, {}).get(mark.upstream)
            if known is not None:
                known.merge_same_loss(strike)
                continue
            self._add(
                fingerprint=mark.fingerprint,
                upstream=mark.upstream,
                strike=strike,
            )

    def drop_expired(self, *, now_s: float) -> None:
        """Drops expired strikes; must be called periodically."""
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
        if known is None or not known.merge_same_loss(strike):
            by_upstream[upstream] = strike


def _counted_strikes(*, by_upstream: dict[int, _Strike]) -> list[_Strike]:
    """Returns the strikes that count, oldest first."""
    strikes = sorted(by_upstream.values(), key=_expiry_s)
    counted_strikes: list[_Strike] = []
    for strike in strikes:
        started_s = strike.expires_s - strike.ran_s
        if (
            counted_strikes
            and started_s < counted_strikes[-1].expires_s - TRANSIT_TOLERANCE_S
        ):
            continue
        counted_strikes.append(strike)
    return counted_strikes


def _expiry_s(strike: _Strike) -> float:
    return strike.expires_s


def _drop_expired(*, by_upstream: dict[int, _Strike], now_s: float) -> None:
    for upstream in list(by_upstream):
        if by_upstream[upstream].expires_s <= now_s:
            del by_upstream[upstream]
