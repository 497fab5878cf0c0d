"""Claims of idempotency keys, for requests that must run at most once.

A key is claimed in the platform's key-value service before its request is
dispatched, and the outcome is recorded afterwards. This module holds the
records and the decisions; `almondstair.claims` makes the calls.

    ClaimAttempt      makes a claim, despite failed calls and lost replies
    Claim             the claim while its request is in flight
    OutcomeRecording  records the outcome of a claim in the service
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
MAX_RECORDED_BODY_BYTES = 64 << 10
MAX_WRITES_PER_CLAIM = 3
RECORDED_HEADERS = (
    "content-type",
    "content-encoding",
    "content-language",
    "etag",
    "last-modified",
    "location",
)


class RecordState(enum.StrEnum):
    """State of a key in the service.

    Attributes:
      CLAIMED: claimed; the request may have been dispatched, or may yet be.
      DONE: answered by an upstream.
      UNKNOWN: dispatched, but no complete response arrived.
      RELEASED: certainly has not run and never will; may be claimed again.
    """

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"


class RecordedResponse(NamedTuple):
    """Holds an upstream's response as a repeated request gets it.

    Attributes:
      status: HTTP status.
      headers: the headers of the response that are in `RECORDED_HEADERS`.
      body: the whole body; None if it was too large to record.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class ClaimRecord(NamedTuple):
    """Holds the value of a key in the service.

    Attributes:
      format: `RECORD_FORMAT`.
      nonce: random identifier of the claim.
      digest: digest over the key and the request's fingerprint.
      entry: entry that made the claim.
      incarnation: random identifier of that entry's process.
      time_left_ms: time from the claim to the request's deadline.
      state: state of the key.
      response: the response, if the state is `DONE`.
    """

    format: int
    nonce: bytes
    digest: bytes
    entry: str
    incarnation: str
    time_left_ms: int
    state: RecordState
    response: RecordedResponse | None = None


def claim_store_key(*, service: str, key: str) -> str:
    """Returns the key in the service for an idempotency key."""
    return f"{KEY_PREFIX}{service}/{xxhash.xxh3_128_hexdigest(key.encode())}"


def request_fingerprint(*, method: str, path: str, body_digest: bytes) -> bytes:
    """Returns the digest by which a repeated request is recognised."""
    return _digest(method.encode(), path.encode(), body_digest)


def claim_digest(*, key: str, fingerprint: bytes) -> bytes:
    """Returns the digest over an idempotency key and its request.

    Two idempotency keys may share a key in the service, since the hash is short
    and public. If only the request were compared, a caller with another key
    and an equal request would get a response that is not its own.
    """
    return _digest(key.encode(), fingerprint)


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.digest()[:16]


def encode_record(record: ClaimRecord) -> bytes:
    """Returns a record as it is stored in the service."""
    return msgspec.msgpack.encode(record)


def decode_record(value: bytes) -> ClaimRecord | None:
    """Returns a record, or None if this version cannot read it."""
    try:
        record = msgspec.msgpack.decode(value, type=ClaimRecord)
    except msgspec.MsgspecError:
        return None
    if record.format != RECORD_FORMAT:
        return None
    return record


def recorded_response(
    *, status: int, headers: list[tuple[str, str]], body: bytes | None
) -> RecordedResponse:
    """Returns the part of a response that is recorded for repeated requests.

    Args:
      status: HTTP status.
      headers: all headers of the response.
      body: the whole body, or None if it was not collected.
    """
    kept = []
    for name, value in headers:
        if name.lower() in RECORDED_HEADERS:
            kept.append((name, value))
    if body is not None and len(body) > MAX_RECORDED_BODY_BYTES:
        body = None
    return RecordedResponse(status=status, headers=tuple(kept), body=body)


class ClaimOutcome(enum.Enum):
    """What a record found under a key means for an attempt to claim it."""

    OURS = enum.auto()
    CLAIMABLE = enum.auto()
    ANSWERED = enum.auto()
    IN_FLIGHT = enum.auto()
    UNKNOWN = enum.auto()
    REUSED = enum.auto()


class ClaimContext(NamedTuple):
    """Holds what an entry knows of a claim apart from its record.

    Attributes:
      holder_live: whether the claiming process is live.
      deadline_passed: whether the claim's deadline has certainly passed.
      never_dispatched: whether this process made the claim and gave it up
        before any dispatch.
    """

    holder_live: bool
    deadline_passed: bool
    never_dispatched: bool


def classify_record(
    *, record: ClaimRecord | None, wanted: ClaimRecord, context: ClaimContext
) -> ClaimOutcome:
    """Returns what a record under the key means for a claim.

    Args:
      record: the record under the key; None if it cannot be read.
      wanted: the claim to be made.
      context: what else is known of the record's claim.
    """
    if record is None:
        return ClaimOutcome.UNKNOWN
    if record.nonce == wanted.nonce:
        return ClaimOutcome.OURS
    if record.state is RecordState.RELEASED or context.never_dispatched:
        return ClaimOutcome.CLAIMABLE
    if record.digest != wanted.digest:
        return ClaimOutcome.REUSED
    if record.state is RecordState.DONE:
        return ClaimOutcome.ANSWERED
    return _classify_open(record, context)


def _classify_open(record: ClaimRecord, context: ClaimContext) -> ClaimOutcome:
    # A claim whose holder died is never taken over: nobody knows whether the
    # holder had dispatched the request, and a second run is worse than none.
    if record.state is RecordState.UNKNOWN:
        return ClaimOutcome.UNKNOWN
    if context.deadline_passed or not context.holder_live:
        return ClaimOutcome.UNKNOWN
    return ClaimOutcome.IN_FLIGHT


def outcome_error(outcome: ClaimOutcome) -> AlmondstairError:
    """Returns the error for a repeated request without a recorded response."""
    if outcome is ClaimOutcome.REUSED:
        return AlmondstairError(kind=ErrorKind.KEY_REUSED)
    if outcome is ClaimOutcome.IN_FLIGHT:
        return AlmondstairError(kind=ErrorKind.CLAIM_IN_FLIGHT)
    return AlmondstairError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        detail="the first request with this key may have run; ask the service",
    )


def response_too_large(response: RecordedResponse) -> AlmondstairError:
    """Returns the error for a repeated request whose response was too large.

    The closed list of error kinds has none for this case. `outcome_unknown` has
    the right status and means "do not send again"; `ran` reports that the
    request did run.
    """
    return AlmondstairError(
        kind=ErrorKind.OUTCOME_UNKNOWN,
        detail=f"it ran and was answered {response.status}; too large to keep",
        ran=Ran.YES,
    )


class ClaimAction(enum.Enum):
    """The next step of an attempt to claim a key."""

    WRITE = enum.auto()
    READ_BACK = enum.auto()
    STOP = enum.auto()


class ClaimAttempt:
    """Makes one claim; the result of each call decides on the next one.

    A write whose reply was lost may be applied now, later or never. Treating
    it as failed would leave a claim that nobody releases; treating it as
    applied would let two entries dispatch. So the key is read back to look for
    the nonce of this claim. If the write is not visible it is repeated, which
    is harmless since each write is conditional.

    Attributes:
      wanted: the record to write.
      action: the next step.
      base_revision: revision that the next write is conditional on.
      mod_revision: revision of the claim once it is held, else 0.
      found: the last record that was found under the key, if any.
      outcome: the outcome once stopped; None if the service failed.
      may_be_written: whether a write was lost that may be applied, now or
        later.
      failure: the last failure of the service, if any.
    """

    def __init__(
        self,
        *,
        wanted: ClaimRecord,
        find_context: Callable[[ClaimRecord], ClaimContext],
    ) -> None:
        """Starts an attempt.

        Args:
          wanted: the record to write.
          find_context: returns what else is known of a claim found under the
            key.
        """
        self.wanted = wanted
        self.action = ClaimAction.WRITE
        self.base_revision = 0
        self.mod_revision = 0
        self.found: ClaimRecord | None = None
        self.outcome: ClaimOutcome | None = None
        self.may_be_written = False
        self.failure: base.PlatformError | None = None
        self._find_context = find_context
        self._writes = 0

    def on_write(self, result: base.CasResult) -> None:
        """Processes the reply to a write."""
        self._writes += 1
        if result.succeeded:
            self._hold(result.revision)
            return
        self._on_current(result.current)

    def on_read(self, current: base.Record | None) -> None:
        """Processes the reply to a read back."""
        self._on_current(current)

    def on_failure(self, error: base.PlatformError) -> None:
        """Processes the failure of a write or a read back."""
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
            self._retry_write()
            return
        self._stop(None)

    def _on_current(self, current: base.Record | None) -> None:
        if current is None:
            self.base_revision = 0
            self._retry_write()
            return
        record = decode_record(current.value)
        self.found = record
        context = ClaimContext(False, False, False)
        if record is not None:
            context = self._find_context(record)
        outcome = classify_record(
            record=record, wanted=self.wanted, context=context
        )
        if outcome is ClaimOutcome.OURS:
            self._hold(current.mod_revision)
            return
        if outcome is ClaimOutcome.CLAIMABLE:
            self.base_revision = current.mod_revision
            self._retry_write()
            return
        self._stop(outcome)

    def _retry_write(self) -> None:
        if self._writes >= MAX_WRITES_PER_CLAIM:
            self._stop(None)
            return
        self.action = ClaimAction.WRITE

    def _hold(self, mod_revision: int) -> None:
        self.mod_revision = mod_revision
        self._stop(ClaimOutcome.OURS)

    def _stop(self, outcome: ClaimOutcome | None) -> None:
        self.outcome = outcome
        self.action = ClaimAction.STOP


class ClaimPhase(enum.Enum):
    """How far the request of a claim has come."""

    HELD = enum.auto()
    DISPATCHED = enum.auto()
    RELEASED = enum.auto()
    DONE = enum.auto()
    UNKNOWN = enum.auto()


class Claim:
    """A claim that this process holds.

    The phase alone decides whether the request may go to an upstream. A
    released claim permits no dispatch, so a request that was reported to its
    caller as not run cannot run later.

    Attributes:
      store_key: key in the service.
      record: the record as claimed.
      mod_revision: revision of the record.
      deadline_s: the request's deadline, in monotonic seconds.
      phase: how far the request has come.
    """

    def __init__(
        self,
        *,
        store_key: str,
        record: ClaimRecord,
        mod_revision: int,
        deadline_s: float,
    ) -> None:
        """Makes a held claim."""
        self.store_key = store_key
        self.record = record
        self.mod_revision = mod_revision
        self.deadline_s = deadline_s
        self.phase = ClaimPhase.HELD

    def dispatch(self, *, now_s: float) -> None:
        """Marks the request as dispatched; call it right before the first byte.

        It may be called again for another upstream, after one certainly did
        not run the request.

        Raises:
          AlmondstairError: the deadline has passed, for example because this
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
        """Closes the claim as released, done or unknown."""
        if self.phase not in (ClaimPhase.HELD, ClaimPhase.DISPATCHED):
            raise AlmondstairError(
                kind=ErrorKind.INTERNAL,
                detail=f"claim is {self.phase.name} already",
            )
        self.phase = phase


class OutcomeRecordingState(enum.Enum):
    """Result of a write of an outcome."""

    RETRY = enum.auto()
    RECORDED = enum.auto()
    SUPERSEDED = enum.auto()


class OutcomeRecording:
    """Records the outcome of one claim in the service by compare-and-swap.

    It also gives up a claim whose write may still be applied: the released
    record is written on the revision that the claim was conditional on, so the
    condition of a write that arrives later fails. If the key were deleted
    instead, that write would create a claim that nobody holds.

    Attributes:
      store_key: key in the service.
      record: the record to write.
      mod_revision: revision that the next write is conditional on.
    """

    def __init__(
        self, *, store_key: str, record: ClaimRecord, mod_revision: int
    ) -> None:
        """Starts with nothing written."""
        self.store_key = store_key
        self.record = record
        self.mod_revision = mod_revision

    def next_write(self, *, lease_id: int) -> base.ConditionalWrite:
        """Returns the next write."""
        return base.ConditionalWrite(
            key=self.store_key,
            value=encode_record(self.record),
            mod_revision=self.mod_revision,
            lease_id=lease_id,
        )

    def on_write(self, result: base.CasResult) -> OutcomeRecordingState:
        """Processes the reply to a write."""
        if result.succeeded:
            return OutcomeRecordingState.RECORDED
        if result.current is None:
            return self._on_absent()
        found = decode_record(result.current.value)
        if found is None or found.nonce != self.record.nonce:
            return OutcomeRecordingState.SUPERSEDED
        if found.state is not RecordState.CLAIMED:
            return OutcomeRecordingState.RECORDED
        self.mod_revision = result.current.mod_revision
        return OutcomeRecordingState.RETRY

    def _on_absent(self) -> OutcomeRecordingState:
        if self.record.state is RecordState.RELEASED:
            # The record expired with its lease, so nothing is left to release.
            return OutcomeRecordingState.RECORDED
        self.mod_revision = 0
        return OutcomeRecordingState.RETRY
