"""An upstream in virtual time: slots, a first-come queue, and a memory."""

from collections import OrderedDict
from collections import deque
from collections.abc import Callable
import random
from typing import NamedTuple

from emulator.load_pattern import Kind
from emulator.load_pattern import Service

# Spread of run times: the logarithm's standard deviation.
RUN_SPREAD = 0.15
# The same of the speed of the upstreams of a service.
SPEED_SPREAD = 0.2


class Run(NamedTuple):
    """A request at an upstream.

    Attributes:
      kind: its kind.
      key: its object.
      done: is called at the end with whether the object was new; not at all
        where the upstream is lost meanwhile.
    """

    kind: Kind
    key: str
    done: Callable[[bool], None]


class ModelledUpstream:
    """Runs requests.

    Attributes:
      name: its id.
      service: name of its service.
      region: where it stands.
      lost: whether it takes no connections.
      slow_times: how many times longer it runs requests.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        service: Service,
        draws: random.Random,
        later: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Starts with nothing known.

        Args:
          name: its id.
          region: where it stands.
          service: its service.
          draws: chance.
          later: calls something after a time in seconds.
        """
        self.name = name
        self.service = service.name
        self.region = region
        self.lost = False
        self.slow_times = 1.0
        self._rule = service
        self._draws = draws
        self._later = later
        self._running = 0
        self._queue: deque[Run] = deque()
        self._known: OrderedDict[str, None] = OrderedDict()
        self._start = 0
        self._speed = draws.lognormvariate(0.0, SPEED_SPREAD)

    def take(self, run: Run) -> bool:
        """Runs a request, now or later; returns False where it is full."""
        if self._running < self._rule.slots:
            self._begin(run)
            return True
        if len(self._queue) >= self._rule.queue:
            return False
        self._queue.append(run)
        return True

    def lose(self) -> None:
        """Ends: what it ran gets no answer, and what it knew is gone."""
        self.lost = True
        self._start += 1
        self._running = 0
        self._queue.clear()
        self._known.clear()

    def _begin(self, run: Run) -> None:
        self._running += 1
        new = run.key not in self._known
        # It counts as known from its first run's begin, as at the users'.
        self._known[run.key] = None
        self._known.move_to_end(run.key)
        if len(self._known) > self._rule.keeps:
            self._known.popitem(last=False)
        mean_s = run.kind.new_s if new else run.kind.known_s
        spread = self._draws.lognormvariate(0.0, RUN_SPREAD)
        start = self._start

        def end() -> None:
            if start != self._start:
                return
            self._running -= 1
            if self._queue:
                self._begin(self._queue.popleft())
            run.done(new)

        self._later(mean_s * spread * self._speed * self.slow_times, end)
