"""A store that is restored from a copy, and entries that follow it.

Store, entries and their mirrors speak over loopback sockets in one event loop.
Entries poll only when they are told to.
"""

import asyncio
from collections.abc import Coroutine
import json
from typing import Any
from unittest import mock

import msgspec

from almondstair.core.fleet import Fleet
from almondstair.gateway.entry_registration import EntryRegistration
from almondstair.gateway.http_pages import Pages
from almondstair.gateway.store_sync import StoreSync
from almondstair.platform import documents
from almondstair.platform.kv import KvClient
from emulator.documents import configuration_text
from emulator.documents import route
from emulator.ports import free_address
from emulator.store import Store

ZONES = {"a1": "east", "b1": "west"}
SERVICE = "service"


class RigEntry:
    """One entry: its view, its client of the store and its mirror."""

    def __init__(self, *, name: str, zone: str, store: str) -> None:
        """Creates an entry that has read nothing yet.

        Args:
          name: its name.
          zone: its availability zone.
          store: `ip:port` of the store.
        """
        self.name = name
        self.zone = zone
        self.peers = free_address()
        self.fleet = Fleet(own_name=name, own_region=ZONES[zone], zones=ZONES)
        self.client = KvClient(address=store)
        self.sync = StoreSync(
            client=self.client,
            fleet=self.fleet,
            pool=mock.Mock(),
            own_name=name,
            own_zone=zone,
            seeds=[],
        )
        self.registration = EntryRegistration(
            client=self.client,
            fleet=self.fleet,
            name=name,
            record=documents.EntryRecord(
                callers=free_address(),
                peers=self.peers,
                region=ZONES[zone],
                availability_zone=zone,
                incarnation=f"{name}-1",
                cores=1.0,
                link_mbps=100.0,
            ),
            shortest_lease_s=1.0,
        )
        self._pages = Pages(source=self._page_data())
        self._pages.serve_peers(self.peers)

    def _page_data(self) -> mock.Mock:
        data = mock.Mock()
        data.mirror_changes = lambda **query: msgspec.msgpack.encode(
            self.sync.mirror_page(**query)
        )
        return data

    async def poll(self) -> bool:
        """Polls once; returns whether a source gave fresh data."""
        return await self.sync._poll()

    async def register(self) -> None:
        """Registers, or renews the registration."""
        await self.registration._register_or_renew()

    def cut_off(self) -> None:
        """Takes the store away from this entry."""
        self.client.set_address("127.0.0.1:1")

    def upstream_ids(self) -> set[str]:
        """Returns the ids of the upstreams that it may use."""
        eligible = self.fleet.eligible_upstreams(SERVICE)
        return {upstream.record.upstream_id for upstream in eligible}

    def close(self) -> None:
        """Closes its sockets."""
        self._pages.stop()
        self.client.close()


class EpochRig:
    """The store with entries, and writes of the operator and of upstreams."""

    def __init__(self) -> None:
        """Starts an empty store."""
        self.loop = asyncio.new_event_loop()
        self.store = Store()
        self.entries: dict[str, RigEntry] = {}
        self._sequences: dict[str, int] = {}
        self.run(self._listen())

    async def _listen(self) -> None:
        port = self.store.listen("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine to its end."""
        return self.loop.run_until_complete(work)

    def close(self) -> None:
        """Closes everything."""
        for entry in self.entries.values():
            entry.close()
        self.run(self.store.close())
        self.loop.close()

    def add_entry(self, name: str, zone: str = "a1") -> RigEntry:
        """Adds an entry that has read nothing yet."""

        async def create() -> RigEntry:
            return RigEntry(name=name, zone=zone, store=self.address)

        entry: RigEntry = self.run(create())
        self.entries[name] = entry
        return entry

    def configure(self, version: int) -> None:
        """Writes a configuration as the operator."""
        text = configuration_text(version, [route("/safe/")])
        self.run(self.store.put_text(documents.CONFIGURATION_KEY, text))

    def write_upstream(self, name: str, **fields: Any) -> None:
        """Writes a registration as the upstream does with each heartbeat."""
        self._sequences[name] = self._sequences.get(name, 0) + 1
        record = {
            "service": SERVICE,
            "address": "127.0.0.1:9",
            "zone": "a1",
            "version": "v1",
            "slots": 3,
            "state": "ready",
            "coldLeftS": 0,
            "seq": self._sequences[name],
            "born": 1000,
        }
        key = documents.UPSTREAM_PREFIX + name
        text = json.dumps(record | fields)
        self.run(self.store.put_text(key, text))

    def remove_upstream(self, name: str) -> None:
        """Removes a registration as an upstream that leaves."""
        self.run(self.store.remove(documents.UPSTREAM_PREFIX + name))

    def pass_revision(self, revision: int) -> None:
        """Writes until the store has given out a revision again."""
        while self.store.state.revision <= revision:
            self.write_upstream("writer", service="other")

    def restore(self) -> None:
        """Restores the store from its copy."""
        self.run(self.store.restore())

    def poll(self, name: str) -> bool:
        """Makes an entry poll once."""
        found: bool = self.run(self.entries[name].poll())
        return found
