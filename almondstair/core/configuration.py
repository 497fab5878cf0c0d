"""Versions of the configuration: which is in force, and the fate of an edit.

Three rules carry the promise that a configuration seen accepted is in force
everywhere and never reverts:

* An entry applies only a version above the one it has, whoever serves it.
* An edit is a compare-and-swap on the version that the operator read, with an
  id by which it is found again after a lost answer.
* An edit is *accepted* only once every entry of the entry table said in a
  fresh heartbeat that it has that version, or a later one, in force.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

# Edits named in the document itself, by which a lost answer is resolved.
RECENT_EDITS = 50


class EditNote(NamedTuple):
    """Who made one edit, without its text.

    Attributes:
      version: version that it made.
      edit_id: id that the editing side drew.
      author: who made it.
      edited_at: date and time by the author's clock, for people only.
    """

    version: int
    edit_id: str
    author: str
    edited_at: str


class StoredConfiguration(NamedTuple):
    """The configuration as the platform keeps it.

    Attributes:
      version: grows by at least one with each edit.
      edit_id: id of the edit that made it.
      author: who made it.
      edited_at: date and time by the author's clock, for people only.
      text: the document in TOML, comments included.
      recent: the latest edits, this one first.
    """

    version: int
    edit_id: str
    author: str
    edited_at: str
    text: str
    recent: tuple[EditNote, ...] = ()

    def note(self) -> EditNote:
        """Returns who made this version."""
        return EditNote(self.version, self.edit_id, self.author, self.edited_at)

    def find(self, *, edit_id: str) -> EditNote | None:
        """Returns the note of an edit, None if it is not among the latest."""
        for note in self.recent:
            if note.edit_id == edit_id:
                return note
        return None


class Offer(enum.StrEnum):
    """What became of a configuration that the platform or a peer served.

    Attributes:
      APPLIED: it was newer and is in force.
      SAME: it is the one in force.
      OLDER: it is older than the one in force and was ignored. From the
        platform this means that it was wiped or rolled back.
      DIVERGED: another text under the version in force, which was kept. The
        platform was rolled back and edited by an entry cut off from the rest.
    """

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    DIVERGED = "diverged"


class ConfigurationState:
    """The configuration that one entry has in force.

    Attributes:
      in_force: the configuration, None before the first.
    """

    def __init__(self) -> None:
        """Starts with nothing in force."""
        self.in_force: StoredConfiguration | None = None

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        if self.in_force is None:
            return 0
        return self.in_force.version

    def judge(self, stored: StoredConfiguration) -> Offer:
        """Returns what `offer` would make of a configuration."""
        if self.in_force is None or stored.version > self.in_force.version:
            return Offer.APPLIED
        if stored.version < self.in_force.version:
            return Offer.OLDER
        if stored.edit_id == self.in_force.edit_id:
            return Offer.SAME
        return Offer.DIVERGED

    def offer(self, stored: StoredConfiguration) -> Offer:
        """Takes a configuration over if it is newer, and only then.

        A platform that lost its data, or a peer that slept, serves an older
        version. The operators saw the newer one accepted, so it stays; what
        to do with the platform is for them to say, and nothing is written to
        it from here.

        The caller validates the text before; an invalid one is not offered.
        """
        judgement = self.judge(stored)
        if judgement is Offer.APPLIED:
            self.in_force = stored
        return judgement


class VersionReport(NamedTuple):
    """Which version an entry of the table said that it has in force.

    Attributes:
      name: name of the entry.
      version: the version; 0 if it never said any.
      age_s: time since it said so, relays included.
    """

    name: str
    version: int
    age_s: float


class EditFate(enum.StrEnum):
    """What is known of an edit.

    Attributes:
      ACCEPTED: in force on every entry of the table.
      PENDING: kept by the platform, not yet in force everywhere.
      CONFLICT: not applied, another edit came first.
      UNKNOWN: may or may not have been applied.
      NOT_FOUND: surely not applied, or older than the edits remembered.
    """

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    NOT_FOUND = "not_found"


class EditResult(NamedTuple):
    """The fate of an edit, for the operator.

    Attributes:
      fate: what is known.
      edit_id: id to ask again with.
      version: version that the edit made, 0 if it made none.
      lacking: entries that did not yet report the version in force.
      winner: on a conflict, the edit that came first.
    """

    fate: EditFate
    edit_id: str
    version: int = 0
    lacking: tuple[str, ...] = ()
    winner: EditNote | None = None


def lacking_entries(
    *, version: int, reports: Iterable[VersionReport], fresh_limit_s: float
) -> tuple[str, ...]:
    """Returns the entries not surely known to have a version in force.

    An old report does not count, though a running entry never goes back: the
    entry may have been replaced since by a process that has yet to learn the
    version.

    Args:
      version: the version.
      reports: one for each entry of the entry table.
      fresh_limit_s: age past which a report counts as silence.
    """
    lacking = []
    for report in reports:
        if report.version >= version and report.age_s <= fresh_limit_s:
            continue
        lacking.append(report.name)
    return tuple(lacking)


def applied_result(
    *,
    note: EditNote,
    reports: Iterable[VersionReport],
    fresh_limit_s: float,
) -> EditResult:
    """Returns `accepted` or `pending` for an edit that the platform holds."""
    lacking = lacking_entries(
        version=note.version, reports=reports, fresh_limit_s=fresh_limit_s
    )
    fate = EditFate.ACCEPTED
    if lacking:
        fate = EditFate.PENDING
    return EditResult(fate, note.edit_id, note.version, lacking)


class Edit(NamedTuple):
    """An edit as the operator asks for it.

    Attributes:
      base_version: version that the operator read; 0 for the first ever.
      edit_id: id drawn by the operator's side.
      author: who edits.
      edited_at: date and time by the author's clock, for people only.
      text: the new document in TOML.
    """

    base_version: int
    edit_id: str
    author: str
    edited_at: str
    text: str


class Basis(enum.StrEnum):
    """How an edit relates to what the platform holds.

    Attributes:
      CURRENT: made on the version that the platform holds.
      DONE: this very edit is already applied.
      BEHIND: another edit was applied since.
      ROLLED_BACK: made on the version in force, which the platform lost.
      UNSURE: the platform lost versions, and not every entry of the table is
        heard, so a version above the base may be in force on a silent one.
    """

    CURRENT = "current"
    DONE = "done"
    BEHIND = "behind"
    ROLLED_BACK = "rolled_back"
    UNSURE = "unsure"


def basis_of(
    *,
    edit: Edit,
    stored: StoredConfiguration | None,
    highest_version: int,
    all_heard: bool,
) -> Basis:
    """Returns how an edit relates to what the platform holds.

    Args:
      edit: the edit.
      stored: what the platform holds, None for nothing.
      highest_version: highest version in force on any entry as far as heard.
      all_heard: whether every entry of the table was heard lately.
    """
    stored_version = 0
    if stored is not None:
        stored_version = stored.version
        if stored.find(edit_id=edit.edit_id) is not None:
            return Basis.DONE
    if highest_version <= stored_version:
        if edit.base_version == stored_version:
            return Basis.CURRENT
        return Basis.BEHIND
    # The platform holds less than some entry has in force: it was wiped or
    # rolled back. Only an operator's edit over the version in force repairs
    # it. A number taken twice would leave two texts under one version, which
    # no entry could tell apart, so a silent entry that may have a higher
    # version blocks the edit.
    if edit.base_version != highest_version:
        return Basis.BEHIND
    if not all_heard:
        return Basis.UNSURE
    return Basis.ROLLED_BACK


def next_stored(
    *,
    edit: Edit,
    stored: StoredConfiguration | None,
    highest_version: int,
) -> StoredConfiguration:
    """Returns what an edit writes, under a version above every known one."""
    recent: tuple[EditNote, ...] = ()
    version = highest_version
    if stored is not None:
        recent = stored.recent
        version = max(version, stored.version)
    note = EditNote(version + 1, edit.edit_id, edit.author, edit.edited_at)
    return StoredConfiguration(
        version=note.version,
        edit_id=edit.edit_id,
        author=edit.author,
        edited_at=edit.edited_at,
        text=edit.text,
        recent=((note,) + recent)[:RECENT_EDITS],
    )
