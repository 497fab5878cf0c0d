"""Configuration in force: following, seeding and editing it."""

import asyncio
from collections.abc import Callable
import datetime
import time
import uuid

from almondstair import configuration_edits
from almondstair import log
from almondstair.core.configuration import ApplyOutcome
from almondstair.core.configuration import ConfigurationState
from almondstair.core.configuration import Edit
from almondstair.core.configuration import EditRecord
from almondstair.core.configuration import EditResult
from almondstair.core.configuration import EditStatus
from almondstair.core.configuration import StoredConfiguration
from almondstair.core.configuration import result_of_stored_edit
from almondstair.core.membership import Membership
from almondstair.core.model import Configuration
from almondstair.elected_watcher import ElectedWatcher
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind
from almondstair.errors import Ran
from almondstair.operator_server import EditRequest
from almondstair.operator_server import EditResponse
from almondstair.settings import read_configuration
from almondstair.store import ConfigurationStore

# Maximum wait for an edit to take effect before returning `edit_pending`.
ACCEPT_WAIT_S = 5.0
ACCEPT_POLL_S = 0.05
SEED_AUTHOR = "deployment file"

_ERROR_KINDS = {
    EditStatus.PENDING: ErrorKind.EDIT_PENDING,
    EditStatus.CONFLICT: ErrorKind.EDIT_CONFLICT,
    EditStatus.UNKNOWN: ErrorKind.EDIT_UNKNOWN,
    EditStatus.NOT_FOUND: ErrorKind.NOT_FOUND,
}


class ConfigurationManager:
    """Synchronizes this entry's configuration with the platform's.

    Attributes:
      configuration: configuration in force, None before the first.
    """

    def __init__(
        self,
        *,
        state: ConfigurationState,
        membership: Membership,
        store: ConfigurationStore,
        fresh_limit_s: float,
        on_configuration: Callable[[Configuration], None],
    ) -> None:
        """Initializes without a configuration.

        Args:
          state: configuration in force on this entry.
          membership: provides the versions that other entries report.
          store: configuration in the platform.
          fresh_limit_s: age in seconds beyond which a version report is
            ignored.
          on_configuration: called with each configuration put in force.
        """
        self._state = state
        self._membership = membership
        self._store = store
        self._fresh_limit_s = fresh_limit_s
        self._on_configuration = on_configuration
        self._watcher = ElectedWatcher(
            membership=membership,
            create_watcher=lambda: self._store.watcher(
                on_configuration=self.apply
            ),
        )
        self._invalid_version = 0
        # Base versions of edits whose write may still take effect, by edit ID.
        self._unknown_edits: dict[str, int] = {}
        self.configuration: Configuration | None = None

    @property
    def version(self) -> int:
        """Returns the version in force on this entry, 0 before the first."""
        return self._state.version

    @property
    def in_force(self) -> StoredConfiguration | None:
        """Returns the stored configuration in force on this entry."""
        return self._state.in_force

    def apply(self, stored: StoredConfiguration) -> None:
        """Applies a configuration from the platform or a peer, if newer."""
        outcome = self._state.compare(stored)
        if outcome in (ApplyOutcome.OLDER, ApplyOutcome.DIVERGED):
            log.event(
                log.Event.CONFIGURATION_OLDER,
                offered_version=stored.version,
                in_force_version=self._state.version,
            )
        if outcome is not ApplyOutcome.APPLIED:
            return
        if stored.version == self._invalid_version:
            return
        try:
            configuration = read_configuration(
                stored.text, f"configuration version {stored.version}"
            )
        except AlmondstairError as error:
            self._invalid_version = stored.version
            log.event(
                log.Event.CONFIGURATION_BAD,
                version=stored.version,
                detail=error.detail,
            )
            return
        # Apply before recording: heartbeats report the recorded version, which
        # must already be in effect.
        self.configuration = configuration
        self._on_configuration(configuration)
        self._state.apply_if_newer(stored)
        log.event(
            log.Event.CONFIGURATION_IN_FORCE,
            version=stored.version,
            edit_id=stored.edit_id,
        )

    def update_watch(self) -> None:
        """Starts or stops the watch, as this entry is elected or not."""
        self._watcher.update()

    def stop(self) -> None:
        """Stops the watch."""
        self._watcher.stop()

    async def read(self) -> bool:
        """Reads and applies the platform's configuration.

        Returns:
          Whether the platform has a configuration.

        Raises:
          AlmondstairError: `platform_unavailable`.
        """
        stored = await self._store.read()
        if stored is not None:
            self.apply(stored)
        return stored is not None

    async def seed(self, text: str) -> None:
        """Writes the first configuration if the platform has none.

        Does nothing if a configuration is in force on this entry or any peer
        heard from: a wiped platform looks the same as an unused one.

        Raises:
          AlmondstairError: `platform_unavailable`.
        """
        highest = self._membership.highest_version(
            own_version=self._state.version
        )
        if highest > 0:
            return
        edit = Edit(
            base_version=0,
            edit_id=uuid.uuid4().hex,
            author=SEED_AUTHOR,
            edited_at=_timestamp(),
            text=text,
        )
        self.apply(await self._store.seed(edit=edit))

    async def edit(self, request: EditRequest) -> EditResponse:
        """Applies an operator's edit and waits until it is in force.

        Raises:
          AlmondstairError: `configuration_invalid` or `platform_unavailable`;
            the edit was definitely not applied.
        """
        read_configuration(request.text, "the edited configuration")
        before = self._state.in_force
        edit = Edit(
            base_version=request.base_version,
            edit_id=request.edit_id,
            author=request.author,
            edited_at=_timestamp(),
            text=request.text,
        )
        result = await self._store.edit(
            edit=edit,
            highest_version=self._membership.highest_version(
                own_version=self._state.version
            ),
            all_heard=self._membership.all_heard(now_s=time.monotonic()),
        )
        log.event(
            log.Event.EDIT,
            edit_id=edit.edit_id,
            author=edit.author,
            fate=str(result.status),
            version=result.version,
        )
        if result.status is EditStatus.PENDING:
            return await self._wait_until_accepted(result)
        if result.status is EditStatus.UNKNOWN:
            self._unknown_edits[edit.edit_id] = edit.base_version
        return await self._edit_answer(result, request.base_version, before)

    async def edit_status(self, edit_id: str) -> EditResponse:
        """Returns the status of an edit.

        Raises:
          AlmondstairError: `platform_unavailable`, `not_found`.
        """
        # The edits in force are checked first: they do not disappear, and the
        # platform may be unavailable.
        edit_record = self._record_in_force(edit_id)
        if edit_record is None and edit_id in self._unknown_edits:
            result = await self._store.edit_status(
                edit_id=edit_id, base_version=self._unknown_edits[edit_id]
            )
            return await self._edit_answer(
                self._applied_status(result), 0, None
            )
        if edit_record is None:
            stored = await self._store.read()
            if stored is not None:
                self.apply(stored)
                edit_record = stored.find_edit(edit_id=edit_id)
        if edit_record is not None:
            result = EditResult(
                EditStatus.PENDING, edit_id, edit_record.version
            )
            return await self._edit_answer(
                self._applied_status(result), 0, None
            )
        raise AlmondstairError(
            kind=ErrorKind.NOT_FOUND,
            ran=Ran.UNKNOWN,
            detail=f"no edit {edit_id} among the latest; it was not applied, "
            "is older than those remembered, or its write is under way yet",
        )

    def _record_in_force(self, edit_id: str) -> EditRecord | None:
        if self._state.in_force is None:
            return None
        return self._state.in_force.find_edit(edit_id=edit_id)

    async def history(self) -> list[dict[str, object]]:
        """Returns the latest edits, newest first."""
        stored = await self._store.read()
        versions: list[dict[str, object]] = []
        if stored is None:
            return versions
        for edit_record in stored.recent:
            versions.append(dict(edit_record._asdict()))
        return versions

    def text_with_leaving_mark(
        self, *, name: str, leaving: bool
    ) -> tuple[int, str]:
        """Returns the version in force, and its text with a mark changed.

        Raises:
          AlmondstairError: `platform_unavailable` while nothing is in force;
            `not_found` if neither an upstream nor an entry has the name.
        """
        stored = self._state.in_force
        if stored is None or self.configuration is None:
            raise AlmondstairError(kind=ErrorKind.PLATFORM_UNAVAILABLE)
        known = name in self.configuration.upstreams
        known = known or self._membership.table.row(name=name) is not None
        known = known or name in self.configuration.marks.leaving
        if not known:
            raise AlmondstairError(
                kind=ErrorKind.NOT_FOUND,
                detail=f"there is neither an upstream nor an entry {name!r}",
            )
        text = configuration_edits.set_leaving(stored.text, name, leaving)
        return stored.version, text

    async def _wait_until_accepted(self, result: EditResult) -> EditResponse:
        stored = await self._read_or_none()
        if stored is not None:
            self.apply(stored)
        deadline_s = time.monotonic() + ACCEPT_WAIT_S
        current = self._applied_status(result)
        while (
            current.status is EditStatus.PENDING
            and time.monotonic() < deadline_s
        ):
            await asyncio.sleep(ACCEPT_POLL_S)
            current = self._applied_status(result)
        return await self._edit_answer(current, 0, None)

    async def _read_or_none(self) -> StoredConfiguration | None:
        try:
            return await self._store.read()
        except AlmondstairError:
            return None

    def _applied_status(self, result: EditResult) -> EditResult:
        """Returns `accepted` or `pending` for an edit in the platform."""
        stored = self._state.in_force
        edit_record = None
        if stored is not None:
            edit_record = stored.find_edit(edit_id=result.edit_id)
        if edit_record is None:
            return result
        return result_of_stored_edit(
            edit_record=edit_record,
            reports=self._membership.version_reports(
                own_version=self._state.version, now_s=time.monotonic()
            ),
            fresh_limit_s=self._fresh_limit_s,
        )

    async def _edit_answer(
        self,
        result: EditResult,
        base_version: int,
        before: StoredConfiguration | None,
    ) -> EditResponse:
        kind = _ERROR_KINDS.get(result.status)
        if kind is None:
            return EditResponse(
                result.edit_id,
                str(result.status),
                result.version,
                result.lagging_entries,
            )
        changed: tuple[str, ...] = ()
        detail = ""
        if result.status is EditStatus.CONFLICT:
            changed = await self._changed_keys(base_version, before)
            detail = _conflict_detail(result)
        if result.lagging_entries:
            detail = "not known to be in force on: " + ", ".join(
                result.lagging_entries
            )
        return EditResponse(
            result.edit_id,
            str(result.status),
            result.version,
            result.lagging_entries,
            changed,
            AlmondstairError(kind=kind, detail=detail),
        )

    async def _changed_keys(
        self, base_version: int, before: StoredConfiguration | None
    ) -> tuple[str, ...]:
        stored = await self._read_or_none()
        if stored is None:
            return ()
        self.apply(stored)
        if before is None or before.version != base_version:
            before = await self._past_version_or_none(base_version)
        if before is None:
            return ()
        return tuple(
            configuration_edits.describe_changes(before.text, stored.text)
        )

    async def _past_version_or_none(
        self, version: int
    ) -> StoredConfiguration | None:
        """Returns the base version of an edit if it is still stored.

        After a conflict this entry often has the winning version in force
        already, so it no longer has the base.
        """
        try:
            return await self._store.past_version(version=version)
        except AlmondstairError:
            return None


def _conflict_detail(result: EditResult) -> str:
    winner = result.conflicting_edit
    if winner is None:
        return "the version edited is not the one in force; read it again"
    return (
        f"{winner.author} made version {winner.version} at {winner.edited_at}; "
        "read it and edit again"
    )


def _timestamp() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="seconds")
