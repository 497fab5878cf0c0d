"""The daemon with a network that tests can partition.

It drops everything sent to the addresses in the file `<settings>.cut`: control
messages, datagrams, and new connections for forwarded requests.
"""

from pathlib import Path
import sys

from almondstair import daemon
from almondstair.http_client import HttpClient
from almondstair.peers import Peers
from almondstair.strike_exchange import StrikeExchange

_CUT_FILE = Path(sys.argv[-1] + ".cut")
_send_frames = Peers._send_frames
_connect = HttpClient.connect
_send_strike_report = StrikeExchange._send


def _is_cut(address: str) -> bool:
    try:
        return address in _CUT_FILE.read_text(encoding="utf-8").split()
    except OSError:
        return False


def _send_frames_unless_cut(
    self: Peers, address: str, frames: list[bytes]
) -> bool:
    if _is_cut(address):
        return True
    return _send_frames(self, address, frames)


async def _connect_unless_cut(self, address, **options):
    if _is_cut(address):
        raise OSError(f"no route to {address}")
    return await _connect(self, address, **options)


def _send_strike_report_unless_cut(
    self: StrikeExchange, frame: bytes, row
) -> None:
    if not _is_cut(row.peer_address):
        _send_strike_report(self, frame, row)


Peers._send_frames = _send_frames_unless_cut
StrikeExchange._send = _send_strike_report_unless_cut
HttpClient.connect = _connect_unless_cut
daemon.main()
