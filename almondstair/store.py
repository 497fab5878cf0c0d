"""The entry table and the configuration in the platform's key-value service.

Keys, below one prefix:

* `entries`: the entry table.
* `configuration`: the configuration in TOML with its author, and records of the
  latest edits, which show whether an edit whose response was lost was applied.
* `history/SLOT`: earlier configurations, one each in a ring of slots.

A configuration is copied into its history slot before it is replaced. So the
history needs no transaction over two keys. If an edit fails in between, the
slot holds a copy of the version that is still current, which is harmless.

Every write is a compare-and-swap. Nothing is written back when the platform
serves an older version than the one in force: see `core.configuration`.
"""

import asyncio
from collections.abc import Callable
import logging
from typing import TypeVar

import msgspec

from almondstair.core.configuration import RECENT_EDITS
from almondstair.core.configuration import Edit
from almondstair.core.configuration import EditBasis
from almondstair.core.configuration import EditRecord
from almondstair.core.configuration import EditResult
from almondstair.core.configuration import EditStatus
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.configuration import build_stored_configuration
from almondstair.core.configuration import classify_edit_basis
from almondstair.core.entry_table import EntryTable
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.key_value.base import KeyValueService
from almondstair.key_value.base import PlatformError
from almondstair.key_value.base import PlatformFailure
from almondstair.key_value.base import Record
from almondstair.key_watcher import KeyWatcher

DEFAULT_PREFIX = "almondstair/"
# The platform accepts values up to 1 MB; the rest is for the edit records.
DOCUMENT_LIMIT_BYTES = 900_000
CHANGE_ATTEMPTS = 5
EDIT_RETRY_DELAY_S = 0.1
_log = logging.getLogger(__name__)
_encoder = msgspec.json.Encoder()
_Document = TypeVar("_Document")


def encode_configuration(stored: StoredConfiguration) -> bytes:
    """Returns a configuration as stored in the platform and sent to peers."""
    return _encoder.encode(stored)


def decode_configuration(value: bytes) -> StoredConfiguration:
    """Returns the configuration encoded in a value.

    Raises:
      AlmondstairError: CONFIGURATION_INVALID if it is not one.
    """
    return _decode(value, StoredConfiguration)


def decode_table(value: bytes) -> EntryTable:
    """Returns the entry table encoded in a value.

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
    """Stores the entry table in the platform."""

    def __init__(
        self, *, service: KeyValueService, prefix: str = DEFAULT_PREFIX
    ) -> None:
        """Initializes; `prefix` starts every key of the system."""
        self._service = service
        self.key = f"{prefix}entries"

    async def read(self) -> EntryTable:
        """Returns the table, an empty one if there is none.

        Raises:
          PlatformError: if the platform does not answer.
        """
        return _table_of(await self._service.get(key=self.key))

    async def change(
        self, *, plan: Callable[[EntryTable], EntryTable | None]
    ) -> EntryTable:
        """Applies a change by compare-and-swap.

        A concurrent change is not a conflict: the plan is computed again from
        the new table. The same covers a lost response: if the change was
        applied, the plan for the table read back is None.

        Args:
          plan: returns the next table for the current one, None for no change.
            The epoch of the next table must be higher.

        Returns:
          The table in the platform afterwards.

        Raises:
          PlatformError: if the platform does not answer.
          AlmondstairError: PLATFORM_UNAVAILABLE if concurrent changes won
            every attempt.
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
            # The next iteration of `change` reads the table back.
            return False
        return result.succeeded

    def watcher(self, *, on_table: Callable[[EntryTable], None]) -> KeyWatcher:
        """Returns a watcher of the table, not yet started."""

        def on_value(value: bytes) -> None:
            table = _decode_or_none(value, decode_table)
            if table is not None:
                on_table(table)

        return KeyWatcher(
            service=self._service, key=self.key, on_value=on_value
        )


class ConfigurationStore:
    """Stores the configuration and its history in the platform."""

    def __init__(
        self, *, service: KeyValueService, prefix: str = DEFAULT_PREFIX
    ) -> None:
        """Initializes; `prefix` starts every key of the system."""
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

        Only for a first start. The caller must ask the peers before, since a
        wiped platform looks the same.

        Returns:
          The configuration in the platform afterwards.

        Raises:
          PlatformError: if the platform does not answer.
        """
        first = build_stored_configuration(
            edit=edit, stored=None, highest_version=0
        )
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
          highest_version: highest version that any entry reports in force.
          all_heard: whether every entry in the table reported recently.

        Returns:
          `pending` if the platform has the edit (the caller checks whether it
          is in force everywhere), `conflict` if another edit came first,
          `unknown` if the outcome cannot be determined now.

        Raises:
          PlatformError: if the platform does not answer and the edit was
            definitely not applied.
          AlmondstairError: CONFIGURATION_INVALID if the text is too long.
        """
        _check_size(edit.text)
        lost = False
        for _ in range(CHANGE_ATTEMPTS):
            try:
                result = await self._attempt(edit, highest_version, all_heard)
            except _LostResponseError:
                # The next iteration reads back and looks for the edit's ID.
                # Retrying the same write is safe: it has the same revision
                # as its condition, so only one of the two can take effect.
                lost = True
                result = None
            except PlatformError:
                # After a lost response, a later call that definitely changed
                # nothing does not determine the outcome of the first.
                if not lost:
                    raise
                result = None
            if result is not None:
                return result
            await asyncio.sleep(EDIT_RETRY_DELAY_S)
        if lost:
            return EditResult(EditStatus.UNKNOWN, edit.edit_id)
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
            known_result = _result_without_write(
                edit, stored, highest_version, all_heard
            )
            if known_result is not None:
                return known_result
            await self._archive(stored)
        except PlatformError as error:
            # Whatever the outcome of this call, the edit was not sent yet.
            raise PlatformError(
                failure=PlatformFailure.UNAVAILABLE, detail=error.detail
            ) from error
        replacement = build_stored_configuration(
            edit=edit, stored=stored, highest_version=highest_version
        )
        if not await self._replace(record, replacement):
            return None
        return EditResult(EditStatus.PENDING, edit.edit_id, replacement.version)

    async def _replace(
        self, record: Record | None, replacement: StoredConfiguration
    ) -> bool:
        try:
            result = await self._service.compare_and_swap(
                key=self.key,
                value=encode_configuration(replacement),
                mod_revision=_mod_revision(record),
            )
        except PlatformError as error:
            if error.may_be_applied:
                raise _LostResponseError from error
            raise
        return result.succeeded

    async def _archive(self, stored: StoredConfiguration | None) -> None:
        """Copies the version about to be replaced into its history slot."""
        if stored is None:
            return
        key = self._history_key(stored.version)
        record = await self._service.get(key=key)
        archived = _configuration_of(record)
        if archived is not None and archived.edit_id == stored.edit_id:
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

    async def edit_status(
        self, *, edit_id: str, base_version: int | None
    ) -> EditResult:
        """Looks up the outcome of an edit, after a lost response or later.

        Args:
          edit_id: ID of the edit.
          base_version: version that the edit was based on; None if not known.

        Returns:
          `pending` if it was applied (the caller checks whether it is in force
          everywhere), `not_found` if it definitely was not, `unknown` while
          the platform does not answer or the write could still take effect.
        """
        try:
            stored = await self.read()
        except PlatformError:
            return EditResult(EditStatus.UNKNOWN, edit_id)
        edit_record = None
        if stored is not None:
            edit_record = stored.find_edit(edit_id=edit_id)
        if edit_record is not None:
            return EditResult(EditStatus.PENDING, edit_id, edit_record.version)
        if stored is None or base_version is None:
            return EditResult(EditStatus.UNKNOWN, edit_id)
        if stored.version > base_version:
            # The write was conditional on the revision of its base version,
            # which has been replaced.
            return EditResult(EditStatus.NOT_FOUND, edit_id)
        return EditResult(EditStatus.UNKNOWN, edit_id)

    async def history(self) -> tuple[EditRecord, ...]:
        """Returns the records of the latest edits, the latest first.

        Raises:
          PlatformError: if the platform does not answer.
        """
        stored = await self.read()
        if stored is None:
            return ()
        return stored.recent

    async def past_version(self, *, version: int) -> StoredConfiguration | None:
        """Returns an earlier version, None if it is no longer stored.

        Raises:
          PlatformError: if the platform does not answer.
        """
        stored = await self.read()
        if stored is not None and stored.version == version:
            return stored
        key = self._history_key(version)
        archived = _configuration_of(await self._service.get(key=key))
        if archived is None or archived.version != version:
            return None
        return archived

    def watcher(
        self, *, on_configuration: Callable[[StoredConfiguration], None]
    ) -> KeyWatcher:
        """Returns a watcher of the configuration, not yet started."""

        def on_value(value: bytes) -> None:
            stored = _decode_or_none(value, decode_configuration)
            if stored is not None:
                on_configuration(stored)

        return KeyWatcher(
            service=self._service, key=self.key, on_value=on_value
        )


class _LostResponseError(Exception):
    """Raised when the response to a write that may be applied was lost."""


def _result_without_write(
    edit: Edit,
    stored: StoredConfiguration | None,
    highest_version: int,
    all_heard: bool,
) -> EditResult | None:
    """Returns the result if no write is needed, None otherwise."""
    basis = classify_edit_basis(
        edit=edit,
        stored=stored,
        highest_version=highest_version,
        all_heard=all_heard,
    )
    if basis is EditBasis.ALREADY_APPLIED and stored is not None:
        edit_record = stored.find_edit(edit_id=edit.edit_id)
        version = edit_record.version if edit_record is not None else 0
        return EditResult(EditStatus.PENDING, edit.edit_id, version)
    if basis is EditBasis.OUTDATED:
        winner = stored.edit_record() if stored is not None else None
        return EditResult(
            EditStatus.CONFLICT, edit.edit_id, conflicting_edit=winner
        )
    if basis is EditBasis.UNDECIDABLE:
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


def _check_size(text: str) -> None:
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


def _decode_or_none(
    value: bytes, decode: Callable[[bytes], _Document]
) -> _Document | None:
    # An unreadable value, such as one from another release, must not stop the
    # watch: the value in force stays, and the error is logged.
    try:
        return decode(value)
    except AlmondstairError as error:
        _log.error("%s", error.detail)
        return None
