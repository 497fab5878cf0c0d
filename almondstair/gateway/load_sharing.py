"""Tells other entries how many requests this one has at each upstream.

What goes wrong without: each entry knows its own requests and what answers
told a moment ago. Ten entries then find the same upstream free at the same
time, fill its queue, and their requests wait past their time.
"""

import asyncio
from typing import cast

import msgspec

from almondstair import log
from almondstair.clock import now_s
from almondstair.core.fleet import Fleet

# Shortest pause between two messages, and the longest while nothing changes.
INTERVAL_S = 0.05
HEARTBEAT_S = 0.4
# An entry that was silent for this long is not counted on any more.
SILENCE_S = 1.2
# Up to this many entries everybody tells everybody; beyond, what answers tell
# has to do, since messages grow with the square of the entries.
FULL_MESH_LIMIT = 24


class _Loads(msgspec.Struct, array_like=True):
    """One entry's requests in flight, by 32-bit hash of the upstream's id."""

    entry: str
    in_flight: dict[int, int]


_DECODER = msgspec.msgpack.Decoder(_Loads)


class LoadSharing(asyncio.DatagramProtocol):
    """Sends own loads to the other entries and takes theirs."""

    def __init__(self, *, fleet: Fleet, own_name: str) -> None:
        """Makes the protocol; `run` sends once it listens.

        Args:
          fleet: whose upstreams the loads belong to.
          own_name: name of this entry.
        """
        self._fleet = fleet
        self._own_name = own_name
        self._transport: asyncio.DatagramTransport | None = None
        self._heard: dict[str, tuple[float, dict[int, int]]] = {}
        self._sent: dict[int, int] = {}
        self._sent_at_s = 0.0
        self._unreadable = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the bound socket."""
        # asyncio's own class for it is no subclass of the interface.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """A peer is not there; its registration will end by itself."""

    def datagram_received(
        self, data: bytes, addr: tuple[str | int, int]
    ) -> None:
        """Takes another entry's loads."""
        try:
            loads = _DECODER.decode(data)
        except msgspec.MsgspecError:
            self._unreadable += 1
            if self._unreadable == 1:
                log.event(log.Event.PEER_MESSAGE_BAD, address=str(addr))
            return
        if loads.entry == self._own_name:
            return
        _, before = self._heard.get(loads.entry, (0.0, {}))
        self._heard[loads.entry] = (now_s(), loads.in_flight)
        self._apply(loads.entry, before, loads.in_flight)

    def _apply(
        self, entry: str, before: dict[int, int], after: dict[int, int]
    ) -> None:
        for name in before.keys() | after.keys():
            upstream = self._fleet.by_hash.get(name)
            if upstream is not None:
                upstream.take_peer(entry, after.get(name, 0))

    async def run(self) -> None:
        """Sends loads when they change until it is cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            now = now_s()
            self._forget_silent(now)
            self._fleet.peers_heard = self._all_heard()
            if len(self._fleet.entries) > FULL_MESH_LIMIT:
                continue
            loads = self._own_loads()
            if loads == self._sent and now - self._sent_at_s < HEARTBEAT_S:
                continue
            self._sent = loads
            self._sent_at_s = now
            self._send(loads)

    def _own_loads(self) -> dict[int, int]:
        loads = {}
        for name, upstream in self._fleet.by_hash.items():
            if upstream.in_flight:
                loads[name] = upstream.in_flight
        return loads

    def _send(self, loads: dict[int, int]) -> None:
        assert self._transport is not None
        message = msgspec.msgpack.encode(
            _Loads(entry=self._own_name, in_flight=loads)
        )
        for entry in self._fleet.entries.values():
            if entry.name == self._own_name:
                continue
            ip, _, port = entry.peers.rpartition(":")
            self._transport.sendto(message, (ip, int(port)))

    def _forget_silent(self, now: float) -> None:
        for entry, (at_s, loads) in list(self._heard.items()):
            if now - at_s < SILENCE_S:
                continue
            del self._heard[entry]
            self._apply(entry, loads, {})

    def _all_heard(self) -> bool:
        for name in self._fleet.entries:
            if name != self._own_name and name not in self._heard:
                return False
        return bool(self._fleet.entries)
