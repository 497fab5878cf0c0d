"""Membership: which entries exist and which of them are live.

These are two separate questions:

* Which entries *exist* is defined by the entry table. It changes only because
  the platform's VM list shows that a VM is gone, or because the entry itself
  finished leaving. Silence never changes it: a suspended process resumes and
  still assumes the home roles that it had.
* Which entries are *heard* changes with every heartbeat. It decides which
  entries lookups return and where work goes, never which entry has a home role.

While the platform is unavailable, the table stays as it is and everything
derived from it continues to work.
"""

from typing import NamedTuple

import xxhash

from almondstair.core.configuration import VersionReport
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.membership_records import ReceivedHeartbeat
from almondstair.core.membership_records import VmStatusReport
from almondstair.core.membership_records import incarnation_text

# The age stated by the VM list may be rounded, so absence counts only in a
# listing that is newer than the row by this much.
LISTING_MARGIN_S = 1.0
# Consecutive listings, each newer than the last, in which a VM must be absent.
ABSENT_LISTINGS = 2
# Incarnation of an entry known only from relays.
NO_INCARNATION = 0
# Lifetime of the cached live entries, which a deployment of the target size
# reads many times a second. Every change except the passing of time clears the
# cache, so only the detection of a silent entry is delayed by this much.
LIVE_CACHE_TTL_S = 0.1


class _LiveCache(NamedTuple):
    """The cached live entries.

    Attributes:
      rows: rows of the entries.
      names: names of the entries.
      computed_s: monotonic time of the computation.
      own_accepts_work: whether this entry accepted work at that time.
    """

    rows: tuple[EntryRow, ...] = ()
    names: frozenset[str] = frozenset()
    computed_s: float = float("-inf")
    own_accepts_work: bool = False


class Membership:
    """This entry's view of the entry table and of the live entries.

    Attributes:
      own: this entry's row.
      table: the entry table in force here; its epoch never decreases.
      joining: whether this entry does not accept new work yet.
      leaving: whether this entry no longer accepts new work.
    """

    def __init__(self, *, own: EntryRow, silence_limit_s: float) -> None:
        """Starts with the empty table.

        Args:
          own: this entry's row.
          silence_limit_s: age in seconds above which an entry is silent.
        """
        self.own = own
        self.table = EntryTable()
        self.joining = False
        self.leaving = False
        self._near_names: frozenset[str] = frozenset()
        self._near_limit_s = silence_limit_s
        self._far_limit_s = silence_limit_s
        self._heartbeats: dict[str, ReceivedHeartbeat] = {}
        self._own_report_s: dict[str, float] = {}
        self._replaced_incarnations: dict[str, int] = {}
        self._relayed_down: set[str] = set()
        self._row_first_seen_s: dict[str, float] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._marked_leaving: frozenset[str] = frozenset()
        self._absent_count: dict[str, int] = {}
        self._latest_listing_s = float("-inf")
        self._live_cache = _LiveCache()

    # The entry table.

    def replace_table(self, *, table: EntryTable, now_s: float) -> bool:
        """Applies a table if it is newer.

        A platform that was rolled back, or a peer that was suspended, serves an
        older table. Following it would give home roles back to entries that
        handed them over, so a table that is not newer is ignored.

        Returns:
          Whether the table was newer and is now in force.
        """
        if table.epoch <= self.table.epoch:
            return False
        self.table = table
        self._live_cache = _LiveCache()
        names = set(table.names())
        for name in names:
            self._row_first_seen_s.setdefault(name, now_s)
        for name in tuple(self._row_first_seen_s):
            if name not in names:
                self._forget(name)
        return True

    def _forget(self, name: str) -> None:
        self._row_first_seen_s.pop(name, None)
        self._absent_count.pop(name, None)
        self._heartbeats.pop(name, None)
        self._own_report_s.pop(name, None)
        self._replaced_incarnations.pop(name, None)
        self._relayed_down.discard(name)
        self._listed_leaving -= {name}

    def contains(self, *, name: str) -> bool:
        """Returns whether an entry is in the table, in constant time."""
        return name in self._row_first_seen_s

    @property
    def is_registered(self) -> bool:
        """Whether this process is in the table; if not, it has no home role.

        A row of an earlier process of this VM does not count: no entry knows
        which of its requests still run, so its row must be replaced first.
        """
        row = self.table.row(name=self.own.name)
        return row is not None and row.incarnation == self.own.incarnation

    def released_names(self) -> set[str]:
        """Returns the entries that reported the release of every home role."""
        names = set()
        for heartbeat in self._heartbeats.values():
            if heartbeat.finished and not self._is_from_replaced_process(
                heartbeat
            ):
                names.add(heartbeat.name)
        return names

    def _is_from_replaced_process(self, heartbeat: ReceivedHeartbeat) -> bool:
        # The report of a process that has left does not apply to its successor
        # on the same VM.
        row = self.table.row(name=heartbeat.name)
        if row is None:
            return True
        return row.incarnation != incarnation_text(heartbeat.incarnation)

    def gone_names(self) -> set[str]:
        """Returns the entries of the table that are certainly gone."""
        names = self.released_names()
        for name, count in self._absent_count.items():
            if count >= ABSENT_LISTINGS:
                names.add(name)
        return names

    def record_listing(self, *, listing: VmStatusReport, now_s: float) -> None:
        """Records an answer of the VM list.

        The list lags: it may still lack a VM that has just registered, and
        still contain one that is gone. The latter only delays a removal.
        Because of the former, a row counts as gone only if all of these hold:

        * the state in the listing is at least `LISTING_MARGIN_S` newer than
          this entry's first sight of the row, and so than the registration;
        * it is absent from `ABSENT_LISTINGS` consecutive listings, each newer;
        * it has not been heard since; an entry that sends is not gone;
        * the listing contains this entry, which is certainly alive.

        Args:
          listing: the answer.
          now_s: monotonic time.
        """
        if listing.as_of_s <= self._latest_listing_s:
            # From another replica, and older than a listing already read: it
            # may lack a VM that the newer one contains.
            return
        self._latest_listing_s = listing.as_of_s
        self._record_listed_leaving(listing)
        if self.own.name not in listing.listed:
            return
        for row in self.table.entries:
            if row.name in listing.listed:
                self._absent_count.pop(row.name, None)
                continue
            if self._absence_counts(row.name, listing, now_s):
                count = self._absent_count.get(row.name, 0) + 1
                self._absent_count[row.name] = count

    def _absence_counts(
        self, name: str, listing: VmStatusReport, now_s: float
    ) -> bool:
        first_seen_s = self._row_first_seen_s.get(name, now_s)
        if listing.as_of_s < first_seen_s + LISTING_MARGIN_S:
            return False
        heartbeat = self._heartbeats.get(name)
        return heartbeat is None or heartbeat.heard_s < listing.as_of_s

    def _record_listed_leaving(self, listing: VmStatusReport) -> None:
        # Only a newer listing of the VM clears its mark. Absence from the list
        # does not.
        retained = self._listed_leaving - listing.listed
        self._listed_leaving = retained | listing.leaving
        self._live_cache = _LiveCache()

    def planner_rank(self, *, now_s: float) -> int:
        """Returns this entry's rank for writing a planned change, 0 first.

        Every entry sees the same VM list. Without ranks, one lost VM would
        cause a compare-and-swap by each of 770 entries at the same time. The
        ranks differ by epoch, so that no entry is preferred, and include only
        live entries, so that a dead one causes no delay.
        """
        return _rank(
            self.own.name, self.live_entries(now_s=now_s), self.table.epoch
        )

    # Heartbeats.

    def record_heartbeat(self, heartbeat: ReceivedHeartbeat) -> bool:
        """Records a heartbeat received from the entry itself.

        Returns:
          Whether it is newer than the known one; an older one is ignored.
        """
        known = self._heartbeats.get(heartbeat.name)
        if known is not None:
            if heartbeat.incarnation == self._replaced_incarnations.get(
                heartbeat.name
            ):
                # The last frames of the old process, read after the first of
                # the new one. They would restore the old `finished`.
                return False
            if heartbeat.incarnation != known.incarnation:
                self._replaced_incarnations[heartbeat.name] = known.incarnation
            elif heartbeat.sequence <= known.sequence:
                return False
        self._heartbeats[heartbeat.name] = heartbeat
        self._own_report_s[heartbeat.name] = heartbeat.heard_s
        self._relayed_down.discard(heartbeat.name)
        self._absent_count.pop(heartbeat.name, None)
        if heartbeat.leaving or heartbeat.name not in self._live_cache.names:
            self._live_cache = _LiveCache()
        return True

    def record_relayed(
        self, *, name: str, heard_s: float, configuration_version: int
    ) -> None:
        """Records a relayed report that an entry is live, and its version.

        A relayed report shows that an entry runs and accepts work. It
        acknowledges nothing, and overrides the entry's own report only once
        that has expired.

        Args:
          name: name of the entry.
          heard_s: when it was last heard, on this entry's clock.
          configuration_version: version that it had in force then.
        """
        if name == self.own.name or not self.contains(name=name):
            return
        known = self._heartbeats.get(name)
        if known is None:
            known = ReceivedHeartbeat(
                name=name,
                incarnation=NO_INCARNATION,
                sequence=0,
                epoch=0,
                configuration_version=0,
                leaving=False,
                finished=False,
                heard_s=float("-inf"),
            )
        if known.heard_s >= heard_s:
            return
        self._relayed_down.discard(name)
        self._heartbeats[name] = known._replace(
            heard_s=heard_s,
            configuration_version=configuration_version,
            leaving=known.leaving and self._own_report_counts(name, heard_s),
        )
        if name not in self._live_cache.names:
            self._live_cache = _LiveCache()

    def _own_report_counts(self, name: str, relayed_s: float) -> bool:
        """Returns whether an entry's own report overrides a later relayed one.

        While the table is small, a joining entry reports so to all. Once the
        table has grown, it sends heartbeats to its own zone only, and other
        zones would consider it joining forever although every digest reports
        it as live.
        """
        if name in self._near_names:
            return True
        own_report_s = self._own_report_s.get(name, float("-inf"))
        return relayed_s - own_report_s <= self._far_limit_s

    def mark_relayed_down(self, *, name: str) -> None:
        """Records a relayed report that an entry is silent or leaving.

        It applies until the entry or a relay reports otherwise, and only keeps
        new work away.
        """
        self._relayed_down.add(name)
        if name in self._live_cache.names:
            self._live_cache = _LiveCache()

    def last_heartbeat(self, *, name: str) -> ReceivedHeartbeat | None:
        """Returns the latest known state of an entry, None if never heard."""
        return self._heartbeats.get(name)

    def age_s(self, *, name: str, now_s: float) -> float:
        """Returns the time since an entry was heard; infinity if never."""
        if name == self.own.name:
            return 0.0
        heartbeat = self._heartbeats.get(name)
        if heartbeat is None:
            return float("inf")
        return max(0.0, now_s - heartbeat.heard_s)

    def version_reports(
        self, *, own_version: int, now_s: float
    ) -> tuple[VersionReport, ...]:
        """Returns a report of the version in force for each entry.

        Args:
          own_version: version that this entry has in force.
          now_s: monotonic time.
        """
        reports = []
        for row in self.table.entries:
            age_s = self.age_s(name=row.name, now_s=now_s)
            version = self._version_of(row.name, own_version)
            reports.append(VersionReport(row.name, version, age_s))
        return tuple(reports)

    def _version_of(self, name: str, own_version: int) -> int:
        if name == self.own.name:
            return own_version
        heartbeat = self._heartbeats.get(name)
        if heartbeat is None:
            return 0
        return heartbeat.configuration_version

    def highest_version(self, *, own_version: int) -> int:
        """Returns the highest known configuration version, own included."""
        highest = own_version
        for heartbeat in self._heartbeats.values():
            highest = max(highest, heartbeat.configuration_version)
        return highest

    @property
    def is_behind(self) -> bool:
        """Whether another entry reported a higher epoch.

        An entry that is behind must not take on a home role before it has read
        the newer table, from the platform or from that peer: a platform that
        was rolled back may have served it a table that the others never had.
        """
        for heartbeat in self._heartbeats.values():
            if heartbeat.epoch > self.table.epoch:
                return True
        return False

    def is_silent(self, *, name: str, now_s: float) -> bool:
        """Returns whether an entry's last heartbeat is older than its limit."""
        limit_s = self._far_limit_s
        if name in self._near_names:
            limit_s = self._near_limit_s
        return self.age_s(name=name, now_s=now_s) > limit_s

    def set_silence_limits(
        self, *, near_names: frozenset[str], near_s: float, far_s: float
    ) -> None:
        """Sets the silence limits to match the heartbeat intervals.

        Args:
          near_names: entries that send their own heartbeats to this one.
          near_s: limit for them in seconds.
          far_s: limit in seconds for the others, known from relayed digests.
        """
        self._near_names = near_names
        self._near_limit_s = near_s
        self._far_limit_s = far_s
        self._live_cache = _LiveCache()

    # Leaving.

    def set_marked_leaving(self, *, names: frozenset[str]) -> None:
        """Sets the operators' leaving marks of the configuration in force."""
        self._marked_leaving = names
        self._live_cache = _LiveCache()

    @property
    def accepts_work(self) -> bool:
        """Whether this entry accepts new work."""
        return not self.joining and not self.leaving

    def is_leaving(self, *, name: str) -> bool:
        """Returns whether any source reports that an entry is leaving.

        The sources are the entry's own report, the operators' marks and the VM
        list; a source without a report does not override another.
        """
        if name in self._marked_leaving or name in self._listed_leaving:
            return True
        if name == self.own.name:
            return not self.accepts_work
        heartbeat = self._heartbeats.get(name)
        return heartbeat is not None and heartbeat.leaving

    def live_entries(self, *, now_s: float) -> tuple[EntryRow, ...]:
        """Returns the entries that accept new work: not silent, not leaving."""
        cached = self._live_cache
        cache_age_s = now_s - cached.computed_s
        if (
            0 <= cache_age_s < LIVE_CACHE_TTL_S
            and cached.own_accepts_work == self.accepts_work
        ):
            return cached.rows
        rows = self._live_rows(now_s=now_s)
        names = frozenset(row.name for row in rows)
        self._live_cache = _LiveCache(rows, names, now_s, self.accepts_work)
        return rows

    def _live_rows(self, *, now_s: float) -> tuple[EntryRow, ...]:
        rows = []
        for row in self.table.entries:
            if self.is_leaving(name=row.name):
                continue
            if row.name in self._relayed_down:
                continue
            if self.is_silent(name=row.name, now_s=now_s):
                continue
            rows.append(row)
        return tuple(rows)

    def all_heard(self, *, now_s: float) -> bool:
        """Returns whether every silent entry of the table is certainly gone."""
        return set(self.silent_names(now_s=now_s)) <= self.gone_names()

    def silent_names(self, *, now_s: float) -> tuple[str, ...]:
        """Returns the names of the silent entries."""
        names = []
        for row in self.table.entries:
            if self.is_silent(name=row.name, now_s=now_s):
                names.append(row.name)
        return tuple(names)


def _rank(name: str, rows: tuple[EntryRow, ...], epoch: int) -> int:
    own_score = _rank_score(name, epoch)
    rank = 0
    for row in rows:
        if row.name != name and _rank_score(row.name, epoch) > own_score:
            rank += 1
    return rank


def _rank_score(name: str, epoch: int) -> int:
    return xxhash.xxh64_intdigest(f"{epoch}/{name}".encode())
