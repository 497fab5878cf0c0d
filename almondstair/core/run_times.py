"""Estimates how long requests run at upstreams, from their responses."""

from typing import NamedTuple

# Minimum weight of the newest sample in a running mean: a change of the
# workload shows after a dozen responses, a single slow response hardly does.
MIN_SAMPLE_WEIGHT = 0.1
# Number of samples that the initial estimate counts as. An entry of a large
# fleet sees few requests of a route, so the first response alone would
# otherwise determine the mean for seconds.
ESTIMATE_SAMPLES = 3
# Upper limit of the cached run time as a fraction of the uncached one.
MAX_CACHED_RATIO = 0.7
# Initial run time as a fraction of a route's latency target, which leaves time
# for a queue and the round trip.
INITIAL_RUN_RATIO = 0.6
# Initial cached run time as a fraction of the uncached one. If it were too
# high, the first seconds would spread each key over many upstreams, all of
# which would run it uncached.
INITIAL_CACHED_RATIO = 0.4


class ExpectedRunTimes(NamedTuple):
    """Holds the expected run times of a request.

    Attributes:
      cached_s: run time where its object is cached, in seconds.
      uncached_s: run time where it is not, in seconds.
    """

    cached_s: float
    uncached_s: float


class RunTimes:
    """Learns run times per route, separately for cached and uncached objects.

    An upstream that has handled an object recently runs requests for it several
    times faster. The factor follows from the responses.
    """

    def __init__(self) -> None:
        """Starts without samples."""
        self._routes: dict[tuple[str, bool], _RunningMean] = {}
        self._services: dict[str, _RunningMean] = {}
        self._responses: dict[str, _RunningMean] = {}

    def expected(
        self, *, route: str, target_latency_s: float
    ) -> ExpectedRunTimes:
        """Returns the expected run times of a request.

        Args:
          route: the request's route.
          target_latency_s: the route's latency target in seconds, from which
            the initial estimate is derived.
        """
        uncached_s = INITIAL_RUN_RATIO * target_latency_s
        uncached = self._routes.get((route, False))
        if uncached is not None:
            uncached_s = uncached.with_estimate(uncached_s)
        cached_s = INITIAL_CACHED_RATIO * uncached_s
        cached = self._routes.get((route, True))
        if cached is not None:
            cached_s = cached.with_estimate(cached_s)
        return ExpectedRunTimes(
            cached_s=min(cached_s, MAX_CACHED_RATIO * uncached_s),
            uncached_s=uncached_s,
        )

    def service_run_s(self, *, service: str, default_s: float) -> float:
        """Returns the mean run time of a service's requests, in seconds."""
        mean = self._services.get(service)
        return default_s if mean is None else mean.with_estimate(default_s)

    def service_response_s(self, *, service: str, default_s: float) -> float:
        """Returns the mean time to a response, with queues, in seconds."""
        mean = self._responses.get(service)
        return default_s if mean is None else mean.with_estimate(default_s)

    def record_response(self, *, service: str, took_s: float) -> None:
        """Adds the time to a response, with any wait at the upstream."""
        self._responses.setdefault(service, _RunningMean()).add(took_s)

    def record_run(
        self, *, service: str, route: str, warm: bool | None, run_s: float
    ) -> None:
        """Adds the run time of a response.

        Once both means are reliable, the run time itself tells whether the
        object was cached. An upstream may have evicted it, or may have it
        cached from another entry's request. Such runs would count for the wrong
        mean, the two means would converge, and requests would be refused for
        waits that their time allows.

        Args:
          service: the service that ran the request.
          route: the request's route.
          warm: whether the upstream had the object cached; None if unknown.
          run_s: the run time, in seconds.
        """
        cached = self._routes.get((route, True))
        uncached = self._routes.get((route, False))
        if cached is not None and uncached is not None:
            if cached.reliable and uncached.reliable:
                warm = run_s * run_s < cached.mean * uncached.mean
        if warm is not None:
            self._routes.setdefault((route, warm), _RunningMean()).add(run_s)
        self._services.setdefault(service, _RunningMean()).add(run_s)


class _RunningMean:
    """Running mean: over all samples at first, then over the newest ones."""

    __slots__ = ("_count", "mean")

    def __init__(self) -> None:
        self._count = 0
        self.mean = 0.0

    @property
    def reliable(self) -> bool:
        """Returns whether it has as many samples as the estimate counts for."""
        return self._count >= ESTIMATE_SAMPLES

    def add(self, sample: float) -> None:
        self._count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / self._count)
        self.mean += weight * (sample - self.mean)

    def with_estimate(self, estimate: float) -> float:
        """Returns the mean, combined with an estimate while samples are few."""
        if self._count >= 1.0 / MIN_SAMPLE_WEIGHT:
            return self.mean
        total = self._count + ESTIMATE_SAMPLES
        return (self.mean * self._count + estimate * ESTIMATE_SAMPLES) / total
