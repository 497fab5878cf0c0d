"""A token bucket whose rate and depth change while it runs."""


class TokenBucket:
    """Paces bytes: one token is one byte.

    Tokens are added at a rate and stored up to a depth, so any window of w
    seconds lets at most `rate * w + depth` bytes through. A new bucket is
    empty.
    """

    __slots__ = ("_depth_bytes", "_rate_bytes_per_s", "_refilled_s", "_tokens")

    def __init__(self, *, now_s: float) -> None:
        """Creates an empty bucket without a rate."""
        self._rate_bytes_per_s = 0.0
        self._depth_bytes = 0.0
        self._tokens = 0.0
        self._refilled_s = now_s

    @property
    def depth_bytes(self) -> float:
        """Maximum number of stored tokens."""
        return self._depth_bytes

    @property
    def tokens(self) -> float:
        """Tokens stored at the last call that changed them."""
        return self._tokens

    @property
    def rate_bytes_per_s(self) -> float:
        """Tokens added per second."""
        return self._rate_bytes_per_s

    def refill(self, *, now_s: float) -> None:
        """Adds the tokens due by `now_s`; ignores an earlier time."""
        elapsed_s = now_s - self._refilled_s
        if elapsed_s <= 0.0:
            return
        tokens = self._tokens + elapsed_s * self._rate_bytes_per_s
        self._tokens = min(tokens, self._depth_bytes)
        self._refilled_s = now_s

    def resize(
        self, *, rate_bytes_per_s: float, depth_bytes: float, now_s: float
    ) -> None:
        """Changes rate and depth from `now_s` on.

        Stored tokens above the new depth are dropped: a lender that kept them
        could spend them while the borrower already spends its own.

        Args:
          rate_bytes_per_s: new rate.
          depth_bytes: new depth.
          now_s: monotonic time in seconds.
        """
        self.refill(now_s=now_s)
        self._rate_bytes_per_s = rate_bytes_per_s
        self._depth_bytes = depth_bytes
        self._tokens = min(self._tokens, depth_bytes)

    def acquire(self, *, size_bytes: int, now_s: float) -> bool:
        """Takes `size_bytes` tokens, or none of them.

        Returns:
          Whether there were enough tokens.
        """
        self.refill(now_s=now_s)
        if size_bytes > self._tokens:
            return False
        self._tokens -= size_bytes
        return True

    def acquire_up_to(self, *, size_bytes: int, now_s: float) -> int:
        """Takes all whole tokens, at most `size_bytes`; returns how many."""
        self.refill(now_s=now_s)
        taken_bytes = min(size_bytes, int(self._tokens))
        self._tokens -= taken_bytes
        return taken_bytes

    def wait_s(self, *, size_bytes: int, max_wait_s: float) -> float:
        """Returns the seconds until `size_bytes` tokens are available.

        Args:
          size_bytes: tokens wanted.
          max_wait_s: upper bound of the result, also if the bucket has no rate.
        """
        missing = size_bytes - self._tokens
        if missing <= 0.0:
            return 0.0
        if missing > self._rate_bytes_per_s * max_wait_s:
            return max_wait_s
        return missing / self._rate_bytes_per_s
