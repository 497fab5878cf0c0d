"""Versions of the configuration: which is in force, and the status of an edit.

Three rules guarantee that a configuration reported as accepted is in force
everywhere and never reverts:

* An entry applies only a version above its own, whatever the source.
* An edit is a compare-and-swap on the version that the operator read, with an
  id by which it can be looked up after a lost answer.
* An edit is *accepted* only once every entry of the entry table has reported
  in a fresh heartbeat that it has that version, or a later one, in force.
"""

from collections.abc import Iterable
import enum
from typing import NamedTuple

# Latest edits listed in the stored document, to look up an edit after a lost
# answer.
RECENT_EDITS = 50


class EditRecord(NamedTuple):
    """Version, id and author of an edit, without its text.

    Attributes:
      version: version that the edit created.
      edit_id: id chosen by the editing client.
      author: who made the edit.
      edited_at: date and time by the author's clock, for display only.
    """

    version: int
    edit_id: str
    author: str
    edited_at: str


class StoredConfiguration(NamedTuple):
    """The configuration as the platform stores it.

    Attributes:
      version: grows by at least one with each edit.
      edit_id: id of the edit that created this version.
      author: who made the edit.
      edited_at: date and time by the author's clock, for display only.
      text: the document in TOML, comments included.
      recent: the latest edits, this one first.
    """

    version: int
    edit_id: str
    author: str
    edited_at: str
    text: str
    recent: tuple[EditRecord, ...] = ()

    def edit_record(self) -> EditRecord:
        """Returns the record of the edit that created this version."""
        return EditRecord(
            self.version, self.edit_id, self.author, self.edited_at
        )

    def find_edit(self, *, edit_id: str) -> EditRecord | None:
        """Returns the record of an edit, None if not among the latest."""
        for record in self.recent:
            if record.edit_id == edit_id:
                return record
        return None


class ApplyOutcome(enum.StrEnum):
    """Outcome of applying a configuration from the platform or a peer.

    Attributes:
      APPLIED: it was newer and is in force.
      SAME: it is the one in force.
      OLDER: it is older than the one in force and was ignored. From the
        platform, this means that the platform was wiped or rolled back.
      DIVERGED: it has the version in force but another text; the one in force
        was kept. The platform was rolled back and then edited through an entry
        that was partitioned from the rest.
    """

    APPLIED = "applied"
    SAME = "same"
    OLDER = "older"
    DIVERGED = "diverged"


class ConfigurationState:
    """Holds the configuration that this entry has in force.

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

    def compare(self, stored: StoredConfiguration) -> ApplyOutcome:
        """Returns the outcome of `apply_if_newer` without applying anything."""
        if self.in_force is None or stored.version > self.in_force.version:
            return ApplyOutcome.APPLIED
        if stored.version < self.in_force.version:
            return ApplyOutcome.OLDER
        if stored.edit_id == self.in_force.edit_id:
            return ApplyOutcome.SAME
        return ApplyOutcome.DIVERGED

    def apply_if_newer(self, stored: StoredConfiguration) -> ApplyOutcome:
        """Applies a configuration if, and only if, it is newer.

        A platform that lost its data, or a peer that was suspended, serves an
        older version. The newer one stays in force because operators were told
        that it is accepted. Repairing the platform is left to them; nothing is
        written to it from here.

        The caller must have validated the text.
        """
        outcome = self.compare(stored)
        if outcome is ApplyOutcome.APPLIED:
            self.in_force = stored
        return outcome


class VersionReport(NamedTuple):
    """The version in force that an entry of the table last reported.

    Attributes:
      name: name of the entry.
      version: the version; 0 if it never reported one.
      age_s: time since the report in seconds, relays included.
    """

    name: str
    version: int
    age_s: float


class EditStatus(enum.StrEnum):
    """Status of an edit.

    Attributes:
      ACCEPTED: in force on every entry of the table.
      PENDING: stored by the platform, not yet in force everywhere.
      CONFLICT: not applied, another edit came first.
      UNKNOWN: may or may not have been applied.
      NOT_FOUND: certainly not applied, or older than the recorded edits.
    """

    ACCEPTED = "accepted"
    PENDING = "pending"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    NOT_FOUND = "not_found"


class EditResult(NamedTuple):
    """Result of an edit, for the operator.

    Attributes:
      status: status of the edit.
      edit_id: id by which the edit can be looked up again.
      version: version that the edit created, 0 if none.
      lagging_entries: entries that have not reported the version yet.
      conflicting_edit: on a conflict, the edit that came first.
    """

    status: EditStatus
    edit_id: str
    version: int = 0
    lagging_entries: tuple[str, ...] = ()
    conflicting_edit: EditRecord | None = None


def lagging_entries(
    *, version: int, reports: Iterable[VersionReport], fresh_limit_s: float
) -> tuple[str, ...]:
    """Returns the entries not confirmed to have a version in force.

    An old report does not count, although a running entry never reverts: the
    entry may have been replaced since by a process that lacks the version.

    Args:
      version: the version.
      reports: one for each entry of the entry table.
      fresh_limit_s: age in seconds above which a report does not count.
    """
    lagging = []
    for report in reports:
        if report.version >= version and report.age_s <= fresh_limit_s:
            continue
        lagging.append(report.name)
    return tuple(lagging)


def result_of_stored_edit(
    *,
    edit_record: EditRecord,
    reports: Iterable[VersionReport],
    fresh_limit_s: float,
) -> EditResult:
    """Returns `ACCEPTED` or `PENDING` for an edit stored by the platform."""
    lagging = lagging_entries(
        version=edit_record.version,
        reports=reports,
        fresh_limit_s=fresh_limit_s,
    )
    status = EditStatus.ACCEPTED
    if lagging:
        status = EditStatus.PENDING
    return EditResult(status, edit_record.edit_id, edit_record.version, lagging)


class Edit(NamedTuple):
    """An edit that an operator requests.

    Attributes:
      base_version: version that the operator read; 0 if there was none.
      edit_id: id chosen by the editing client.
      author: who makes the edit.
      edited_at: date and time by the author's clock, for display only.
      text: the new document in TOML.
    """

    base_version: int
    edit_id: str
    author: str
    edited_at: str
    text: str


class EditBasis(enum.StrEnum):
    """How the base of an edit relates to the stored configuration.

    Attributes:
      CURRENT: the edit is based on the stored version.
      ALREADY_APPLIED: the edit is already applied.
      OUTDATED: another edit was applied since.
      ROLLED_BACK: the edit is based on the version in force, which the
        platform lost.
      UNDECIDABLE: the platform lost versions and some entries of the table
        are silent, so a version above the base may be in force on one of them.
    """

    CURRENT = "current"
    ALREADY_APPLIED = "done"
    OUTDATED = "behind"
    ROLLED_BACK = "rolled_back"
    UNDECIDABLE = "unsure"


def classify_edit_basis(
    *,
    edit: Edit,
    stored: StoredConfiguration | None,
    highest_version: int,
    all_heard: bool,
) -> EditBasis:
    """Returns how the base of an edit relates to the stored configuration.

    Args:
      edit: the edit.
      stored: what the platform stores, None for nothing.
      highest_version: highest version that any entry reported in force.
      all_heard: whether every entry of the table was heard recently.
    """
    stored_version = 0
    if stored is not None:
        stored_version = stored.version
        if stored.find_edit(edit_id=edit.edit_id) is not None:
            return EditBasis.ALREADY_APPLIED
    if highest_version <= stored_version:
        if edit.base_version == stored_version:
            return EditBasis.CURRENT
        return EditBasis.OUTDATED
    # The platform stores a lower version than some entry has in force: it was
    # wiped or rolled back. Only an operator's edit based on the version in
    # force repairs it. Reusing a version number would put two texts under one
    # version, which entries could not tell apart. So a silent entry, which may
    # have a higher version, blocks the edit.
    if edit.base_version != highest_version:
        return EditBasis.OUTDATED
    if not all_heard:
        return EditBasis.UNDECIDABLE
    return EditBasis.ROLLED_BACK


def build_stored_configuration(
    *,
    edit: Edit,
    stored: StoredConfiguration | None,
    highest_version: int,
) -> StoredConfiguration:
    """Returns what an edit writes, with a version above every known one."""
    recent: tuple[EditRecord, ...] = ()
    version = highest_version
    if stored is not None:
        recent = stored.recent
        version = max(version, stored.version)
    record = EditRecord(version + 1, edit.edit_id, edit.author, edit.edited_at)
    return StoredConfiguration(
        version=record.version,
        edit_id=edit.edit_id,
        author=edit.author,
        edited_at=edit.edited_at,
        text=edit.text,
        recent=((record,) + recent)[:RECENT_EDITS],
    )
