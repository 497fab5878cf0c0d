"""What entries tell each other of requests that may crash upstreams.

What goes wrong without the order kept here: a caller sends such a request again
at once, through another entry, and gets there before the word of its end. So
the word leaves before the caller's answer is written, and an entry reads what
its peers have sent before it lets a request run.
"""

from almondstair.clock import now_s
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.crash_suspects import Standing
from almondstair.core.crash_suspects import Strike
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.load_sharing import LoadSharing
from almondstair.gateway.peer_messages import GoneTold
from almondstair.gateway.peer_messages import LossTold

_MS_PER_S = 1000


class CrashWords:
    """The suspicions of one entry, told to all others as they arise."""

    def __init__(
        self, *, suspects: CrashSuspects, sharing: LoadSharing, own_name: str
    ) -> None:
        """Makes the words of one entry.

        Args:
          suspects: where suspicions are kept, this entry's and others'.
          sharing: sends to other entries, and takes what they send.
          own_name: name of this entry.
        """
        self._suspects = suspects
        self._sharing = sharing
        self._own_name = own_name

    def note_lost(
        self, request: int, upstream: UpstreamState, *, ran_s: float
    ) -> None:
        """Notes and tells a connection that ended without an answer.

        Args:
          request: fingerprint of the request.
          upstream: where it ran.
          ran_s: how long it had run there, in seconds.
        """
        name = upstream.name_hash
        strike = Strike(request, name)
        if self._suspects.note_lost(strike, ran_s=ran_s, now_s=now_s()):
            ran_ms = round(ran_s * _MS_PER_S)
            self._sharing.send_all(
                LossTold(self._own_name, request, name, ran_ms)
            )

    def note_gone(self, upstream: UpstreamState) -> None:
        """Notes that an upstream is gone, and tells what was lost there."""
        name = upstream.name_hash
        struck = self._suspects.note_gone(name, now_s=now_s())
        if struck:
            self._sharing.send_all(GoneTold(self._own_name, name, struck))

    def note_lives(self, upstream: UpstreamState) -> None:
        """Notes that an upstream that lost an answer is there."""
        self._suspects.note_lives(upstream.name_hash)

    def note_answered(self, request: int) -> None:
        """Notes a whole answer to a request."""
        self._suspects.note_answered(request)

    def standing(self, request: int) -> Standing:
        """Returns what may be done with a request, by all that was told."""
        self._sharing.read_waiting()
        return self._suspects.standing(request, now_s=now_s())

    def exposed(self, request: int) -> frozenset[int]:
        """Returns the upstreams that a request may have ended."""
        return self._suspects.exposed(request, now_s=now_s())

    def exposed_now(self, request: int) -> frozenset[int]:
        """Returns the upstreams that a request may have ended, as told."""
        self._sharing.read_waiting()
        return self.exposed(request)
