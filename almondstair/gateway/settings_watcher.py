"""Applies changes of the settings file to the running process.

The platform rewrites the file, with or without a signal. Without the watch, the
process would use outdated bounds, zones and store addresses until a restart.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path

from almondstair import log
from almondstair.errors import AlmondstairError
from almondstair.platform import boot

# How often the file is read. A new bound comes into force well within the
# shortest of the operators' time limits, 2 s; reading 4 kB takes 15 us.
POLL_INTERVAL_S = 1.0
# Settings that need a restart: sockets, names and registrations depend on them.
FIXED_FIELDS = (
    "entry_name",
    "region",
    "availability_zone",
    "ip",
    "means",
    "listen",
    "peer_ports",
)


class SettingsWatcher:
    """Reloads the settings file when its text has changed."""

    def __init__(
        self,
        *,
        path: str,
        settings: boot.BootSettings,
        apply: Callable[[boot.BootSettings], None],
    ) -> None:
        """Creates a watcher.

        Args:
          path: the file that `settings` came from.
          settings: the settings in force.
          apply: puts new settings into force; those that need a restart are
            unchanged in them.
        """
        self._path = path
        self._settings = settings
        self._apply = apply
        self._text: bytes | None = None

    async def run(self) -> None:
        """Polls the file until it is cancelled."""
        self._text = self._read()
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            text = self._read()
            if text is not None and text != self._text:
                self._text = text
                self.reload()

    def _read(self) -> bytes | None:
        try:
            return Path(self._path).read_bytes()
        except OSError:
            # The file is being replaced; the next poll finds it. A reload by
            # a signal logs a missing file.
            return None

    def reload(self) -> None:
        """Reads the file and applies what does not need a restart."""
        try:
            read = boot.load(self._path)
        except AlmondstairError as error:
            log.event(log.Event.SETTINGS_BAD, detail=error.detail)
            return
        fixed = {name: getattr(self._settings, name) for name in FIXED_FIELDS}
        applicable = read._replace(**fixed)
        changed = _changed_fields(self._settings, applicable)
        after_restart = _changed_fields(applicable, read)
        self._settings = applicable
        if changed:
            self._apply(applicable)
        log.event(
            log.Event.GATEWAY_RELOADED,
            changed=changed,
            after_restart=after_restart,
        )


def _changed_fields(
    old: boot.BootSettings, new: boot.BootSettings
) -> list[str]:
    changed = []
    for name in boot.BootSettings._fields:
        if getattr(old, name) != getattr(new, name):
            changed.append(name)
    return changed
