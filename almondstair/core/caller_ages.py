"""Tells how long callers have certainly been waiting before an attempt.

Under overload, callers of refused requests return, mostly to another entry.
Without their age, an entry would take them for new callers: it would give them
a fresh latency target, and refuse them again while it serves new ones.

Callers state how long they still wait. They differ in patience: first attempts
of a route state `PATIENCE_SHARE` to 1 of the route's longest deadline, and
retries what is left of the caller's own one. So what lies below that range
comes from a caller that has been waiting, at any entry and without messages
between entries.
"""

from collections import deque
import heapq

from almondstair.core.routing import Route

# Age from which a caller is taken to have returned after a refusal. First
# attempts lose some milliseconds on their way.
MIN_RETURN_AGE_S = 0.05
# The least patient callers of a route wait for this share of its longest
# deadline.
PATIENCE_SHARE = 0.85
# Newest stated deadlines that are kept for a route.
KEPT_SAMPLES = 64
# The longest ones that do not count, so that no single caller moves the range.
ODD_SAMPLES = 2
# Routes that are kept, so that names of dropped routes do not pile up.
MAX_ROUTES = 256


class CallerAges:
    """Learns the longest deadline of each route, from what requests state.

    If it is too low, as after a start amid retries, ages are too low or 0 and
    callers count as new.
    """

    def __init__(self) -> None:
        """Starts without any deadline."""
        self._routes: dict[str, _StatedDeadlines] = {}

    def age_s(self, route: Route, stated_s: float) -> float:
        """Returns how long a caller certainly waited before this attempt.

        Args:
          route: route of the request.
          stated_s: the deadline that it states, in seconds.

        Returns:
          Its age in seconds; 0 if it may be a first attempt.
        """
        known = self._routes.get(route.name)
        if known is None or known.is_outdated(route):
            # Callers change with the route's times, and would otherwise seem to
            # have waited for the difference.
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            known = _StatedDeadlines(route)
            self._routes[route.name] = known
        known.add(stated_s)
        if known.longest_s is None:
            return 0.0
        return max(0.0, PATIENCE_SHARE * known.longest_s - stated_s)


class _StatedDeadlines:
    """The newest deadlines that requests of a route stated."""

    __slots__ = ("_samples_s", "_times_s", "longest_s")

    def __init__(self, route: Route) -> None:
        self._times_s = (route.target_latency_s, route.timeout_s)
        self._samples_s: deque[float] = deque(maxlen=KEPT_SAMPLES)
        self.longest_s: float | None = None

    def is_outdated(self, route: Route) -> bool:
        return self._times_s != (route.target_latency_s, route.timeout_s)

    def add(self, stated_s: float) -> None:
        """Adds a sample; too few of them tell nothing."""
        self._samples_s.append(stated_s)
        longest = heapq.nlargest(ODD_SAMPLES + 1, self._samples_s)
        if len(longest) > ODD_SAMPLES:
            self.longest_s = longest[-1]


def has_returned(age_s: float) -> bool:
    """Returns whether a caller had been refused before.

    Args:
      age_s: how long it certainly waited before this attempt, in seconds.
    """
    return age_s >= MIN_RETURN_AGE_S
