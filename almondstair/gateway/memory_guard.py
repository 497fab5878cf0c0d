"""Keeps what the connections of an entry hold within its budget."""

import abc
import asyncio
from collections.abc import Callable
import os
from typing import Any

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.held_bytes import MEBIBYTE_BYTES
from almondstair.core.held_bytes import SMALL_BYTES
from almondstair.core.held_bytes import ByteKind
from almondstair.core.held_bytes import ConnectionBytes
from almondstair.core.held_bytes import HeldBytes
from almondstair.core.held_bytes import HeldCount
from almondstair.core.held_bytes import MemoryStep
from almondstair.core.held_bytes import StepChange
from almondstair.core.held_bytes import StepListener
from almondstair.core.held_bytes import budget_bytes
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

# Sets the budget, in MiB.
HELD_BYTES_VARIABLE = "ALMONDSTAIR_HELD_BYTES_MB"
_MEMINFO_PATH = "/proc/meminfo"
# How often buffers are measured, and connections closed while that is due.
ROUND_S = 0.05
# Most bytes of one read; as many as asyncio reads for other protocols.
READ_BYTES = 256 * 1024
# Most bytes of one read while a step is in force: a connection exceeds its
# limit by one read at most.
BOUNDED_READ_BYTES = 64 * 1024
# Most bytes of one read while connections are closed: each response that begins
# exceeds the budget by one read at most.
LAST_READ_BYTES = 4 * 1024
# Longer responses are not read on while connections are closed.
SMALL_RESPONSE_BYTES = 16 * 1024


class PausableReader(abc.ABC):
    """Reads a large body or response, and can be stopped from reading."""

    @abc.abstractmethod
    def hold_back(self, held_back: bool) -> None:
        """Stops or resumes reading because of what the entry holds."""

    @abc.abstractmethod
    def stream_early(self) -> None:
        """Passes on what is buffered, if more has arrived that is not read."""


class HoldingCaller(abc.ABC):
    """The connection of a caller, for which bytes are held."""

    @abc.abstractmethod
    def refresh_held(self) -> None:
        """Counts the output that the caller has not read."""

    @abc.abstractmethod
    def close_for_memory(self, cause: str) -> None:
        """Closes the connection of a caller that neither reads nor sends."""


class CallerMemory:
    """What an entry holds for the connection of one caller."""

    def __init__(
        self, *, guard: "MemoryGuard", connection: ConnectionBytes
    ) -> None:
        """Starts without bytes.

        Args:
          guard: bounds what connections hold.
          connection: the count of this connection.
        """
        self.guard = guard
        self.connection = connection
        self._output = HeldCount(
            connection=connection, kind=ByteKind.CALLER_BUFFERS
        )

    def limit_bytes(self, usual_bytes: int) -> int:
        """Returns the size of a buffer of the connection.

        Args:
          usual_bytes: its size while no step is in force.
        """
        return self.guard.limit_bytes(usual_bytes)

    def record_active(self) -> None:
        """Records that the caller has read or sent."""
        self.connection.active_s = now_s()

    def add_body(self, change_bytes: int) -> None:
        """Counts a change of a request body."""
        self.connection.add(
            ByteKind.REQUEST_BODIES, change_bytes, now_s=now_s()
        )

    def set_output(self, size_bytes: int) -> None:
        """Counts output for the caller; less of it means that it has read."""
        if size_bytes < self._output.size_bytes:
            self.record_active()
        self._output.set(size_bytes, now_s=now_s())

    def set_stalled(self, is_stalled: bool) -> None:
        """Sets whether the caller has output to read or a body to send."""
        self.connection.is_stalled = is_stalled

    def open_exchange(self) -> "ExchangeMemory":
        """Returns the count of an exchange for the caller."""
        return ExchangeMemory(guard=self.guard, connection=self.connection)

    def close(self) -> None:
        """Ends the counts of a connection that is lost."""
        self._output.set(0, now_s=now_s())
        self.connection.is_open = False
        self.guard.close_caller(self.connection)


class ExchangeMemory:
    """What an entry holds of one exchange with an upstream or entry."""

    def __init__(
        self, *, guard: "MemoryGuard", connection: ConnectionBytes
    ) -> None:
        """Starts without bytes.

        Args:
          guard: bounds what connections hold.
          connection: the count of the caller's connection.
        """
        self.guard = guard
        self._response = HeldCount(
            connection=connection, kind=ByteKind.RESPONSES
        )
        self._output = HeldCount(
            connection=connection, kind=ByteKind.UPSTREAM_BUFFERS
        )
        self._measure: Callable[[], int] | None = None

    def limit_bytes(self, usual_bytes: int) -> int:
        """Returns the size of a buffer; see `CallerMemory`."""
        return self.guard.limit_bytes(usual_bytes)

    def add_response(self, change_bytes: int) -> None:
        """Counts a change of the buffered response."""
        self._response.add(change_bytes, now_s=now_s())

    def watch_output(self, measure: Callable[[], int]) -> None:
        """Counts output that the other side has not read until the end.

        Args:
          measure: returns its size in bytes.
        """
        self._measure = measure
        self.guard.add_exchange(self)
        self.refresh_held()

    def refresh_held(self) -> None:
        """Counts the output again."""
        if self._measure is not None:
            self._output.set(self._measure(), now_s=now_s())

    def close(self) -> None:
        """Ends the counts."""
        self._measure = None
        self.guard.remove_exchange(self)
        now = now_s()
        self._response.set(0, now_s=now)
        self._output.set(0, now_s=now)


class MemoryGuard(StepListener):
    """Applies the steps of one entry to its connections.

    Attributes:
      held: sums up what is held, and decides on the step.
      refused: requests refused since the start.
      closed: connections closed since the start.
    """

    def __init__(self, *, held: HeldBytes, is_active: Callable[[], bool]):
        """Creates the guard of one entry.

        Args:
          held: sums up what is held, and decides on the step.
          is_active: tells whether the configuration calls for the part.
        """
        self.held = held
        self.held.listener = self
        self._is_active = is_active
        self.refused = 0
        self.closed = 0
        self._callers: dict[ConnectionBytes, HoldingCaller] = {}
        self._exchanges: set[ExchangeMemory] = set()
        self._readers: set[PausableReader] = set()
        self._buffer = memoryview(bytearray(READ_BYTES))

    @property
    def has_back_pressure(self) -> bool:
        """Whether bodies and responses are streamed early."""
        return self.held.step >= MemoryStep.BACK_PRESSURE

    @property
    def holds_back(self) -> bool:
        """Whether large bodies and responses are not read on."""
        return self.held.step >= MemoryStep.CLOSING

    def limit_bytes(self, usual_bytes: int) -> int:
        """Returns the size of a buffer of a connection; see `CallerMemory`."""
        if self.has_back_pressure:
            return min(usual_bytes, SMALL_BYTES)
        return usual_bytes

    def read_buffer(self) -> memoryview:
        """Returns the buffer of the next read, used up before another one."""
        if self.holds_back:
            return self._buffer[:LAST_READ_BYTES]
        if self.has_back_pressure:
            return self._buffer[:BOUNDED_READ_BYTES]
        return self._buffer

    def open_caller(self, caller: HoldingCaller) -> CallerMemory:
        """Returns the count of a new connection of a caller."""
        connection = self.held.open_connection(now_s=now_s())
        self._callers[connection] = caller
        return CallerMemory(guard=self, connection=connection)

    def close_caller(self, connection: ConnectionBytes) -> None:
        """Forgets the connection of a caller."""
        caller = self._callers.pop(connection, None)
        if isinstance(caller, PausableReader):
            self.remove_reader(caller)

    def add_exchange(self, exchange: ExchangeMemory) -> None:
        """Measures the output of an exchange from now on."""
        self._exchanges.add(exchange)

    def remove_exchange(self, exchange: ExchangeMemory) -> None:
        """Measures the output of an exchange no more."""
        self._exchanges.discard(exchange)

    def add_reader(self, reader: PausableReader) -> None:
        """Stops a reader from now on whenever the step requires it."""
        if reader in self._readers:
            return
        self._readers.add(reader)
        if self.holds_back:
            reader.hold_back(True)

    def remove_reader(self, reader: PausableReader) -> None:
        """Lets a reader read on that has read its body or response."""
        if reader in self._readers:
            self._readers.remove(reader)
            reader.hold_back(False)

    def refusal(self, body_length: int | None) -> AlmondstairError | None:
        """Returns why to refuse a new request before its body is read.

        Args:
          body_length: length of the body in bytes; None if unknown.
        """
        if not self.held.refuses(body_length):
            return None
        self.refused += 1
        size = "unknown" if body_length is None else str(body_length)
        return AlmondstairError(
            kind=ErrorKind.ENTRY_MEMORY_FULL,
            detail=f"body bytes {size}, held {self.held.held_bytes} of "
            f"{self.held.budget_bytes}",
        )

    def step_changed(self, change: StepChange) -> None:
        """Logs the beginning or end of a step and applies it to reads."""
        event = log.Event.MEMORY_STEP_ENDED
        if change.began:
            event = log.Event.MEMORY_STEP_BEGAN
        log.event(
            event,
            step=change.step.name.lower(),
            held_bytes=change.held_bytes,
            budget_bytes=self.held.budget_bytes,
            connections=len(self.held.holding()),
            lasted_s=round(change.lasted_s, 2),
            **self._kinds(),
        )
        if change.step is MemoryStep.CLOSING:
            for reader in list(self._readers):
                reader.hold_back(change.began)

    def _kinds(self) -> dict[str, Any]:
        return {str(kind): size for kind, size in self.held.by_kind().items()}

    async def run(self) -> None:
        """Measures buffers and closes connections, round after round."""
        while True:
            await asyncio.sleep(ROUND_S)
            self.run_round()

    def run_round(self) -> None:
        """Measures the buffers and closes one connection if that is due."""
        self.held.set_active(self._is_active(), now_s=now_s())
        for connection in self.held.holding():
            caller = self._callers.get(connection)
            if caller is not None:
                caller.refresh_held()
        for exchange in list(self._exchanges):
            exchange.refresh_held()
        if self.holds_back:
            # A body that is not read on would wait for ever: only requests that
            # have begun end by their deadline.
            for reader in list(self._readers):
                reader.stream_early()
        chosen = self.held.connection_to_close(now_s=now_s())
        if chosen is not None:
            self._close(chosen)

    def _close(self, connection: ConnectionBytes) -> None:
        caller = self._callers.get(connection)
        if caller is None:
            return
        self.closed += 1
        idle_s = now_s() - connection.active_s
        caller.close_for_memory(
            f"{ErrorKind.ENTRY_MEMORY_FULL}: held {connection.held_bytes} "
            f"bytes, idle for {idle_s:.1f} s"
        )

    def status(self) -> dict[str, object]:
        """Returns what operators see of the bytes that are held."""
        step = self.held.step
        since_s = now_s() - self.held.step_since_s
        return {
            "step": step.name.lower(),
            "step_for_s": None
            if step is MemoryStep.OPEN
            else round(since_s, 2),
            "held_bytes": self.held.held_bytes,
            "most_bytes": self.held.most_bytes,
            "budget_bytes": self.held.budget_bytes,
            "by_kind": self._kinds(),
            "connections": len(self.held.holding()),
            "refused": self.refused,
            "closed": self.closed,
        }


class BoundedReads(asyncio.BufferedProtocol):
    """Reads for a protocol, in smaller pieces while a step is in force.

    asyncio reads up to 256 KiB at once for other protocols, which many
    connections together would exceed the budget with.
    """

    def __init__(
        self, *, protocol: asyncio.Protocol, guard: MemoryGuard
    ) -> None:
        """Creates the reader of one connection.

        Args:
          protocol: receives what is read.
          guard: supplies the buffer.
        """
        self._protocol = protocol
        self._guard = guard
        self._buffer = memoryview(b"")

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer that all connections of an entry share."""
        del sizehint
        self._buffer = self._guard.read_buffer()
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on what was read."""
        self._protocol.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Passes on the end of the input."""
        return self._protocol.eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes on the end of the connection."""
        self._protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Passes on that the write buffer is full."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the write buffer has drained."""
        self._protocol.resume_writing()


def read_budget_bytes() -> int:
    """Returns the budget of this VM, or the one that the environment sets.

    Raises:
      AlmondstairError: `settings_invalid`, if the environment sets no size.
    """
    text = os.environ.get(HELD_BYTES_VARIABLE, "")
    if not text:
        return budget_bytes(vm_bytes=_read_vm_bytes())
    if not (text.isascii() and text.isdigit()) or int(text) == 0:
        raise AlmondstairError(
            kind=ErrorKind.SETTINGS_INVALID,
            detail=f"{HELD_BYTES_VARIABLE}={text}: it must be a whole number "
            "of MiB above 0",
        )
    return int(text) * MEBIBYTE_BYTES


def _read_vm_bytes() -> int:
    """Returns the memory of this VM, 0 if it cannot be read."""
    try:
        with open(_MEMINFO_PATH, encoding="ascii") as file:
            for line in file:
                name, _, value = line.partition(":")
                if name == "MemTotal":
                    return int(value.split()[0]) * 1024
    except (OSError, ValueError, IndexError):
        return 0
    return 0
