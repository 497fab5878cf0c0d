"""Entries reduced to heartbeats, over real sockets or in simulated time."""

import random

import zmq

from almondstair import messages
from almondstair.core.configuration import ConfigurationState
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.heartbeat_payloads import ServiceLoad
from almondstair.core.heartbeat_payloads import StatusDetail
from almondstair.core.heartbeats import PACKET_OVERHEAD_BYTES
from almondstair.core.membership import Membership
from almondstair.heartbeats import Heartbeats
from almondstair.peers import Peers

INTERVAL_MS = 250
SILENCE_LIMIT_MS = 1500
FIRST_PORT = 27200


def make_table(count: int, zones: int) -> EntryTable:
    rows = []
    for number in range(count):
        zone = number % zones
        address = f"127.0.0.1:{FIRST_PORT + number}"
        rows.append(
            EntryRow(
                f"entry-{number:03d}",
                f"region{zone * 4 // max(zones, 4)}-{zone:02d}",
                f"region{zone * 4 // max(zones, 4)}",
                address,
                address,
                address,
                address,
            )
        )
    return EntryTable(1, tuple(rows))


def two_services() -> StatusDetail:
    return StatusDetail(
        loads=(
            ServiceLoad("matching", 12, 7, 40),
            ServiceLoad("statements", 9, 2, 130),
        )
    )


class Entry:
    """An entry without the components that serve callers."""

    def __init__(self, own, table, clock, peers=None):
        """Opens no socket if `peers` are given."""
        self.own = own
        self.membership = Membership(
            own=own, silence_limit_s=SILENCE_LIMIT_MS / 1000
        )
        self.membership.replace_table(table=table, now_s=clock())
        self.configuration = ConfigurationState()
        self.configuration.apply_if_newer(
            StoredConfiguration(1, "1", "", "", "")
        )
        self.peers = peers
        if peers is None:
            self.peers = Peers(
                context=zmq.Context.instance(),
                name=own.name,
                incarnation=1,
                peer_address=own.peer_address,
                on_message=self.receive,
            )
        self.heartbeats = Heartbeats(
            own=own,
            membership=self.membership,
            configuration=self.configuration,
            peers=self.peers,
            clock=clock,
            own_detail=two_services,
            piggybacked_messages=lambda name: (),
            interval_ms=INTERVAL_MS,
            silence_limit_ms=SILENCE_LIMIT_MS,
        )
        self.heartbeats.update_receivers()

    def receive(self, name, incarnation, message):
        """Passes a received message to the heartbeats."""
        self.heartbeats.receive(
            name=name, incarnation=incarnation, heartbeat=message
        )


def oldest_age_s(entries, now_s: float) -> float:
    oldest_s = 0.0
    for entry in entries:
        for row in entry.membership.table.entries:
            age_s = entry.membership.age_s(name=row.name, now_s=now_s)
            oldest_s = max(oldest_s, age_s)
    return oldest_s


class HeartbeatSimulation:
    """Runs the entries of a table in simulated time without sockets.

    Each entry sends once per interval, each at a different time; messages
    arrive immediately.

    Attributes:
      pulls_configuration: whether an entry copies a newer configuration from
        the sender of a heartbeat.
    """

    def __init__(self, count: int, zones: int) -> None:
        """Creates the entries; none has sent yet."""
        self.now_s = 0.0
        self.sent_bytes = 0
        self.pulls_configuration = False
        self.entries: dict[str, Entry] = {}
        table = make_table(count, zones)
        for row in table.entries:
            self.entries[row.name] = Entry(
                row, table, lambda: self.now_s, SimulatedPeers(self, row.name)
            )
        self.order = list(self.entries.values())
        random.Random(1).shuffle(self.order)

    def run(self, seconds: float) -> None:
        """Sends a heartbeat round of every entry once per interval."""
        step_s = INTERVAL_MS / 1000 / len(self.order)
        for _ in range(int(seconds * 1000 / INTERVAL_MS)):
            for entry in self.order:
                self.now_s += step_s
                entry.heartbeats.send_round()

    def deliver(self, sender_name: str, name: str, frame: bytes) -> None:
        """Delivers a frame, and a newer configuration if it is pulled."""
        entry = self.entries[name]
        heartbeat = messages.decode(frame)
        entry.receive(sender_name, 1, heartbeat)
        newer = heartbeat.configuration_version > entry.configuration.version
        if self.pulls_configuration and newer:
            sender = self.entries[sender_name]
            entry.configuration.apply_if_newer(sender.configuration.in_force)


class SimulatedPeers:
    """Replaces the sockets of one entry."""

    def __init__(self, simulation: HeartbeatSimulation, name: str) -> None:
        """Creates the peers of the entry `name`."""
        self.simulation = simulation
        self.name = name

    def set_rows(self, rows) -> None:
        """Does nothing; deliveries need no addresses."""
        del rows

    def connect(self, name: str) -> None:
        """Does nothing; deliveries need no connection."""
        del name

    def send(self, name: str, *parts) -> bool:
        """Delivers messages immediately and counts their bytes."""
        self.simulation.sent_bytes += PACKET_OVERHEAD_BYTES
        for message in parts:
            frame = messages.encode(message)
            self.simulation.sent_bytes += len(frame)
            self.simulation.deliver(self.name, name, frame)
        return True
