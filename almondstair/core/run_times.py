"""How long requests run at upstreams, learned from their answers."""

from collections import OrderedDict
from typing import Any

# Weight of the newest sample in a running mean: a change of the work shows
# after a dozen answers, a single slow one hardly does.
SAMPLE_WEIGHT = 0.1
# Part of a route's aim that a request is taken to run for before the first
# answer; aims leave room for a queue and the way.
FIRST_GUESS_SHARE = 0.6
# Part of the run time for a new object that a known one is taken to need before
# the first answer for one. Guessing too high lets the first seconds scatter
# each key over many upstreams, all of which then run it as new.
FIRST_KNOWN_SHARE = 0.4
# How long an upstream is taken to remember an object that it handled.
WARM_S = 30.0
# Keys that are remembered; 100 bytes each and as much for each upstream.
REMEMBERED_KEYS = 4096


class RunTimes:
    """Learns run times per route, apart for known and for new objects.

    An upstream that has handled an object lately runs requests for it several
    times faster. How much faster follows from the answers themselves.
    """

    def __init__(self) -> None:
        """Starts with nothing learned."""
        self._means: dict[tuple[str, bool], float] = {}
        self._services: dict[str, float] = {}
        self._served: OrderedDict[tuple[str, str], dict[str, float]] = (
            OrderedDict()
        )

    def warm_places(
        self, *, service: str, key: str, now_s: float
    ) -> frozenset[str]:
        """Returns the ids of the upstreams that are taken to know an object."""
        served = self._served.get((service, key))
        if served is None:
            return frozenset()
        places = []
        for upstream_id, at_s in served.items():
            if now_s - at_s < WARM_S:
                places.append(upstream_id)
        return frozenset(places)

    def note_served(
        self, *, service: str, key: str, upstream_id: str, now_s: float
    ) -> None:
        """Notes that an upstream has handled an object."""
        served = self._served.get((service, key))
        if served is None:
            served = {}
            self._served[(service, key)] = served
            if len(self._served) > REMEMBERED_KEYS:
                self._served.popitem(last=False)
        served[upstream_id] = now_s

    def expected_s(self, *, route: str, aim_s: float, warm: bool) -> float:
        """Returns how long a request is expected to run, in seconds."""
        mean = self._means.get((route, warm))
        if mean is not None:
            return mean
        other = self._means.get((route, not warm))
        if warm:
            new_s = other if other is not None else FIRST_GUESS_SHARE * aim_s
            return FIRST_KNOWN_SHARE * new_s
        if other is not None:
            return other / FIRST_KNOWN_SHARE
        return FIRST_GUESS_SHARE * aim_s

    def service_s(self, *, service: str, default_s: float) -> float:
        """Returns the mean run time over all requests of a service."""
        return self._services.get(service, default_s)

    def note_run(
        self, *, service: str, route: str, warm: bool | None, run_s: float
    ) -> None:
        """Takes the run time that an answer shows.

        Args:
          service: the service that ran it.
          route: the request's route.
          warm: whether the upstream knew the object; None if that is unsure.
          run_s: the time in seconds.
        """
        if warm is not None:
            _mix(self._means, (route, warm), run_s)
        _mix(self._services, service, run_s)


def _mix(means: dict[Any, float], name: Any, sample: float) -> None:
    mean = means.get(name)
    if mean is None:
        means[name] = sample
        return
    means[name] = mean + SAMPLE_WEIGHT * (sample - mean)
