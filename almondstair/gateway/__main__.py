"""Starts the gateway: `python -m almondstair.gateway`.

Its modules take 0.3 to 0.4 s to import, several times as long on a busy VM. A
signal that comes meanwhile ends a process by default: one that only says that
the settings file has changed would end a gateway that has just been restarted,
and a planned stop would look like a crash. So both are taken before the
imports. The file is read after them, and nothing listens that would have to be
finished.
"""

import signal
import sys
from types import FrameType


def _end(number: int, frame: FrameType | None) -> None:
    del number, frame
    sys.exit(0)


signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _end)

from almondstair.gateway import daemon  # noqa: E402

daemon.main()
