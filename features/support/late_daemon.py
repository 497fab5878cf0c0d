"""The daemon with delayed control messages to its peers.

This simulates a sending thread that does not get processor time. Datagrams and
requests are not delayed.
"""

from tornado.ioloop import IOLoop

from almondstair import daemon
from almondstair.peers import Peers

SEND_DELAY_S = 0.2
_send_frames = Peers._send_frames


def _send_frames_late(self: Peers, address: str, frames: list[bytes]) -> bool:
    IOLoop.current().call_later(
        SEND_DELAY_S, _send_frames, self, address, frames
    )
    return True


Peers._send_frames = _send_frames_late  # type: ignore[method-assign]
daemon.main()
