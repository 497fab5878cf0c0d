"""Reports between entries on requests that may crash upstreams.

Order matters: a caller may resend such a request immediately through another
entry and overtake the report on its first run. Reports are therefore sent
before the response to the caller is written, and an entry reads its peers'
pending messages before it runs a request.
"""

from almondstair.clock import now_s
from almondstair.core.crash_suspects import CrashSuspects
from almondstair.core.crash_suspects import CrashVerdict
from almondstair.core.crash_suspects import Strike
from almondstair.core.upstream_state import UpstreamState
from almondstair.gateway.load_exchange import LoadExchange
from almondstair.gateway.peer_messages import LostRequest
from almondstair.gateway.peer_messages import UpstreamGone

_MS_PER_S = 1000


class CrashReports:
    """Sends this entry's suspicions to all other entries as they arise."""

    def __init__(
        self,
        *,
        suspects: CrashSuspects,
        load_exchange: LoadExchange,
        own_name: str,
    ) -> None:
        """Creates the reports of one entry.

        Args:
          suspects: holds the suspicions of this entry and of its peers.
          load_exchange: exchanges messages with other entries.
          own_name: name of this entry.
        """
        self._suspects = suspects
        self._load_exchange = load_exchange
        self._own_name = own_name

    def report_lost(
        self, request: int, upstream: UpstreamState, *, ran_s: float
    ) -> None:
        """Records and reports a connection that ended without a response.

        Args:
          request: fingerprint of the request.
          upstream: the upstream that ran it.
          ran_s: how long it had run there, in seconds.
        """
        upstream_hash = upstream.name_hash
        strike = Strike(request, upstream_hash)
        if self._suspects.record_lost(strike, ran_s=ran_s, now_s=now_s()):
            ran_ms = round(ran_s * _MS_PER_S)
            self._load_exchange.broadcast(
                LostRequest(self._own_name, request, upstream_hash, ran_ms)
            )

    def report_gone(self, upstream: UpstreamState) -> None:
        """Records a gone upstream and reports the requests lost there."""
        upstream_hash = upstream.name_hash
        suspected_requests = self._suspects.record_ended(
            upstream_hash, now_s=now_s()
        )
        if suspected_requests:
            self._load_exchange.broadcast(
                UpstreamGone(self._own_name, upstream_hash, suspected_requests)
            )

    def record_alive(self, upstream: UpstreamState) -> None:
        """Records that an upstream is alive after a lost response."""
        self._suspects.record_alive(upstream.name_hash)

    def record_response(self, request: int) -> None:
        """Records a complete response to a request."""
        self._suspects.record_response(request)

    def verdict(self, request: int) -> CrashVerdict:
        """Returns the verdict on a request after reading pending reports."""
        self._load_exchange.read_pending()
        return self._suspects.verdict(request, now_s=now_s())

    def possibly_crashed(self, request: int) -> frozenset[int]:
        """Returns hashes of the upstreams that a request may have crashed."""
        return self._suspects.possibly_crashed(request, now_s=now_s())

    def latest_possibly_crashed(self, request: int) -> frozenset[int]:
        """Returns `possibly_crashed` after reading pending reports."""
        self._load_exchange.read_pending()
        return self.possibly_crashed(request)
