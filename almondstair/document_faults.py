"""Faults found in a document, each with a remedy."""

import difflib
from typing import NamedTuple

from almondstair import errors

Location = tuple[int | str, ...]

UNKNOWN_KEY = "unknown key"
_CLOSE_MATCH_CUTOFF = 0.85


class DocumentFault(NamedTuple):
    """A fault in a document.

    Attributes:
      file: path or other name of the document.
      key: dotted key, empty if the fault concerns the whole file.
      problem: what is wrong.
      remedy: what to write instead.
    """

    file: str
    key: str
    problem: str
    remedy: str

    def __str__(self) -> str:
        """Returns the fault as one line."""
        place = self.file
        if self.key:
            place = f"{self.file}: {self.key}"
        return f"{place}: {self.problem}; {self.remedy}"


class InvalidDocumentError(errors.AlmondstairError):
    """Raised for a document with faults.

    Attributes:
      faults: every fault found.
    """

    def __init__(
        self, *, kind: errors.ErrorKind, faults: tuple[DocumentFault, ...]
    ) -> None:
        """Initializes with a detail of one line for each fault."""
        lines: list[str] = []
        for fault in faults:
            lines.append(str(fault))
        super().__init__(kind=kind, detail="\n".join(lines))
        self.faults = faults


class FaultList:
    """Collects the faults of one document.

    Attributes:
      file: name of the document in each fault.
    """

    def __init__(self, *, file: str) -> None:
        """Initializes an empty list."""
        self.file = file
        self._faults: list[DocumentFault] = []

    def add(self, *, key: str, problem: str, remedy: str) -> None:
        """Adds a fault of this document."""
        self._faults.append(
            DocumentFault(
                file=self.file, key=key, problem=problem, remedy=remedy
            )
        )

    def add_unless_covered(self, other: "FaultList") -> None:
        """Adds the faults of another list that this one does not cover.

        A fault on a key covers the keys above and below it: a fault found
        there is caused by the placeholder for the faulty part.
        """
        covered = tuple(fault.key for fault in self._faults)
        for fault in other.faults():
            if _covers(covered, fault.key):
                continue
            self._faults.append(fault)

    def has_replaced(self, key: str) -> bool:
        """Returns whether a value at or below a key was replaced.

        An unknown key is dropped and replaces nothing.
        """
        for fault in self._faults:
            if fault.problem == UNKNOWN_KEY:
                continue
            if _is_below(fault.key, key):
                return True
        return False

    def faults(self) -> tuple[DocumentFault, ...]:
        """Returns the faults in the order in which they were added."""
        return tuple(self._faults)


def _covers(covered: tuple[str, ...], key: str) -> bool:
    for other in covered:
        if _is_below(key, other) or _is_below(other, key):
            return True
    return False


def _is_below(key: str, ancestor: str) -> bool:
    return key == ancestor or key.startswith((f"{ancestor}.", f"{ancestor}["))


def dotted_key(location: Location) -> str:
    """Returns a location as a dotted key, such as `links[2].region`."""
    key = ""
    for part in location:
        if isinstance(part, int):
            key += f"[{part}]"
            continue
        key += f".{part}" if key else part
    return key


def closest_words(word: str, known: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the known words that are closest to a misspelled one.

    A word without a unit suffix, or with the wrong one, matches the key with
    the right suffix.
    """
    for candidate in known:
        if candidate.lower() == word.lower():
            return (candidate,)
        if candidate.startswith(f"{word}_"):
            return (candidate,)
    # Names such as east-1 and west-1 may be equally close; return both.
    matches = difflib.get_close_matches(
        word, known, n=2, cutoff=_CLOSE_MATCH_CUTOFF
    )
    if not matches:
        matches = difflib.get_close_matches(word, known, n=1)
    if matches:
        return tuple(matches)
    stem = word.rsplit("_", 1)[0]
    for candidate in known:
        if candidate.startswith(f"{stem}_"):
            return (candidate,)
    return ()


def remedy_for_word(word: str, known: tuple[str, ...]) -> str:
    """Returns the remedy for a word that is not among the known words."""
    matches = closest_words(word, known)
    if matches:
        return f"write {' or '.join(matches)}"
    if not known:
        return "define it first"
    return f"use one of: {', '.join(known)}"
