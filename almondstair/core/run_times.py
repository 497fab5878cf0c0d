"""How long requests run at upstreams, learned from their answers."""

from typing import NamedTuple

# Least weight of the newest sample in a running mean: a change of the work
# shows after a dozen answers, a single slow one hardly does.
SAMPLE_WEIGHT = 0.1
# Samples that a first guess counts for. An entry of a large fleet sees few
# requests of a route; without, the first answer alone would decide for seconds.
GUESS_SAMPLES = 3
# A known object takes at most this part of the time that a new one takes.
MOST_KNOWN_SHARE = 0.7
# Part of a route's aim that a request is taken to run for before the first
# answer; aims leave room for a queue and the way.
FIRST_GUESS_SHARE = 0.6
# Part of the run time for a new object that a known one is taken to need before
# the first answer for one. Guessing too high lets the first seconds scatter
# each key over many upstreams, all of which then run it as new.
FIRST_KNOWN_SHARE = 0.4


class Expected(NamedTuple):
    """How long a request is expected to run, in seconds.

    Attributes:
      known_s: where its object is known.
      new_s: where it is not.
    """

    known_s: float
    new_s: float


class RunTimes:
    """Learns run times per route, apart for known and for new objects.

    An upstream that has handled an object lately runs requests for it several
    times faster. How much faster follows from the answers themselves.
    """

    def __init__(self) -> None:
        """Starts with nothing learned."""
        self._routes: dict[tuple[str, bool], _Mean] = {}
        self._services: dict[str, _Mean] = {}

    def expected(self, *, route: str, aim_s: float) -> Expected:
        """Returns how long a request is expected to run.

        Args:
          route: the request's route.
          aim_s: the route's aim, from which the first guess comes.
        """
        new_s = FIRST_GUESS_SHARE * aim_s
        new = self._routes.get((route, False))
        if new is not None:
            new_s = new.with_guess(new_s)
        known_s = FIRST_KNOWN_SHARE * new_s
        known = self._routes.get((route, True))
        if known is not None:
            known_s = known.with_guess(known_s)
        return Expected(
            known_s=min(known_s, MOST_KNOWN_SHARE * new_s), new_s=new_s
        )

    def service_s(self, *, service: str, default_s: float) -> float:
        """Returns the mean run time over all requests of a service."""
        mean = self._services.get(service)
        return default_s if mean is None else mean.with_guess(default_s)

    def note_run(
        self, *, service: str, route: str, warm: bool | None, run_s: float
    ) -> None:
        """Takes the run time that an answer shows.

        Which kind of run it was follows from its time as soon as both kinds
        are known. What goes wrong without: an upstream forgets objects when it
        gets many, or another entry has brought it one; such runs count for the
        wrong kind, the two means drift together, and requests are refused for
        waits that they had time for.

        Args:
          service: the service that ran it.
          route: the request's route.
          warm: whether the upstream knew the object; None if that is unsure.
          run_s: the time in seconds.
        """
        known = self._routes.get((route, True))
        new = self._routes.get((route, False))
        if known is not None and new is not None:
            if known.settled and new.settled:
                warm = run_s * run_s < known.mean * new.mean
        if warm is not None:
            self._routes.setdefault((route, warm), _Mean()).add(run_s)
        self._services.setdefault(service, _Mean()).add(run_s)


class _Mean:
    """A mean over all samples at first, over the newest ones later."""

    __slots__ = ("_count", "mean")

    def __init__(self) -> None:
        self._count = 0
        self.mean = 0.0

    @property
    def settled(self) -> bool:
        """Whether it rests on more than a guess."""
        return self._count >= GUESS_SAMPLES

    def add(self, sample: float) -> None:
        self._count += 1
        weight = max(SAMPLE_WEIGHT, 1.0 / self._count)
        self.mean += weight * (sample - self.mean)

    def with_guess(self, guess: float) -> float:
        """Returns the mean, with a guess standing in for the first samples."""
        if self._count >= 1.0 / SAMPLE_WEIGHT:
            return self.mean
        total = self._count + GUESS_SAMPLES
        return (self.mean * self._count + guess * GUESS_SAMPLES) / total
