"""The daemon where the thread that sends control messages is left waiting.

All that it gives to its peers' sockets leaves a while later; datagrams and
requests leave at once.
"""

from tornado.ioloop import IOLoop

from almondstair import daemon
from almondstair.peers import Peers

LATE_S = 0.2
_send_frames = Peers._send_frames


def _send_frames_late(self: Peers, address: str, frames: list[bytes]) -> bool:
    IOLoop.current().call_later(LATE_S, _send_frames, self, address, frames)
    return True


Peers._send_frames = _send_frames_late  # type: ignore[method-assign]
daemon.main()
