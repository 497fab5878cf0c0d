"""A retry budget that all entries share without communication."""

from collections import deque

from almondstair.core.quotas import FleetMembership

# Part of the operators' limit that is used: a retry may arrive later than
# others that are sent after it, and so in another window.
USED_SHARE = 0.8
# Part of what a window allows that may be spent at once; one retry at least if
# the window allows one. The rest is earned within the window, so that both
# together keep within its limit.
BURST_SHARE = 0.4
# Part of the slack with which an entry starts if there is no other one.
START_SHARE = 0.2


class _Allowance:
    """Retries that a service may have now, and its recent requests."""

    __slots__ = ("earned_share", "level", "requests", "slack", "updated_s")

    def __init__(self, *, now_s: float) -> None:
        self.level = 0.0
        self.earned_share = 0.0
        self.requests: deque[float] = deque()
        self.slack = 0.0
        self.updated_s = now_s


class SharedRetryBudget:
    """Limits how often requests of a service are retried at another upstream.

    The limit over all entries is a ratio of the requests plus a slack, in any
    window. Each entry applies the ratio to its own requests and divides the
    slack by the number of live entries.

    An entry earns its retries and starts without any. So processes that restart
    within a window have no more together than one that does not, and an entry
    that takes over a share does not spend what its former owner has spent
    already. An entry that others may not count has no part of the slack. Only
    one that is alone starts with some: its callers have no other entry.
    """

    def __init__(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Creates a budget.

        Args:
          ratio: retries allowed per request.
          slack: retries allowed in addition, over all entries.
          window_s: length of the sliding window, in seconds.
        """
        self.set_limits(ratio=ratio, slack=slack, window_s=window_s)
        self._allowances: dict[str, _Allowance] = {}

    def set_limits(
        self, *, ratio: float, slack: float, window_s: float
    ) -> None:
        """Replaces the limits; counted requests and retries stay counted."""
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s

    def record_request(
        self, *, service: str, membership: FleetMembership, now_s: float
    ) -> None:
        """Counts a request for a service.

        Args:
          service: the service of the request.
          membership: the entries that share the slack.
          now_s: the entry's clock, in seconds.
        """
        allowance = self._updated(service, membership, now_s)
        allowance.requests.append(now_s)
        allowance.level += USED_SHARE * self._ratio * allowance.earned_share

    def try_acquire(
        self, *, service: str, membership: FleetMembership, now_s: float
    ) -> bool:
        """Counts a retry and returns True if the budget allows it.

        Args:
          service: the service of the request.
          membership: the entries that share the slack.
          now_s: the entry's clock, in seconds.
        """
        allowance = self._updated(service, membership, now_s)
        if allowance.level < 1.0:
            return False
        allowance.level -= 1.0
        return True

    def _updated(
        self, service: str, membership: FleetMembership, now_s: float
    ) -> _Allowance:
        """Returns a service's allowance with what it has earned by now."""
        allowance = self._allowances.get(service)
        if allowance is None:
            allowance = _Allowance(now_s=now_s)
            if membership.alone:
                allowance.level = USED_SHARE * START_SHARE * self._slack
            self._allowances[service] = allowance
        requests = allowance.requests
        while requests and requests[0] < now_s - self._window_s:
            requests.popleft()
        slack = 0.0
        if membership.joined or membership.alone:
            slack = self._slack / max(1, membership.entries)
        earning_s = min(now_s - allowance.updated_s, membership.joined_s)
        # A share that has grown meanwhile counts from now on only.
        earned = min(slack, allowance.slack) * earning_s / self._window_s
        level = allowance.level + USED_SHARE * earned * allowance.earned_share
        allowed = USED_SHARE * (self._ratio * len(requests) + slack)
        burst = min(allowed, max(1.0, BURST_SHARE * allowed))
        allowance.level = min(level, burst)
        allowance.earned_share = 1.0 - burst / allowed if allowed else 0.0
        allowance.slack = slack
        allowance.updated_s = now_s
        return allowance
