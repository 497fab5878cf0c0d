"""Receives the requests that other entries relay to this one."""

import asyncio

from almondstair import log
from almondstair.core.fleet import Fleet
from almondstair.core.routing import CallerLimits
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.gateway import relay_messages
from almondstair.gateway.caller_connection import CallerConnection
from almondstair.gateway.caller_connection import RequestHandler
from almondstair.gateway.caller_request import CallerRequest
from almondstair.gateway.caller_request import ResponseWait
from almondstair.gateway.forwarder import Forwarder
from almondstair.gateway.gateway_metrics import GatewayMetrics
from almondstair.gateway.memory_guard import MemoryGuard

# Relayed requests at a time; more are refused, and go to another entry.
MAX_RELAYED_REQUESTS = 200
# Bytes of headers that a relaying entry adds to those of a caller.
ADDED_HEADER_BYTES = 8 * 1024
# Longer than the time for which entries keep an idle connection.
IDLE_TIMEOUT_S = 15.0


class RelayHandler(RequestHandler):
    """Handles the requests that other entries relay."""

    def __init__(
        self,
        *,
        forwarder: Forwarder,
        fleet: Fleet,
        metrics: GatewayMetrics,
    ) -> None:
        """Creates the handler of one entry.

        Args:
          forwarder: forwards requests to upstreams.
          fleet: supplies the registered entries.
          metrics: counters and histograms.
        """
        self._forwarder = forwarder
        self._fleet = fleet
        self._metrics = metrics
        self._in_flight = 0

    def limits(self) -> CallerLimits:
        """Returns the callers' limits, with room for what entries add."""
        limits = self._forwarder.limits()
        return limits._replace(
            header_bytes=limits.header_bytes + ADDED_HEADER_BYTES,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )

    def is_cancellable(self, request: CallerRequest) -> bool:
        """Returns whether to cancel a request that the other entry ended."""
        return self._forwarder.is_cancellable(request)

    def record_wait(self, wait: ResponseWait) -> None:
        """Records a response that waited; entries send none behind another."""
        self._forwarder.record_wait(wait)

    def refusal(self, request: CallerRequest) -> AlmondstairError | None:
        """Returns why to refuse a request before its body is read, if so."""
        error = self._forwarder.refusal(request)
        # The other entry is told that another one may take it.
        request.is_relayed = error is not None
        return error

    def record_closed(self, request: CallerRequest) -> None:
        """Records a request whose connection this entry closed."""
        self._forwarder.record_closed(request)

    async def handle(self, request: CallerRequest) -> None:
        """Responds to a relayed request."""
        try:
            relayed = relay_messages.decode_request(request.headers)
        except AlmondstairError as error:
            log.event(log.Event.RELAY_BAD, detail=error.detail)
            request.respond_with_problem(error)
            return
        request.is_relayed = True
        request.arrived_s -= relayed.age_s
        self._in_flight += 1
        try:
            if self._in_flight > MAX_RELAYED_REQUESTS:
                request.respond_with_problem(
                    AlmondstairError(
                        kind=ErrorKind.RELAY_REFUSED,
                        detail=f"{MAX_RELAYED_REQUESTS} relayed at once",
                    )
                )
                return
            await self._forwarder.handle(request, relayed=relayed)
            self._metrics.relayed.labels("in", "handled").inc()
        finally:
            self._in_flight -= 1

    def is_entry(self, ip: str) -> bool:
        """Returns whether an address is that of a registered entry."""
        for entry in self._fleet.entries.values():
            if entry.peers.rpartition(":")[0] == ip:
                return True
        return False


class RelayConnection(CallerConnection):
    """A connection of another entry; one of anything else is closed."""

    def __init__(
        self,
        *,
        handler: RelayHandler,
        connections: "set[CallerConnection]",
        memory_guard: MemoryGuard | None = None,
    ) -> None:
        """Creates the protocol of one connection; see the base class."""
        super().__init__(
            handler=handler, connections=connections, memory_guard=memory_guard
        )
        self._relay_handler = handler

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Closes the connection if its other side is no entry."""
        super().connection_made(transport)
        ip, _ = transport.get_extra_info("peername", ("", 0))[:2]
        if self._relay_handler.is_entry(ip):
            return
        log.event(log.Event.RELAY_BAD, address=ip, detail="no entry's address")
        self.abort()
