"""Order of what is read from the store."""

from typing import NamedTuple, TypedDict


class Revision(NamedTuple):
    """A position in the store's history, ordered by epoch and then by number.

    A store that is restored from an older copy begins a new epoch and assigns
    numbers again. Numbers of different epochs cannot be compared.

    Attributes:
      epoch: the store's epoch; 0 if it states none.
      number: the store's counter of changes; 0 before the first data.
    """

    epoch: int = 0
    number: int = 0


class RevisionFields(TypedDict):
    """A revision as fields of a log event or of a report."""

    revision: int
    epoch: int


def revision_fields(revision: Revision) -> RevisionFields:
    """Returns the fields that show a revision to operators."""
    return RevisionFields(revision=revision.number, epoch=revision.epoch)
