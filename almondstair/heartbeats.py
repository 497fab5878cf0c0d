"""Sends heartbeats on a timer and applies the ones received from peers."""

from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from tornado.ioloop import PeriodicCallback

from almondstair.core.configuration import ConfigurationState
from almondstair.core.entry_table import EntryRow
from almondstair.core.heartbeat_payloads import DigestStore
from almondstair.core.heartbeat_payloads import GroupView
from almondstair.core.heartbeat_payloads import MemberStatus
from almondstair.core.heartbeat_payloads import ServiceLoad
from almondstair.core.heartbeat_payloads import StatusDetail
from almondstair.core.heartbeat_payloads import ZoneDigest
from almondstair.core.heartbeat_payloads import detail_for_far_entries
from almondstair.core.heartbeat_payloads import make_digest
from almondstair.core.heartbeat_payloads import make_view
from almondstair.core.heartbeat_payloads import names_by_zone
from almondstair.core.heartbeat_payloads import read_digest
from almondstair.core.heartbeat_payloads import read_view
from almondstair.core.heartbeats import DIGESTS_TO_FAR
from almondstair.core.heartbeats import DIGESTS_TO_NEAR
from almondstair.core.heartbeats import FAR_SILENCE_S
from almondstair.core.heartbeats import HeartbeatScheduler
from almondstair.core.membership import Membership
from almondstair.core.membership_records import ReceivedHeartbeat
from almondstair.messages import Heartbeat
from almondstair.peers import Peers


class ReceivedDetail(NamedTuple):
    """Holds the status that an entry reported and when it arrived.

    Attributes:
      detail: the status of its upstreams.
      received_s: monotonic time of arrival in seconds.
    """

    detail: StatusDetail
    received_s: float


class Heartbeats:
    """Sends this entry's heartbeats and stores what the peers report.

    Attributes:
      details: latest upstream status of each entry that sends heartbeats with
        details to this one, by entry name.
      digests: digests of the other availability zones.
    """

    def __init__(
        self,
        *,
        own: EntryRow,
        membership: Membership,
        configuration: ConfigurationState,
        peers: Peers,
        clock: Callable[[], float],
        own_detail: Callable[[], StatusDetail],
        piggybacked_messages: Callable[[str], Sequence[NamedTuple]],
        interval_ms: int,
        silence_limit_ms: int,
    ) -> None:
        """Creates the timer; nothing is sent before `start`.

        Args:
          own: this entry.
          membership: which entries are known, alive or leaving.
          configuration: the configuration in force on this entry.
          peers: sockets to the other entries.
          clock: returns monotonic seconds.
          own_detail: returns the status of this entry's upstreams.
          piggybacked_messages: returns messages of other protocols to send
            with the heartbeat to an entry, in the same packet.
          interval_ms: time between two rounds of heartbeats.
          silence_limit_ms: minimum age of the last heartbeat at which an entry
            counts as silent.
        """
        self._own = own
        self._membership = membership
        self._configuration = configuration
        self._peers = peers
        self._clock = clock
        self._own_detail = own_detail
        self._piggybacked_messages = piggybacked_messages
        self._silence_limit_s = silence_limit_ms / 1000
        self._scheduler = HeartbeatScheduler(
            own=own, interval_s=interval_ms / 1000
        )
        self._timer = PeriodicCallback(self.send_round, interval_ms)
        self._sequence = 0
        self._finished = False
        self._zone_names: list[str] = []
        self._names_by_zone: dict[str, list[str]] = {}
        self._detail_names: frozenset[str] = frozenset()
        self.details: dict[str, ReceivedDetail] = {}
        self.digests = DigestStore()

    def start(self) -> None:
        """Starts the timer on the current loop."""
        self._timer.start()

    def stop(self) -> None:
        """Stops the timer."""
        self._timer.stop()

    def update_receivers(self, *, partners: Iterable[str] = ()) -> None:
        """Recomputes the receivers for a new entry table or configuration.

        Args:
          partners: entries that are home or successor of an upstream together
            with this one.
        """
        membership = self._membership
        self._peers.set_rows(membership.table.entries)
        self._scheduler.set_table(table=membership.table, partners=partners)
        # The first send to a peer only opens the connection and is lost. In a
        # large group the next heartbeat would follow seconds later.
        for name in self._scheduler.receiver_names:
            self._peers.connect(name)
        self._detail_names = self._scheduler.detail_names
        self._names_by_zone = names_by_zone(table=membership.table)
        own_zone = self._own.availability_zone
        self._zone_names = self._names_by_zone.get(own_zone, [])
        membership.set_silence_limits(
            near_names=self._scheduler.near_names,
            near_s=self._scheduler.silence_limit_s(
                min_limit_s=self._silence_limit_s
            ),
            far_s=FAR_SILENCE_S,
        )
        for name in tuple(self.details):
            if name not in self._detail_names:
                del self.details[name]

    def send_now(self, *, finished: bool = False) -> None:
        """Sends heartbeats to near group and partners now, e.g. when leaving.

        Args:
          finished: reports, from now on, that this entry has released all its
            home roles for good.
        """
        self._finished = self._finished or finished
        self._sequence += 1
        detail = self._own_detail()
        for name in sorted(self._detail_names):
            self._send(name, detail, None, ())

    def send_round(self) -> None:
        """Sends the heartbeats that are due in this round."""
        now_s = self._clock()
        self._sequence += 1
        targets = self._scheduler.tick()
        detail = self._own_detail()
        view = None
        if targets.with_view:
            view = self._view(now_s)
        for name in targets.near:
            digests: tuple[ZoneDigest, ...] = ()
            if targets.with_view:
                digests = self.digests.next_digests(
                    count=DIGESTS_TO_NEAR, now_s=now_s
                )
            self._send(name, detail, view, digests)
        for name in targets.partners:
            self._send(name, detail, None, ())
        for name in targets.far:
            digests = self._far_digests(now_s)
            self._send(name, detail_for_far_entries(detail), None, digests)

    def _send(
        self,
        name: str,
        detail: StatusDetail | None,
        view: GroupView | None,
        digests: tuple[ZoneDigest, ...],
    ) -> None:
        heartbeat = Heartbeat(
            sequence=self._sequence,
            epoch=self._membership.table.epoch,
            configuration_version=self._configuration.version,
            leaving=not self._membership.accepts_work,
            finished=self._finished,
            detail=detail,
            view=view,
            digests=digests,
            sent_s=round(self._clock(), 4),
        )
        self._peers.send(name, heartbeat, *self._piggybacked_messages(name))

    def _zone_statuses(self, now_s: float) -> list[MemberStatus]:
        membership = self._membership
        statuses = []
        for name in self._zone_names:
            version = self._configuration.version
            latest = membership.last_heartbeat(name=name)
            if name != self._own.name:
                version = latest.configuration_version if latest else 0
            live = not membership.is_leaving(name=name)
            live = live and not membership.is_silent(name=name, now_s=now_s)
            age_s = membership.age_s(name=name, now_s=now_s)
            statuses.append(MemberStatus(name, live, age_s, version))
        return statuses

    def _view(self, now_s: float) -> GroupView:
        return make_view(
            epoch=self._membership.table.epoch,
            members=self._zone_statuses(now_s),
            configuration_version=self._highest_version(),
        )

    def _highest_version(self) -> int:
        return self._membership.highest_version(
            own_version=self._configuration.version
        )

    def _far_digests(self, now_s: float) -> tuple[ZoneDigest, ...]:
        own = make_digest(
            availability_zone=self._own.availability_zone,
            epoch=self._membership.table.epoch,
            members=self._zone_statuses(now_s),
            version=self._highest_version(),
            loads=self.zone_loads(now_s=now_s),
        )
        others = self.digests.next_digests(
            count=DIGESTS_TO_FAR - 1, now_s=now_s
        )
        return (own,) + others

    def zone_loads(self, *, now_s: float) -> tuple[ServiceLoad, ...]:
        """Returns the load of this zone's live entries, summed by service."""
        loads: dict[str, ServiceLoad] = {}
        _add_loads(loads, self._own_detail().loads, 0)
        for name in self._zone_names:
            reported = self.details.get(name)
            if reported is None:
                continue
            if self._membership.is_silent(name=name, now_s=now_s):
                continue
            age_ms = int((now_s - reported.received_s) * 1000)
            _add_loads(loads, reported.detail.loads, age_ms)
        return tuple(loads.values())

    def receive(
        self, *, name: str, incarnation: int, heartbeat: Heartbeat
    ) -> bool:
        """Applies a heartbeat from a peer.

        Args:
          name: name of the sender.
          incarnation: incarnation of the sender.
          heartbeat: the heartbeat.

        Returns:
          Whether it was accepted. A late heartbeat, or one of an entry that is
          not in the table, is ignored.
        """
        now_s = self._clock()
        if not self._membership.contains(name=name):
            return False
        if not self._membership.record_heartbeat(
            _received_heartbeat(name, incarnation, heartbeat, now_s)
        ):
            return False
        if heartbeat.detail is not None and name in self._detail_names:
            self.details[name] = ReceivedDetail(heartbeat.detail, now_s)
        if heartbeat.view is not None:
            self._apply_view(heartbeat.view, now_s)
        for digest in heartbeat.digests:
            self._apply_digest(digest, now_s)
        return True

    def _apply_view(self, view: GroupView, now_s: float) -> None:
        if view.epoch != self._membership.table.epoch:
            # Names in another table have another order, so the statuses would
            # be assigned to the wrong entries.
            return
        for status in read_view(view=view, names=self._zone_names):
            self._membership.record_relayed(
                name=status.name,
                heard_s=now_s - status.age_s,
                configuration_version=status.version,
            )

    def _apply_digest(self, digest: ZoneDigest, now_s: float) -> None:
        if digest.availability_zone == self._own.availability_zone:
            return
        if not self.digests.store_if_fresher(digest=digest, now_s=now_s):
            return
        if digest.epoch != self._membership.table.epoch:
            return
        names = self._names_by_zone.get(digest.availability_zone, [])
        for status in read_digest(digest=digest, names=names):
            if not status.live:
                self._membership.mark_relayed_down(name=status.name)
                continue
            self._membership.record_relayed(
                name=status.name,
                heard_s=now_s - status.age_s,
                configuration_version=status.version,
            )


def _received_heartbeat(
    name: str, incarnation: int, heartbeat: Heartbeat, now_s: float
) -> ReceivedHeartbeat:
    return ReceivedHeartbeat(
        name=name,
        incarnation=incarnation,
        sequence=heartbeat.sequence,
        epoch=heartbeat.epoch,
        configuration_version=heartbeat.configuration_version,
        leaving=heartbeat.leaving,
        finished=heartbeat.finished,
        heard_s=now_s,
    )


def _add_loads(
    sums: dict[str, ServiceLoad], loads: Iterable[ServiceLoad], age_ms: int
) -> None:
    for load in loads:
        total = sums.get(load.service, ServiceLoad(load.service, 0, 0, 0))
        sums[load.service] = ServiceLoad(
            service=load.service,
            slots=total.slots + load.slots,
            free_slots=total.free_slots + load.free_slots,
            age_ms=max(total.age_ms, load.age_ms + age_ms),
        )
