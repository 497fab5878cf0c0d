"""Retry budgets and retry delays.

Only the first entry of a request retries. An entry that receives a forwarded
request returns a refusal to the sender; if both retried, their budgets would
multiply.
"""

from typing import NamedTuple

DEFAULT_FRACTION = 0.1
DEFAULT_MINIMUM_PER_S = 1.0
DEFAULT_DEPTH_S = 1.0
WINDOW_S = 1.0
MAX_RETRY_AFTER_MS = 60_000


class RetryCounts(NamedTuple):
    """Counts of a budget since its creation."""

    first_attempts: int
    retries: int
    denied: int


class RetryBudget:
    """Allows retries as a fraction of first attempts.

    Without a budget, a region that refuses half of its work gets that half
    again, refuses more, and stays overloaded after the cause has gone: retries
    rise while first attempts stay level. Here each first attempt earns a
    fraction of a token and each retry spends a whole one, so retries stay at
    `fraction` of first attempts however many fail.

    A service with little load earns almost nothing, so a window of one second
    that earned less than `minimum_per_s` is topped up to it.

    The first token is granted in advance and earned afterwards. Without it, if
    the first request of a new entry goes to a peer that has just died, it is
    refused although it certainly did not run and others have free slots. This
    happened in 2 of 14 runs with a kill right after the start.
    """

    def __init__(
        self,
        *,
        fraction: float = DEFAULT_FRACTION,
        minimum_per_s: float = DEFAULT_MINIMUM_PER_S,
        depth_s: float = DEFAULT_DEPTH_S,
    ) -> None:
        """Creates a budget with the minimum tokens of one second.

        Args:
          fraction: tokens that a first attempt earns.
          minimum_per_s: minimum of tokens earned per second.
          depth_s: how many seconds of earnings at the current rate are stored.
            It is small, since stored tokens are spent at the start of an
            overload.
        """
        self._fraction = fraction
        self._minimum_per_s = minimum_per_s
        self._depth_s = depth_s
        self._tokens = minimum_per_s * WINDOW_S
        self._unearned_tokens = self._tokens
        self._earned_in_window = 0.0
        self._rate_per_s = 0.0
        self._window_start_s: float | None = None
        self._first_attempts = 0
        self._retries = 0
        self._denied = 0

    def record_first_attempt(self, *, now_s: float) -> None:
        """Counts a first attempt."""
        self._roll_window(now_s=now_s)
        self._first_attempts += 1
        self._earned_in_window += self._fraction
        self._earn(self._fraction)

    def try_retry(self, *, now_s: float) -> bool:
        """Spends a token for a retry; returns False if there is none."""
        self._roll_window(now_s=now_s)
        if self._tokens < 1.0:
            self._denied += 1
            return False
        self._tokens -= 1.0
        self._retries += 1
        return True

    @property
    def fraction(self) -> float:
        """Tokens that a first attempt earns."""
        return self._fraction

    @property
    def counts(self) -> RetryCounts:
        """First attempts, and retries made and denied, since creation."""
        return RetryCounts(
            first_attempts=self._first_attempts,
            retries=self._retries,
            denied=self._denied,
        )

    def _roll_window(self, *, now_s: float) -> None:
        if self._window_start_s is None:
            self._window_start_s = now_s
        windows = int((now_s - self._window_start_s) / WINDOW_S)
        if windows < 1:
            return
        minimum = self._minimum_per_s * WINDOW_S
        self._earn(max(0.0, minimum - self._earned_in_window))
        self._earn(minimum * (windows - 1))
        self._rate_per_s = self._earned_in_window / (windows * WINDOW_S)
        self._tokens = min(self._tokens, self._depth())
        self._earned_in_window = 0.0
        self._window_start_s += windows * WINDOW_S

    def _earn(self, tokens: float) -> None:
        repaid = min(self._unearned_tokens, tokens)
        self._unearned_tokens -= repaid
        self._tokens += tokens - repaid

    def _depth(self) -> float:
        rate_per_s = max(self._rate_per_s, self._minimum_per_s)
        return max(1.0, rate_per_s * self._depth_s)


def retry_after_ms(
    *, base_ms: int, draw: float, load_ratio: float = 1.0
) -> int:
    """Returns after how many milliseconds a refused caller may retry.

    Callers refused at the same moment would retry at the same moment and be
    refused together again, in bursts with the period `base_ms`. The draw
    spreads them over one to two times the base.

    Args:
      base_ms: shortest useful delay, in milliseconds.
      draw: random number, uniform in [0, 1).
      load_ratio: offered load divided by capacity; above 1 it lengthens the
        delay in proportion.

    Returns:
      The delay in milliseconds, at most a minute.
    """
    stretched_ms = base_ms * max(1.0, load_ratio) * (1.0 + draw)
    return min(MAX_RETRY_AFTER_MS, round(stretched_ms))
