"""Who is an entry, who is heard, and when the entry table changes.

Two questions are kept apart on purpose:

* Which entries *exist* is the entry table. It changes only because the
  platform's VM list shows that a VM is gone, or because the entry itself
  finished leaving. Silence never changes it: a frozen process wakes up and
  still believes in the duties that it had.
* Which entries are *heard* changes with every heartbeat. It decides whom
  look-ups name and where work goes, never who owns what.

While the platform is out the table stands still and everything built on it
goes on.
"""

from typing import NamedTuple

import xxhash

from almondstair.core.configuration import VersionReport
from almondstair.core.entry_table import EntryRow
from almondstair.core.entry_table import EntryTable
from almondstair.core.membership_records import Heard
from almondstair.core.membership_records import VmObservation
from almondstair.core.membership_records import incarnation_text

# An age that the VM list states may be rounded; absence counts only from a
# listing that is newer than the row by this much.
LISTING_MARGIN_S = 1.0
# Listings in a row, each newer than the last, that must lack a VM.
LISTINGS_LACKING = 2
# Incarnation of an entry known only from relays.
NO_INCARNATION = 0
# At the target size the live entries are asked for many times a second, while
# all that changes them but the passing of time is known here. So an entry that
# falls silent may be found out this much later.
LIVE_KEPT_S = 0.1


class _Live(NamedTuple):
    """The live entries as they were worked out last.

    Attributes:
      rows: the entries.
      names: their names.
      worked_out_s: when.
      own_works: whether this entry took work then.
    """

    rows: tuple[EntryRow, ...] = ()
    names: frozenset[str] = frozenset()
    worked_out_s: float = float("-inf")
    own_works: bool = False


class Membership:
    """One entry's view of the entry table and of who is heard.

    Attributes:
      own: this entry's row.
      table: the entry table in force here; its epoch never falls.
      joining: whether this entry does not take new work yet.
      leaving: whether this entry takes no new work any more.
    """

    def __init__(self, *, own: EntryRow, silence_limit_s: float) -> None:
        """Starts with the empty table.

        Args:
          own: this entry's row.
          silence_limit_s: age past which an entry counts as unheard.
        """
        self.own = own
        self.table = EntryTable()
        self.joining = False
        self.leaving = False
        self._near_names: frozenset[str] = frozenset()
        self._near_limit_s = silence_limit_s
        self._far_limit_s = silence_limit_s
        self._heard: dict[str, Heard] = {}
        self._own_word_s: dict[str, float] = {}
        self._replaced: dict[str, int] = {}
        self._relayed_down: set[str] = set()
        self._row_first_seen_s: dict[str, float] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._marked_leaving: frozenset[str] = frozenset()
        self._lacking_count: dict[str, int] = {}
        self._newest_listing_s = float("-inf")
        self._live = _Live()

    # The entry table.

    def replace_table(self, *, table: EntryTable, now_s: float) -> bool:
        """Takes a newer table over.

        A platform that was rolled back, or a peer that slept, serves an older
        table. Following it would give duties back to entries that handed them
        over, so a table that is not newer is ignored.

        Returns:
          Whether the table was newer and is now in force.
        """
        if table.epoch <= self.table.epoch:
            return False
        self.table = table
        self._live = _Live()
        names = set(table.names())
        for name in names:
            self._row_first_seen_s.setdefault(name, now_s)
        for name in tuple(self._row_first_seen_s):
            if name not in names:
                self._forget(name)
        return True

    def _forget(self, name: str) -> None:
        self._row_first_seen_s.pop(name, None)
        self._lacking_count.pop(name, None)
        self._heard.pop(name, None)
        self._own_word_s.pop(name, None)
        self._replaced.pop(name, None)
        self._relayed_down.discard(name)
        self._listed_leaving -= {name}

    def holds(self, *, name: str) -> bool:
        """Returns whether an entry is in the table, without a search."""
        return name in self._row_first_seen_s

    @property
    def registered(self) -> bool:
        """Whether this process is in the table, without which it has no duty.

        A row of an earlier process of this VM does not count: what that one
        left running is known to nobody, so its row must be replaced first.
        """
        row = self.table.row(name=self.own.name)
        return row is not None and row.incarnation == self.own.incarnation

    def released_names(self) -> set[str]:
        """Returns the entries that said that they gave up every duty."""
        names = set()
        for heard in self._heard.values():
            if heard.finished and not self._is_replaced(heard):
                names.add(heard.name)
        return names

    def _is_replaced(self, heard: Heard) -> bool:
        # The word of a process that has left says nothing of its successor on
        # the same VM.
        row = self.table.row(name=heard.name)
        if row is None:
            return True
        return row.incarnation != incarnation_text(heard.incarnation)

    def gone_names(self) -> set[str]:
        """Returns the entries of the table that are surely gone."""
        names = self.released_names()
        for name, count in self._lacking_count.items():
            if count >= LISTINGS_LACKING:
                names.add(name)
        return names

    def observe(self, *, listing: VmObservation, now_s: float) -> None:
        """Notes an answer of the VM list.

        The list lags: it may still lack a VM that just registered and still
        hold one that is gone. The second only delays a drop. Against the
        first, a row counts as gone only if all of these hold:

        * the listing describes a moment after this entry first saw the row,
          and so after the registration, by `LISTING_MARGIN_S`;
        * `LISTINGS_LACKING` listings in a row, each newer, lacked it;
        * it has not been heard since; an entry that speaks is not gone;
        * the listing holds its reader, who is surely alive.

        Args:
          listing: the answer.
          now_s: monotonic time.
        """
        if listing.described_s <= self._newest_listing_s:
            # Another replica of the list, older than one already read: it may
            # lack a VM that the newer one had.
            return
        self._newest_listing_s = listing.described_s
        self._note_leaving(listing)
        if self.own.name not in listing.listed:
            return
        for row in self.table.entries:
            if row.name in listing.listed:
                self._lacking_count.pop(row.name, None)
                continue
            if self._absence_counts(row.name, listing, now_s):
                count = self._lacking_count.get(row.name, 0) + 1
                self._lacking_count[row.name] = count

    def _absence_counts(
        self, name: str, listing: VmObservation, now_s: float
    ) -> bool:
        first_seen_s = self._row_first_seen_s.get(name, now_s)
        if listing.described_s < first_seen_s + LISTING_MARGIN_S:
            return False
        heard = self._heard.get(name)
        return heard is None or heard.heard_s < listing.described_s

    def _note_leaving(self, listing: VmObservation) -> None:
        # Only a newer word of the list takes its mark back. A VM that the
        # list lacks keeps its mark: that is silence.
        kept = self._listed_leaving - listing.listed
        self._listed_leaving = kept | listing.leaving
        self._live = _Live()

    def planner_rank(self, *, now_s: float) -> int:
        """Returns this entry's turn to write a planned change, 0 first.

        Every entry sees the same VM list. Without an order, one lost VM would
        cost a compare-and-swap by each of 770 entries in the same moment. The
        order is drawn anew for each epoch, so no entry is special, and goes
        over those heard, so that a dead one delays nobody.
        """
        return _rank(self.own.name, self.live(now_s=now_s), self.table.epoch)

    # Heartbeats.

    def heard(self, heard: Heard) -> bool:
        """Notes a heartbeat that came from the entry itself.

        Returns:
          Whether it is newer than what was known; a late one is ignored.
        """
        known = self._heard.get(heard.name)
        if known is not None:
            if heard.incarnation == self._replaced.get(heard.name):
                # The last frames of the old process, read after the first of
                # the new one. They would bring back its `finished`.
                return False
            if heard.incarnation != known.incarnation:
                self._replaced[heard.name] = known.incarnation
            elif heard.sequence <= known.sequence:
                return False
        self._heard[heard.name] = heard
        self._own_word_s[heard.name] = heard.heard_s
        self._relayed_down.discard(heard.name)
        self._lacking_count.pop(heard.name, None)
        if heard.leaving or heard.name not in self._live.names:
            self._live = _Live()
        return True

    def heard_of(
        self, *, name: str, heard_s: float, configuration_version: int
    ) -> None:
        """Notes that a relay heard an entry and which version it had.

        A relay's word shows that an entry runs and takes work. It acknowledges
        nothing, and undoes what the entry said of itself only once that is too
        old to count.

        Args:
          name: the entry.
          heard_s: when it was last heard, on this entry's clock.
          configuration_version: version that it had in force then.
        """
        if name == self.own.name or not self.holds(name=name):
            return
        known = self._heard.get(name)
        if known is None:
            known = Heard(
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
        self._heard[name] = known._replace(
            heard_s=heard_s,
            configuration_version=configuration_version,
            leaving=known.leaving and self._word_counts(name, heard_s),
        )
        if name not in self._live.names:
            self._live = _Live()

    def _word_counts(self, name: str, relayed_s: float) -> bool:
        """Says whether an entry's own word outweighs a relay's later one.

        An entry that joins tells so to all while the table is small. Once the
        table has grown it speaks to its own zone only, and beyond it would be
        taken to be joining for ever, though every digest has it as live.
        """
        if name in self._near_names:
            return True
        own_word_s = self._own_word_s.get(name, float("-inf"))
        return relayed_s - own_word_s <= self._far_limit_s

    def not_live(self, *, name: str) -> None:
        """Notes that a relay says that an entry is unheard or leaving.

        It holds until the entry or a relay says otherwise, and only keeps new
        work away.
        """
        self._relayed_down.add(name)
        if name in self._live.names:
            self._live = _Live()

    def last_heard(self, *, name: str) -> Heard | None:
        """Returns the latest that an entry said of itself, None if nothing."""
        return self._heard.get(name)

    def age_s(self, *, name: str, now_s: float) -> float:
        """Returns an entry's silence so far; infinity if never heard."""
        if name == self.own.name:
            return 0.0
        heard = self._heard.get(name)
        if heard is None:
            return float("inf")
        return max(0.0, now_s - heard.heard_s)

    def version_reports(
        self, *, own_version: int, now_s: float
    ) -> tuple[VersionReport, ...]:
        """Returns one report of the version in force for each entry.

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
        heard = self._heard.get(name)
        if heard is None:
            return 0
        return heard.configuration_version

    def highest_version(self, *, own_version: int) -> int:
        """Returns the highest configuration version known of, own included."""
        highest = own_version
        for heard in self._heard.values():
            highest = max(highest, heard.configuration_version)
        return highest

    @property
    def is_behind(self) -> bool:
        """Whether an entry was heard that acts on a higher epoch.

        An entry that is behind must take no new duty before it has read the
        newer table, from the platform or from that peer: a rolled-back
        platform could have given it a table that the others never had.
        """
        for heard in self._heard.values():
            if heard.epoch > self.table.epoch:
                return True
        return False

    def is_silent(self, *, name: str, now_s: float) -> bool:
        """Returns whether an entry's last heartbeat is past the limit."""
        limit_s = self._far_limit_s
        if name in self._near_names:
            limit_s = self._near_limit_s
        return self.age_s(name=name, now_s=now_s) > limit_s

    def set_silence_limits(
        self, *, near_names: frozenset[str], near_s: float, far_s: float
    ) -> None:
        """Fits the limits to how often heartbeats come.

        Args:
          near_names: entries that send their own heartbeats to this one.
          near_s: limit for them.
          far_s: limit for the rest, known from relayed digests.
        """
        self._near_names = near_names
        self._near_limit_s = near_s
        self._far_limit_s = far_s
        self._live = _Live()

    # Leaving.

    def mark_leaving(self, *, names: frozenset[str]) -> None:
        """Sets the operators' marks, as the configuration in force has them."""
        self._marked_leaving = names
        self._live = _Live()

    @property
    def takes_work(self) -> bool:
        """Whether this entry tells others to send it new work."""
        return not self.joining and not self.leaving

    def is_leaving(self, *, name: str) -> bool:
        """Returns whether any source says that an entry leaves.

        The entry's own word, the operators' marks and the VM list count each;
        silence of one does not undo another.
        """
        if name in self._marked_leaving or name in self._listed_leaving:
            return True
        if name == self.own.name:
            return not self.takes_work
        heard = self._heard.get(name)
        return heard is not None and heard.leaving

    def live(self, *, now_s: float) -> tuple[EntryRow, ...]:
        """Returns the entries that take new work: heard and not leaving."""
        kept = self._live
        kept_s = now_s - kept.worked_out_s
        if 0 <= kept_s < LIVE_KEPT_S and kept.own_works == self.takes_work:
            return kept.rows
        rows = self._live_rows(now_s=now_s)
        names = frozenset(row.name for row in rows)
        self._live = _Live(rows, names, now_s, self.takes_work)
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
        """Returns whether each entry of the table is heard or surely gone."""
        return set(self.silent(now_s=now_s)) <= self.gone_names()

    def silent(self, *, now_s: float) -> tuple[str, ...]:
        """Returns the names of the entries past the silence limit."""
        names = []
        for row in self.table.entries:
            if self.is_silent(name=row.name, now_s=now_s):
                names.append(row.name)
        return tuple(names)


def _rank(name: str, rows: tuple[EntryRow, ...], epoch: int) -> int:
    own_weight = _turn_weight(name, epoch)
    rank = 0
    for row in rows:
        if row.name != name and _turn_weight(row.name, epoch) > own_weight:
            rank += 1
    return rank


def _turn_weight(name: str, epoch: int) -> int:
    return xxhash.xxh64_intdigest(f"{epoch}/{name}".encode())
