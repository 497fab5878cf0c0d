"""Claims of idempotency keys: what runs at most once, and what a repeat gets.

A key is claimed in the platform's key-value service before its request is
dispatched, and its outcome is recorded after. This module holds the records and
the decisions; `almondstair.claims` carries them out.

    Claiming     makes one claim out of answered, failed and lost calls
    Claim        the claim while its request is under way
    Settlement   brings the outcome of a claim into the service, however late
"""

from collections.abc import Callable
import enum
import hashlib
from typing import NamedTuple

import msgspec
import xxhash

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.key_value import base

KEY_PREFIX = "almondstair/claims/"
RECORD_FORMAT = 1
MAX_KEPT_BODY_BYTES = 64 << 10
MAX_WRITES_PER_CLAIM = 3
KEPT_HEADERS = (
    "content-type",
    "content-encoding",
    "content-language",
    "etag",
    "last-modified",
    "location",
)


class RecordState(enum.StrEnum):
    """What the service knows of a key.

    Attributes:
      CLAIMED: claimed; it may be dispatched, or have been.
      DONE: answered by an upstream.
      UNKNOWN: dispatched, and no whole answer came.
      RELEASED: certainly not run, now and later; may be claimed again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class RecordedAnswer(NamedTuple):
    """An upstream's answer as a repeat gets it.

    Attributes:
      status: HTTP status.
      headers: those of `KEPT_HEADERS` that it had.
      body: the whole body; None when it was too large to keep.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class ClaimRecord(NamedTuple):
    """Value of a key in the service.

    Attributes:
      format: `RECORD_FORMAT`.
      nonce: random name of the claim.
      print: digest over the key and the request's fingerprint.
      entry: entry that made the claim.
      incarnation: random name of that entry's process.
      time_left_ms: time to the request's deadline when it was claimed.
      state: what is known.
      answer: the answer when done.
    """

    format: int
    nonce: bytes
    print: bytes
    entry: str
    incarnation: str
    time_left_ms: int
    state: RecordState
    answer: RecordedAnswer | None = None


def service_key(*, service: str, key: str) -> str:
    """Returns where the service keeps an idempotency key."""
    return f"{KEY_PREFIX}{service}/{xxhash.xxh3_128_hexdigest(key.encode())}"


def request_fingerprint(*, method: str, path: str, body_digest: bytes) -> bytes:
    """Returns the digest that tells a repeat from another request."""
    return _digest(method.encode(), path.encode(), body_digest)


def claim_print(*, key: str, fingerprint: bytes) -> bytes:
    """Returns the digest over an idempotency key and its request.

    Two keys may share a place in the service, since their hash there is a short
    and public one. Were only the request compared, a caller with another key
    and an equal request would get an answer that is not its own.
    """
    return _digest(key.encode(), fingerprint)


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()[:16]


def encode_record(record: ClaimRecord) -> bytes:
    """Returns a record as the service keeps it."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> ClaimRecord | None:
    """Returns a record, None when it is not one that this version reads."""
    try:
        record = msgspec.msgpack.decode(value, type=ClaimRecord)
    except msgspec.MsgspecError:
        return None
    if record.format != RECORD_FORMAT:
        return None
    return record


def keep_answer(
    *, status: int, headers: list[tuple[str, str]], body: bytes | None
) -> RecordedAnswer:
    """Returns an answer cut to what is kept for repeats.

    Args:
      status: HTTP status.
      headers: all headers of the answer.
      body: the whole body, or None when it was not collected.
    """
    kept = []
    for name, value in headers:
        if name.lower() in KEPT_HEADERS:
            kept.append((name, value))
    if body is not None and len(body) > MAX_KEPT_BODY_BYTES:
        body = None
    return RecordedAnswer(status=status, headers=tuple(kept), body=body)


class Verdict(enum.Enum):
    """What a record found under the key means for who wants to claim it."""

    OURS = enum.auto()
    CLAIMABLE = enum.auto()
    ANSWERED = enum.auto()
    IN_FLIGHT = enum.auto()
    UNKNOWN = enum.auto()
    REUSED = enum.auto()


class Bystander(NamedTuple):
    """What an entry knows beside the record of somebody's claim.

    Attributes:
      holder_live: the claiming process is live.
      deadline_passed: the claim's deadline is past for sure.
      never_dispatched: the claim is this process's own, and this process gave
        it up before any dispatch.
    """

    holder_live: bool
    deadline_passed: bool
    never_dispatched: bool


def judge(
    *, record: ClaimRecord | None, wanted: ClaimRecord, seen: Bystander
) -> Verdict:
    """Says what a record under the key means for a claim.

    Args:
      record: what is under the key; None when it cannot be read.
      wanted: the claim to be made.
      seen: what else is known of the record's claim.
    """
    if record is None:
        return Verdict.UNKNOWN
    if record.nonce == wanted.nonce:
        return Verdict.OURS
    if record.state is RecordState.RELEASED or seen.never_dispatched:
        return Verdict.CLAIMABLE
    if record.print != wanted.print:
        return Verdict.REUSED
    if record.state is RecordState.DONE:
        return Verdict.ANSWERED
    return _judge_open(record, seen)


def _judge_open(record: ClaimRecord, seen: Bystander) -> Verdict:
    # A claim whose holder died is never taken over: whether it had dispatched
    # is known to nobody, and a second run is worse than none.
    if record.state is RecordState.UNKNOWN:
        return Verdict.UNKNOWN
    if seen.deadline_passed or not seen.holder_live:
        return Verdict.UNKNOWN
    return Verdict.IN_FLIGHT


def verdict_error(verdict: Verdict) -> AlmondstairError:
    """Returns what a repeat is told, unless it gets the recorded answer."""
    if verdict is Verdict.REUSED:
        return AlmondstairError(kind=ErrorKind.KEY_REUSED)
    if verdict is Verdict.IN_FLIGHT:
        return AlmondstairError(kind=ErrorKind.CLAIM_IN_FLIGHT)
    return AlmondstairError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        detail="the first request with this key may have run; ask the service",
    )


def answer_not_kept(answer: RecordedAnswer) -> AlmondstairError:
    """Returns what a repeat is told when the answer was too large to keep.

    The closed list has no kind of its own for this. `outcome_unknown` has the
    status and the meaning "do not send again"; `ran` says that it did run.
    """
    return AlmondstairError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        detail=f"it ran and was answered {answer.status}; too large to keep",
        ran=Ran.YES,
    )


class ClaimAction(enum.Enum):
    """What a claim needs next."""

    WRITE = enum.auto()
    READ_BACK = enum.auto()
    STOP = enum.auto()


class Claiming:
    """Makes one claim: decides the next call from how the last one went.

    A write whose answer was lost may be applied now, later or never. Taking it
    as failed would leave a claim that nobody releases; taking it as applied
    would let two entries dispatch. So the key is read back and one's own nonce
    looked for. While nothing of the write is seen it is written again, which
    is harmless since each write is conditional.

    Attributes:
      wanted: the record to be written.
      action: what to do next.
      base_revision: revision that the next write is conditional on.
      mod_revision: revision of the claim once it is held, else 0.
      found: record that stood in the way, None when none did.
      verdict: outcome once stopped; None when the service failed.
      may_be_written: a write is out that may be applied, now or later.
      failure: the last failure of the service, if any.
    """

    def __init__(
        self,
        *,
        wanted: ClaimRecord,
        look: Callable[[ClaimRecord], Bystander],
    ) -> None:
        """Starts a claim.

        Args:
          wanted: the record to be written.
          look: tells what is known beside a record found under the key.
        """
        self.wanted = wanted
        self.action = ClaimAction.WRITE
        self.base_revision = 0
        self.mod_revision = 0
        self.found: ClaimRecord | None = None
        self.verdict: Verdict | None = None
        self.may_be_written = False
        self.failure: base.PlatformError | None = None
        self._look = look
        self._writes = 0

    def on_write(self, result: base.CasResult) -> None:
        """Takes the answer to a write."""
        self._writes += 1
        if result.succeeded:
            self._hold(result.revision)
            return
        self._on_current(result.current)

    def on_read(self, current: base.Record | None) -> None:
        """Takes the answer to a read back."""
        self._on_current(current)

    def on_failure(self, error: base.PlatformError) -> None:
        """Takes the failure of either."""
        self.failure = error
        if self.action is ClaimAction.READ_BACK:
            self._stop(None)
            return
        self._writes += 1
        if error.may_be_applied:
            self.may_be_written = True
            self.action = ClaimAction.READ_BACK
            return
        if error.failure is base.PlatformFailure.REFUSED:
            self._write_again()
            return
        self._stop(None)

    def _on_current(self, current: base.Record | None) -> None:
        if current is None:
            self.base_revision = 0
            self._write_again()
            return
        record = decode_record(current.value)
        self.found = record
        seen = Bystander(False, False, False)
        if record is not None:
            seen = self._look(record)
        verdict = judge(record=record, wanted=self.wanted, seen=seen)
        if verdict is Verdict.OURS:
            self._hold(current.mod_revision)
            return
        if verdict is Verdict.CLAIMABLE:
            self.base_revision = current.mod_revision
            self._write_again()
            return
        self._stop(verdict)

    def _write_again(self) -> None:
        if self._writes >= MAX_WRITES_PER_CLAIM:
            self._stop(None)
            return
        self.action = ClaimAction.WRITE

    def _hold(self, mod_revision: int) -> None:
        self.mod_revision = mod_revision
        self._stop(Verdict.OURS)

    def _stop(self, verdict: Verdict | None) -> None:
        self.verdict = verdict
        self.action = ClaimAction.STOP


class ClaimPhase(enum.Enum):
    """Where the request of a claim is."""

    HELD = enum.auto()
    DISPATCHED = enum.auto()
    RELEASED = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()


class Claim:
    """A claim that this process holds.

    The phase is the one place that says whether the request may go to an
    upstream: once released, no dispatch is let through, so a request that a
    caller was told is not run cannot run after all.

    Attributes:
      place: where the service keeps the key.
      record: the record as claimed.
      mod_revision: its revision.
      deadline_s: the request's deadline, in monotonic seconds.
      phase: where the request is.
    """

    def __init__(
        self,
        *,
        place: str,
        record: ClaimRecord,
        mod_revision: int,
        deadline_s: float,
    ) -> None:
        """Makes a held claim."""
        self.place = place
        self.record = record
        self.mod_revision = mod_revision
        self.deadline_s = deadline_s
        self.phase = ClaimPhase.HELD

    def dispatch(self, *, now_s: float) -> None:
        """Marks the request as dispatched; call it right before the first byte.

        It may be called again for another upstream, after one refused the
        request for sure.

        Raises:
          AlmondstairError: the deadline passed, for example because this
            process was frozen after the claim; or the claim is closed.
        """
        if self.phase not in (ClaimPhase.HELD, ClaimPhase.DISPATCHED):
            raise AlmondstairError(
                kind=ErrorKind.INTERNAL,
                detail=f"dispatch of a claim that is {self.phase.name}",
                ran=Ran.NO,
            )
        if now_s >= self.deadline_s:
            raise AlmondstairError(kind=ErrorKind.DEADLINE_PASSED)
        self.phase = ClaimPhase.DISPATCHED

    def close(self, phase: ClaimPhase) -> None:
        """Ends the claim as released, done or unknown."""
        if self.phase not in (ClaimPhase.HELD, ClaimPhase.DISPATCHED):
            raise AlmondstairError(
                kind=ErrorKind.INTERNAL,
                detail=f"claim is {self.phase.name} already",
            )
        self.phase = phase


class SettlementState(enum.Enum):
    """How far a settlement is."""

    AGAIN = enum.auto()
    SETTLED = enum.auto()
    OVERTAKEN = enum.auto()


class Settlement:
    """Brings the outcome of one claim into the service by compare-and-swap.

    It is also how a claim is given up whose write may still be applied: the
    released record is written on the revision that the claim was conditional
    on, so a claim that arrives later finds its condition broken. Deleting the
    key would let it appear after all, held by nobody.

    Attributes:
      place: where the service keeps the key.
      record: the record to be brought in.
      mod_revision: revision that the next write is conditional on.
    """

    def __init__(
        self, *, place: str, record: ClaimRecord, mod_revision: int
    ) -> None:
        """Starts a settlement."""
        self.place = place
        self.record = record
        self.mod_revision = mod_revision

    def write(self, *, lease_id: int) -> base.ConditionalWrite:
        """Returns the next write."""
        return base.ConditionalWrite(
            key=self.place,
            value=encode_record(self.record),
            mod_revision=self.mod_revision,
            lease_id=lease_id,
        )

    def on_write(self, result: base.CasResult) -> SettlementState:
        """Takes the answer to a write."""
        if result.succeeded:
            return SettlementState.SETTLED
        if result.current is None:
            return self._on_absent()
        found = decode_record(result.current.value)
        if found is None or found.nonce != self.record.nonce:
            return SettlementState.OVERTAKEN
        if found.state is not RecordState.CLAIMED:
            return SettlementState.SETTLED
        self.mod_revision = result.current.mod_revision
        return SettlementState.AGAIN

    def _on_absent(self) -> SettlementState:
        if self.record.state is RecordState.RELEASED:
            # The record went with its lease: there is nothing left to release.
            return SettlementState.SETTLED
        self.mod_revision = 0
        return SettlementState.AGAIN
