"""Starts the gateway: `python -m almondstair.gateway`.

Importing its modules takes 0.3 to 0.4 s, several times as long on a busy VM. By
default, a signal during the imports ends the process: a SIGHUP for a changed
settings file would end a gateway that has just been restarted, and a planned
stop would look like a crash. Both signals are therefore handled before the
imports. Ignoring SIGHUP is safe because the settings file is read after the
imports, and exiting on SIGTERM is safe because nothing listens yet.
"""

import signal
import sys
from types import FrameType


def _exit(number: int, frame: FrameType | None) -> None:
    del number, frame
    sys.exit(0)


signal.signal(signal.SIGHUP, signal.SIG_IGN)
signal.signal(signal.SIGTERM, _exit)

from almondstair.gateway import daemon  # noqa: E402

daemon.main()
