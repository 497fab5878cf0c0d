"""Decides by the sum of the bytes that an entry holds in its memory."""

import abc
from collections import Counter
import enum
from typing import NamedTuple

MEBIBYTE_BYTES = 1024 * 1024
# Memory of the process without callers.
PROCESS_BYTES = 90 * MEBIBYTE_BYTES
# Share of the VM's memory for the kernel, its socket buffers and other
# processes.
RESERVED_SHARE = 0.2
MIN_BUDGET_BYTES = 16 * MEBIBYTE_BYTES
# Each step ends this share of the budget below its beginning, so that it does
# not change with every chunk.
STEP_END_SHARE = 0.1
# Larger bodies and responses are affected by the steps.
SMALL_BYTES = 64 * 1024
# Connections of callers that stopped reading or sending are closed from this
# size on, if none above `SMALL_BYTES` is left: many of them fill the budget.
STALLED_BYTES = 16 * 1024
# A caller that has neither read nor sent for less time may be on a slow link.
MIN_IDLE_S = 1.0


class ByteKind(enum.StrEnum):
    """What held bytes are.

    Attributes:
      REQUEST_BODIES: bodies of requests, also of those that wait.
      RESPONSES: responses that are buffered or about to be streamed.
      CALLER_BUFFERS: output that callers have not read.
      UPSTREAM_BUFFERS: output that upstreams have not read.
    """

    REQUEST_BODIES = "request_bodies"
    RESPONSES = "responses"
    CALLER_BUFFERS = "caller_buffers"
    UPSTREAM_BUFFERS = "upstream_buffers"


class MemoryStep(enum.IntEnum):
    """What an entry does to hold fewer bytes; each step includes the earlier.

    Attributes:
      OPEN: nothing.
      BACK_PRESSURE: bodies and responses are streamed early.
      REFUSAL: new requests with large bodies are refused.
      CLOSING: large bodies and responses are not read on, and connections of
        idle callers are closed.
    """

    OPEN = 0
    BACK_PRESSURE = 1
    REFUSAL = 2
    CLOSING = 3


# Shares of the budget at which the steps begin.
STEP_BEGIN_SHARES = {
    MemoryStep.BACK_PRESSURE: 0.5,
    MemoryStep.REFUSAL: 0.7,
    MemoryStep.CLOSING: 0.85,
}


class StepChange(NamedTuple):
    """The beginning or end of a step.

    Attributes:
      step: the step.
      began: whether it began; otherwise it ended.
      lasted_s: how long an ended step lasted, in seconds; 0 for a beginning.
      held_bytes: the held bytes at the change.
    """

    step: MemoryStep
    began: bool
    lasted_s: float
    held_bytes: int


class StepListener(abc.ABC):
    """Is told of each step at once, in the middle of a read or a write."""

    @abc.abstractmethod
    def step_changed(self, change: StepChange) -> None:
        """Applies the beginning or end of a step."""


class ConnectionBytes:
    """The bytes that an entry holds for one caller's connection.

    Attributes:
      held_bytes: their sum.
      active_s: when the caller last read or sent a byte.
      is_stalled: whether the caller has output to read or a body to send.
      is_open: whether the connection is open; requests that run on after their
        caller has disconnected still hold bytes.
    """

    def __init__(self, *, total: "HeldBytes", now_s: float) -> None:
        """Starts without bytes.

        Args:
          total: the sum over all connections.
          now_s: the entry's clock, in seconds.
        """
        self._total = total
        self.held_bytes = 0
        self.active_s = now_s
        self.is_stalled = False
        self.is_open = True

    def add(self, kind: ByteKind, change_bytes: int, *, now_s: float) -> None:
        """Adds to the held bytes of a kind, or subtracts from them."""
        if change_bytes == 0:
            return
        self.held_bytes += change_bytes
        self._total.record_change(self, kind, change_bytes, now_s=now_s)


class HeldCount:
    """The bytes of one kind in one place of a connection.

    Attributes:
      size_bytes: the bytes that were counted last.
    """

    def __init__(self, *, connection: ConnectionBytes, kind: ByteKind) -> None:
        """Starts without bytes."""
        self._connection = connection
        self._kind = kind
        self.size_bytes = 0

    def set(self, size_bytes: int, *, now_s: float) -> None:
        """Replaces the count."""
        change_bytes = size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        self._connection.add(self._kind, change_bytes, now_s=now_s)

    def add(self, change_bytes: int, *, now_s: float) -> None:
        """Adds to the count, or subtracts from it."""
        self.set(self.size_bytes + change_bytes, now_s=now_s)


class HeldBytes:
    """Sums up what all connections hold and decides on the step.

    Attributes:
      budget_bytes: how many bytes may be held.
      held_bytes: how many are held.
      most_bytes: the most that were held since the start.
      step: the highest step that has begun.
      step_since_s: when it became the highest, on the entry's clock.
    """

    def __init__(self, *, budget_bytes: int) -> None:
        """Starts without connections, switched off."""
        self.budget_bytes = budget_bytes
        self.held_bytes = 0
        self.most_bytes = 0
        self.step = MemoryStep.OPEN
        self.step_since_s = 0.0
        self.listener: StepListener | None = None
        self._is_active = False
        self._by_kind: Counter[ByteKind] = Counter()
        self._began_s: dict[MemoryStep, float] = {}
        # An ordered set: equally idle connections are closed in a fixed order.
        self._holding: dict[ConnectionBytes, None] = {}

    def open_connection(self, *, now_s: float) -> ConnectionBytes:
        """Returns the count of a new connection."""
        return ConnectionBytes(total=self, now_s=now_s)

    def set_active(self, active: bool, *, now_s: float) -> None:
        """Switches the steps on or off; bytes are counted either way."""
        if active is self._is_active:
            return
        self._is_active = active
        self._update_step(now_s)

    def by_kind(self) -> dict[ByteKind, int]:
        """Returns the held bytes of each kind."""
        return {kind: self._by_kind[kind] for kind in ByteKind}

    def holding(self) -> list[ConnectionBytes]:
        """Returns the connections that hold any bytes."""
        return list(self._holding)

    def record_change(
        self,
        connection: ConnectionBytes,
        kind: ByteKind,
        change_bytes: int,
        *,
        now_s: float,
    ) -> None:
        """Applies a change of what a connection holds."""
        self.held_bytes += change_bytes
        self.most_bytes = max(self.most_bytes, self.held_bytes)
        self._by_kind[kind] += change_bytes
        if connection.held_bytes > 0:
            self._holding[connection] = None
        else:
            self._holding.pop(connection, None)
        self._update_step(now_s)

    def _update_step(self, now_s: float) -> None:
        """Ends steps from the highest down, or begins them from the lowest."""
        while self.step > MemoryStep.OPEN and self._has_ended(self.step):
            ended = self.step
            self._set_step(MemoryStep(ended - 1), now_s)
            self._tell(ended, began=False, now_s=now_s)
        while self.step < MemoryStep.CLOSING:
            following = MemoryStep(self.step + 1)
            if not self._has_begun(following):
                return
            self._began_s[following] = now_s
            self._set_step(following, now_s)
            self._tell(following, began=True, now_s=now_s)

    def _has_begun(self, step: MemoryStep) -> bool:
        begin_bytes = STEP_BEGIN_SHARES[step] * self.budget_bytes
        return self._is_active and self.held_bytes >= begin_bytes

    def _has_ended(self, step: MemoryStep) -> bool:
        end_share = STEP_BEGIN_SHARES[step] - STEP_END_SHARE
        end_bytes = end_share * self.budget_bytes
        return not self._is_active or self.held_bytes < end_bytes

    def _set_step(self, step: MemoryStep, now_s: float) -> None:
        self.step = step
        self.step_since_s = now_s

    def _tell(self, step: MemoryStep, *, began: bool, now_s: float) -> None:
        if self.listener is None:
            return
        self.listener.step_changed(
            StepChange(
                step=step,
                began=began,
                lasted_s=0.0 if began else now_s - self._began_s[step],
                held_bytes=self.held_bytes,
            )
        )

    def refuses(self, body_length: int | None) -> bool:
        """Returns whether to refuse a new request before its body is read.

        Args:
          body_length: length of the body in bytes; None if unknown.
        """
        if self.step < MemoryStep.REFUSAL:
            return False
        return is_large(body_length)

    def connection_to_close(self, *, now_s: float) -> ConnectionBytes | None:
        """Returns the connection to close next, None if none may be closed.

        Callers that only wait for their response cannot read or send anything.
        Their connections are closed only if no caller has stalled.
        """
        if self.step < MemoryStep.CLOSING:
            return None
        chosen = None
        for connection in self._holding:
            if not connection.is_open:
                continue
            if now_s - connection.active_s < MIN_IDLE_S:
                continue
            if _close_rank(connection) == 0:
                continue
            if chosen is None or _is_before(connection, chosen):
                chosen = connection
        return chosen


def _close_rank(connection: ConnectionBytes) -> int:
    """Returns which connections are closed first, 0 if never."""
    if connection.held_bytes > SMALL_BYTES:
        return 3 if connection.is_stalled else 2
    if connection.held_bytes > STALLED_BYTES and connection.is_stalled:
        return 1
    return 0


def _is_before(one: ConnectionBytes, other: ConnectionBytes) -> bool:
    ranks = (_close_rank(one), _close_rank(other))
    if ranks[0] != ranks[1]:
        return ranks[0] > ranks[1]
    return one.active_s < other.active_s


def is_large(length_bytes: int | None) -> bool:
    """Returns whether the steps affect a body of a length, None if unknown."""
    return length_bytes is None or length_bytes > SMALL_BYTES


def budget_bytes(*, vm_bytes: int) -> int:
    """Returns how many bytes an entry may hold on a VM.

    Args:
      vm_bytes: memory of the VM.
    """
    usable_bytes = int(vm_bytes * (1 - RESERVED_SHARE)) - PROCESS_BYTES
    return max(MIN_BUDGET_BYTES, usable_bytes)
