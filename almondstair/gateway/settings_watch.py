"""Takes changes of the settings file into the running process.

What goes wrong without: the platform rewrites the file, with a signal or
without one, and the process keeps to bounds, zones and a store's address that
are no longer true until it is started anew.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path

from almondstair import log
from almondstair.errors import AlmondstairError
from almondstair.platform import boot

# How often the file is looked at. A new bound is in force well within the
# operators' shortest one, 2 s; reading 4 kB takes 15 us (a loop).
LOOK_S = 1.0
# What sockets, names and registrations were made from.
FIXED_FIELDS = (
    "entry_name",
    "region",
    "availability_zone",
    "ip",
    "means",
    "listen",
    "peer_ports",
)


class SettingsWatch:
    """Reads the settings file again when its text has changed."""

    def __init__(
        self,
        *,
        path: str,
        settings: boot.BootSettings,
        take: Callable[[boot.BootSettings], None],
    ) -> None:
        """Makes a watch.

        Args:
          path: the file that `settings` came from.
          settings: what is in force.
          take: puts new settings in force; what needs a restart is as before
            in them.
        """
        self._path = path
        self._settings = settings
        self._take = take
        self._text: bytes | None = None

    async def run(self) -> None:
        """Looks at the file until it is cancelled."""
        self._text = self._read()
        while True:
            await asyncio.sleep(LOOK_S)
            text = self._read()
            if text is not None and text != self._text:
                self._text = text
                self.reload()

    def _read(self) -> bytes | None:
        try:
            return Path(self._path).read_bytes()
        except OSError:
            # Between two files while it is replaced; the next look finds it.
            # A signal's reload tells of a file that is gone.
            return None

    def reload(self) -> None:
        """Reads the file and puts in force what can be."""
        try:
            read = boot.load(self._path)
        except AlmondstairError as error:
            log.event(log.Event.SETTINGS_BAD, detail=error.detail)
            return
        fixed = {name: getattr(self._settings, name) for name in FIXED_FIELDS}
        wanted = read._replace(**fixed)
        changed = _differing(self._settings, wanted)
        after_restart = _differing(wanted, read)
        self._settings = wanted
        if changed:
            self._take(wanted)
        log.event(
            log.Event.GATEWAY_RELOADED,
            changed=changed,
            after_restart=after_restart,
        )


def _differing(one: boot.BootSettings, other: boot.BootSettings) -> list[str]:
    found = []
    for name in boot.BootSettings._fields:
        if getattr(one, name) != getattr(other, name):
            found.append(name)
    return found
