"""Bounds what a message may bring outside of its body."""


class OverheadBound:
    """Counts received bytes that are not part of a body.

    Heads, the framing of chunks, trailers and bytes of no message have no use
    beyond some size, and a parser may hold them. A body may bring as many bytes
    of framing as it has itself.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        """Starts without bytes.

        Args:
          limit_bytes: bytes that may come beside a body.
        """
        self._limit_bytes = limit_bytes
        self._received_bytes = 0
        self._body_bytes = 0

    def restart(self, *, limit_bytes: int) -> None:
        """Forgets what was received before, as the next part begins."""
        self._limit_bytes = limit_bytes
        self._received_bytes = 0
        self._body_bytes = 0

    def add_received(self, size_bytes: int) -> None:
        """Counts bytes as they come from the connection."""
        self._received_bytes += size_bytes

    def add_body(self, size_bytes: int) -> None:
        """Counts those of them that are part of a body."""
        self._body_bytes += size_bytes

    @property
    def exceeded(self) -> bool:
        """Whether more has come than a message may bring."""
        overhead_bytes = self._received_bytes - self._body_bytes
        return overhead_bytes > self._limit_bytes + self._body_bytes
