"""Retry budgets and times to come back.

Only the first entry of a request retries. An entry that was forwarded a
request answers its refusal to the sender; if both retried, their budgets would
multiply.
"""

from typing import NamedTuple

DEFAULT_FRACTION = 0.1
DEFAULT_MINIMUM_PER_S = 1.0
DEFAULT_DEPTH_S = 1.0
WINDOW_S = 1.0
MAX_RETRY_AFTER_MS = 60_000


class RetryCounts(NamedTuple):
    """What a budget has seen since it was made."""

    first_tries: int
    retries: int
    withheld: int


class RetryBudget:
    """Allows retries as a fraction of first tries.

    Without it a region that refuses half of its work is sent that half again,
    refuses more, and is sent more: it stays overloaded after the cause has
    gone. One would see retries rise while first tries stay level. Here each
    first try earns a fraction of a token and each retry spends a whole one,
    so retries stay at `fraction` of first tries however many fail.

    A service with little load earns next to nothing. A window of one second
    that earned less than `minimum_per_s` is made up to it.

    The first token is there from the start and is earned afterwards. What goes
    wrong without: the first request after the start of an entry goes to one
    that has just died, certainly did not run, and is refused though others
    have room: in 2 of 14 plays of a kill right after the start.
    """

    def __init__(
        self,
        *,
        fraction: float = DEFAULT_FRACTION,
        minimum_per_s: float = DEFAULT_MINIMUM_PER_S,
        depth_s: float = DEFAULT_DEPTH_S,
    ) -> None:
        """Makes a budget with one quiet second's tokens in it.

        Args:
          fraction: tokens that a first try earns.
          minimum_per_s: tokens that a second earns at least.
          depth_s: seconds of earning at the present rate that are kept; what
            calm saves up is spent at the start of an overload, so it is small.
        """
        self._fraction = fraction
        self._minimum_per_s = minimum_per_s
        self._depth_s = depth_s
        self._tokens = minimum_per_s * WINDOW_S
        self._unearned_tokens = self._tokens
        self._earned_in_window = 0.0
        self._rate_per_s = 0.0
        self._window_start_s: float | None = None
        self._first_tries = 0
        self._retries = 0
        self._withheld = 0

    def first_try(self, *, now_s: float) -> None:
        """Counts a first try."""
        self._roll_window(now_s=now_s)
        self._first_tries += 1
        self._earned_in_window += self._fraction
        self._earn(self._fraction)

    def may_retry(self, *, now_s: float) -> bool:
        """Spends a token if there is one; returns whether there was."""
        self._roll_window(now_s=now_s)
        if self._tokens < 1.0:
            self._withheld += 1
            return False
        self._tokens -= 1.0
        self._retries += 1
        return True

    @property
    def fraction(self) -> float:
        """Tokens that a first try earns."""
        return self._fraction

    @property
    def counts(self) -> RetryCounts:
        """Tries and retries since the budget was made."""
        return RetryCounts(
            first_tries=self._first_tries,
            retries=self._retries,
            withheld=self._withheld,
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


def retry_after_ms(*, base_ms: int, draw: float, pressure: float = 1.0) -> int:
    """Returns when a refused caller may come back.

    Callers refused at the same moment would come back at the same moment and
    be refused again together; a burst that repeats with the period `base_ms`
    shows it. The draw spreads them over one to two times the base.

    Args:
      base_ms: shortest time that helps.
      draw: uniform in [0, 1).
      pressure: offered load over capacity; more than 1 pushes callers back
        in proportion.

    Returns:
      Milliseconds, at most a minute.
    """
    stretched_ms = base_ms * max(1.0, pressure) * (1.0 + draw)
    return min(MAX_RETRY_AFTER_MS, round(stretched_ms))
