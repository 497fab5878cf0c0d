"""The entry table and the configuration in the platform's key-value service.

Keys, below one prefix:

* `entries`: the entry table.
* `configuration`: the configuration in TOML with who made it, and the notes of
  the latest edits, by which a lost answer is found again.
* `history/SLOT`: earlier configurations, one each in a ring of slots.

A configuration is copied into its slot of the history before it is replaced.
So the history needs no transaction over two keys, and an edit that dies in
between leaves a copy of the version that is still current, which harms
nothing.

Nothing here is written without a compare-and-swap, and nothing is written back
when the platform serves less than what is in force: see `core.configuration`.
"""

import asyncio
from collections.abc import Callable
import logging
from typing import TypeVar

import msgspec

from almondstair.core.configuration import RECENT_EDITS
from almondstair.core.configuration import Basis
from almondstair.core.configuration import Edit
from almondstair.core.configuration import EditFate
from almondstair.core.configuration import EditNote
from almondstair.core.configuration import EditResult
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.configuration import basis_of
from almondstair.core.configuration import next_stored
from almondstair.core.entry_table import EntryTable
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.key_value.base import KeyValueService
from almondstair.key_value.base import PlatformError
from almondstair.key_value.base import PlatformFailure
from almondstair.key_value.base import Record
from almondstair.store_follower import Follower

DEFAULT_PREFIX = "almondstair/"
# The platform takes values up to a megabyte; the rest is left for the notes.
DOCUMENT_LIMIT_BYTES = 900_000
CHANGE_ATTEMPTS = 5
EDIT_PAUSE_S = 0.1
_log = logging.getLogger(__name__)
_encoder = msgspec.json.Encoder()
_Document = TypeVar("_Document")


def encode_configuration(stored: StoredConfiguration) -> bytes:
    """Returns a configuration as the platform and peers keep it."""
    return _encoder.encode(stored)


def decode_configuration(value: bytes) -> StoredConfiguration:
    """Returns the configuration of a value.

    Raises:
      AlmondstairError: CONFIGURATION_INVALID if it is not one.
    """
    return _decode(value, StoredConfiguration)


def decode_table(value: bytes) -> EntryTable:
    """Returns the entry table of a value.

    Raises:
      AlmondstairError: CONFIGURATION_INVALID if it is not one.
    """
    return _decode(value, EntryTable)


def _decode(value: bytes, kind: type[_Document]) -> _Document:
    try:
        return msgspec.json.decode(value, type=kind)
    except msgspec.DecodeError as error:
        raise AlmondstairError(
            kind=ErrorKind.CONFIGURATION_INVALID,
            detail=f"the platform's {kind.__name__} is unreadable: {error}",
        ) from error


class EntryTableStore:
    """The entry table in the platform."""

    def __init__(
        self, *, service: KeyValueService, prefix: str = DEFAULT_PREFIX
    ) -> None:
        """Names the key; `prefix` begins every key of the system."""
        self._service = service
        self.key = f"{prefix}entries"

    async def read(self) -> EntryTable:
        """Returns the table, the empty one if there is none.

        Raises:
          PlatformError: if the platform does not answer.
        """
        return _table_of(await self._service.get(key=self.key))

    async def change(
        self, *, plan: Callable[[EntryTable], EntryTable | None]
    ) -> EntryTable:
        """Applies a change by compare-and-swap.

        Who else changed the table in between is no conflict: the plan is made
        anew from their table. A lost answer needs no care either, for the same
        reason: once the change took effect, the plan for the table read back
        is None.

        Args:
          plan: gives the next table for the present one, None for no change.
            The next one's epoch must be higher.

        Returns:
          The table as the platform has it afterwards.

        Raises:
          PlatformError: if the platform does not answer.
          AlmondstairError: PLATFORM_UNAVAILABLE if others kept winning.
        """
        for _ in range(CHANGE_ATTEMPTS):
            record = await self._service.get(key=self.key)
            table = _table_of(record)
            planned = plan(table)
            if planned is None:
                return table
            if await self._try_write(record, planned):
                return planned
        raise AlmondstairError(
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
            detail=f"the entry table changed {CHANGE_ATTEMPTS} times meanwhile",
        )

    async def _try_write(
        self, record: Record | None, planned: EntryTable
    ) -> bool:
        try:
            result = await self._service.compare_and_swap(
                key=self.key,
                value=_encoder.encode(planned),
                mod_revision=_mod_revision(record),
            )
        except PlatformError as error:
            if not error.may_be_applied:
                raise
            # Read back by the next round of `change`.
            return False
        return result.succeeded

    def follower(self, *, on_table: Callable[[EntryTable], None]) -> Follower:
        """Returns a follower of the table."""

        def on_value(value: bytes) -> None:
            table = _or_none(value, decode_table)
            if table is not None:
                on_table(table)

        return Follower(service=self._service, key=self.key, on_value=on_value)


class ConfigurationStore:
    """The configuration and its history in the platform."""

    def __init__(
        self, *, service: KeyValueService, prefix: str = DEFAULT_PREFIX
    ) -> None:
        """Names the keys; `prefix` begins every key of the system."""
        self._service = service
        self.key = f"{prefix}configuration"
        self._history_prefix = f"{prefix}history/"

    async def read(self) -> StoredConfiguration | None:
        """Returns the configuration, None if there is none.

        Raises:
          PlatformError: if the platform does not answer.
        """
        return _configuration_of(await self._service.get(key=self.key))

    async def seed(self, *, edit: Edit) -> StoredConfiguration:
        """Writes the first configuration unless there is one.

        Only for a first start: whoever seeds has asked the peers before, since
        a platform that was wiped looks the same.

        Returns:
          The configuration as the platform has it afterwards.

        Raises:
          PlatformError: if the platform does not answer.
        """
        first = next_stored(edit=edit, stored=None, highest_version=0)
        value = encode_configuration(first)
        result = await self._service.create(key=self.key, value=value)
        if result.succeeded:
            return first
        return _configuration_of(result.current) or first

    async def edit(
        self, *, edit: Edit, highest_version: int = 0, all_heard: bool = True
    ) -> EditResult:
        """Applies an operator's edit by compare-and-swap.

        Args:
          edit: the edit; its text is valid.
          highest_version: highest version in force on any entry, as heard.
          all_heard: whether every entry of the table was heard lately.

        Returns:
          `pending` if the platform holds the edit (whether it is in force
          everywhere is for the caller to judge), `conflict` if another edit
          came first, `unknown` if that cannot be found out now.

        Raises:
          PlatformError: if the platform does not answer and the edit was
            surely not applied.
          AlmondstairError: CONFIGURATION_INVALID if the text is too long.
        """
        _check_length(edit.text)
        lost = False
        for _ in range(CHANGE_ATTEMPTS):
            try:
                result = await self._attempt(edit, highest_version, all_heard)
            except _LostAnswerError:
                # The next round reads back and looks for the edit's id.
                # Trying the same write again is safe: it names the same
                # revision, so only one of the two can take effect.
                lost = True
                result = None
            except PlatformError:
                # After a lost answer, a later call that surely changed nothing
                # does not settle what became of the first.
                if not lost:
                    raise
                result = None
            if result is not None:
                return result
            await asyncio.sleep(EDIT_PAUSE_S)
        if lost:
            return EditResult(EditFate.UNKNOWN, edit.edit_id)
        raise PlatformError(
            failure=PlatformFailure.UNAVAILABLE,
            detail="the compare-and-swap kept failing without a cause",
        )

    async def _attempt(
        self, edit: Edit, highest_version: int, all_heard: bool
    ) -> EditResult | None:
        try:
            record = await self._service.get(key=self.key)
            stored = _configuration_of(record)
            settled = _settled(edit, stored, highest_version, all_heard)
            if settled is not None:
                return settled
            await self._keep(stored)
        except PlatformError as error:
            # Whatever became of this call, the edit was not yet sent.
            raise PlatformError(
                failure=PlatformFailure.UNAVAILABLE, detail=error.detail
            ) from error
        following = next_stored(
            edit=edit, stored=stored, highest_version=highest_version
        )
        if not await self._replace(record, following):
            return None
        return EditResult(EditFate.PENDING, edit.edit_id, following.version)

    async def _replace(
        self, record: Record | None, following: StoredConfiguration
    ) -> bool:
        try:
            result = await self._service.compare_and_swap(
                key=self.key,
                value=encode_configuration(following),
                mod_revision=_mod_revision(record),
            )
        except PlatformError as error:
            if error.may_be_applied:
                raise _LostAnswerError from error
            raise
        return result.succeeded

    async def _keep(self, stored: StoredConfiguration | None) -> None:
        """Copies the version about to be replaced into its slot."""
        if stored is None:
            return
        key = self._history_key(stored.version)
        record = await self._service.get(key=key)
        kept = _configuration_of(record)
        if kept is not None and kept.edit_id == stored.edit_id:
            return
        result = await self._service.compare_and_swap(
            key=key,
            value=encode_configuration(stored._replace(recent=())),
            mod_revision=_mod_revision(record),
        )
        if not result.succeeded:
            _log.info("history slot %s was written by another entry", key)

    def _history_key(self, version: int) -> str:
        return f"{self._history_prefix}{version % RECENT_EDITS:02d}"

    async def fate(
        self, *, edit_id: str, base_version: int | None
    ) -> EditResult:
        """Looks up what became of an edit, after a lost answer or later.

        Args:
          edit_id: the edit.
          base_version: version that it was made on; None if forgotten.

        Returns:
          `pending` if it was applied (whether it is in force everywhere is for
          the caller to judge), `not_found` if it surely was not, `unknown`
          while the platform does not answer, or while the lost write could
          still take effect.
        """
        try:
            stored = await self.read()
        except PlatformError:
            return EditResult(EditFate.UNKNOWN, edit_id)
        note = None
        if stored is not None:
            note = stored.find(edit_id=edit_id)
        if note is not None:
            return EditResult(EditFate.PENDING, edit_id, note.version)
        if stored is None or base_version is None:
            return EditResult(EditFate.UNKNOWN, edit_id)
        if stored.version > base_version:
            # The write named the revision of its base, which is gone.
            return EditResult(EditFate.NOT_FOUND, edit_id)
        return EditResult(EditFate.UNKNOWN, edit_id)

    async def history(self) -> tuple[EditNote, ...]:
        """Returns who made the latest versions, the latest first.

        Raises:
          PlatformError: if the platform does not answer.
        """
        stored = await self.read()
        if stored is None:
            return ()
        return stored.recent

    async def past(self, *, version: int) -> StoredConfiguration | None:
        """Returns an earlier version, None if it is no longer kept.

        Raises:
          PlatformError: if the platform does not answer.
        """
        stored = await self.read()
        if stored is not None and stored.version == version:
            return stored
        key = self._history_key(version)
        kept = _configuration_of(await self._service.get(key=key))
        if kept is None or kept.version != version:
            return None
        return kept

    def follower(
        self, *, on_configuration: Callable[[StoredConfiguration], None]
    ) -> Follower:
        """Returns a follower of the configuration."""

        def on_value(value: bytes) -> None:
            stored = _or_none(value, decode_configuration)
            if stored is not None:
                on_configuration(stored)

        return Follower(service=self._service, key=self.key, on_value=on_value)


class _LostAnswerError(Exception):
    """The write of an edit may have taken effect, its answer was lost."""


def _settled(
    edit: Edit,
    stored: StoredConfiguration | None,
    highest_version: int,
    all_heard: bool,
) -> EditResult | None:
    """Returns the result that needs no write, None if a write is due."""
    basis = basis_of(
        edit=edit,
        stored=stored,
        highest_version=highest_version,
        all_heard=all_heard,
    )
    if basis is Basis.DONE and stored is not None:
        note = stored.find(edit_id=edit.edit_id)
        version = note.version if note is not None else 0
        return EditResult(EditFate.PENDING, edit.edit_id, version)
    if basis is Basis.BEHIND:
        winner = stored.note() if stored is not None else None
        return EditResult(EditFate.CONFLICT, edit.edit_id, winner=winner)
    if basis is Basis.UNSURE:
        raise AlmondstairError(
            kind=ErrorKind.PLATFORM_UNAVAILABLE,
            ran=Ran.NO,
            detail=(
                "the platform lost versions of the configuration, and a silent "
                "entry may have a higher one than is known; edit again when "
                "every entry is heard or gone from the entry table"
            ),
        )
    return None


def _check_length(text: str) -> None:
    length_bytes = len(text.encode())
    if length_bytes > DOCUMENT_LIMIT_BYTES:
        raise AlmondstairError(
            kind=ErrorKind.CONFIGURATION_INVALID,
            detail=(
                f"the document has {length_bytes} bytes, at most "
                f"{DOCUMENT_LIMIT_BYTES} fit into the platform's value"
            ),
        )


def _table_of(record: Record | None) -> EntryTable:
    if record is None:
        return EntryTable()
    return decode_table(record.value)


def _configuration_of(record: Record | None) -> StoredConfiguration | None:
    if record is None:
        return None
    return decode_configuration(record.value)


def _mod_revision(record: Record | None) -> int:
    if record is None:
        return 0
    return record.mod_revision


def _or_none(
    value: bytes, decode: Callable[[bytes], _Document]
) -> _Document | None:
    # An unreadable value, as written by another release, must not stop the
    # watch: what is in force stays, and the log shows it.
    try:
        return decode(value)
    except AlmondstairError as error:
        _log.error("%s", error.detail)
        return None
