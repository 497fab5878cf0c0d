"""The daemon on a VM whose network can be cut.

What it sends to the addresses in the file `<settings>.cut` is lost: control
messages, and new connections of requests that are forwarded.
"""

from pathlib import Path
import sys

from almondstair import daemon
from almondstair.http_client import HttpClient
from almondstair.peers import Peers

_CUT = Path(sys.argv[-1] + ".cut")
_send_frame = Peers._send_frame
_connect = HttpClient.connect


def _is_cut(address: str) -> bool:
    try:
        return address in _CUT.read_text(encoding="utf-8").split()
    except OSError:
        return False


def _send_frame_unless_cut(self: Peers, address: str, frame: bytes) -> bool:
    if _is_cut(address):
        return True
    return _send_frame(self, address, frame)


async def _connect_unless_cut(self, address: str, *, fresh: bool):
    if _is_cut(address):
        raise OSError(f"no way to {address}")
    return await _connect(self, address, fresh=fresh)


Peers._send_frame = _send_frame_unless_cut
HttpClient.connect = _connect_unless_cut
daemon.main()
