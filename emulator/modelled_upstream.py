"""An upstream in virtual time: slots, a FIFO queue and an LRU cache."""

from collections import OrderedDict
from collections import deque
from collections.abc import Callable
import random
from typing import NamedTuple

from emulator.load_pattern import Kind
from emulator.load_pattern import Service
from emulator.speed_turns import SpeedTurns

# Standard deviation of the logarithm of run times.
RUN_TIME_SIGMA = 0.15
# Standard deviation of the logarithm of the upstreams' run time factors; a
# slower upstream has a greater one.
UPSTREAM_RUN_TIME_SIGMA = 0.2


class Run(NamedTuple):
    """A request at an upstream.

    Attributes:
      kind: kind of the request.
      key: affinity key.
      on_completed: called on completion with whether the object was new; not
        called if the upstream is lost before that.
    """

    kind: Kind
    key: str
    on_completed: Callable[[bool], None]


class ModelledUpstream:
    """Runs requests in slots and queues those beyond.

    Attributes:
      name: upstream id.
      service: name of its service.
      region: its region.
      lost: whether it accepts no connections.
      run_time_factor: factor on run times that a disturbance sets.
      limit_per_s: limit that it states in its answers; None for none.
      turns_away: whether it refuses all requests.
      rest_s: rest that it asks for in refusals, in seconds; 0 for none.
      leaving: whether it says in its answers that it leaves.
      turns: speeds of its machine; None if it always runs as usual.
      stated_speed: figure that it states in place of its true speed; empty for
        the true one.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        service: Service,
        rng: random.Random,
        schedule: Callable[[float, Callable[[], None]], None],
    ) -> None:
        """Starts idle with an empty cache.

        Args:
          name: upstream id.
          region: its region.
          service: its service.
          rng: random number generator.
          schedule: calls a function after a delay in seconds.
        """
        self.name = name
        self.service = service.name
        self.region = region
        self.lost = False
        self.run_time_factor = 1.0
        self.limit_per_s: float | None = None
        self.turns_away = False
        self.rest_s = service.rest_s
        self.leaving = False
        self.turns: SpeedTurns | None = None
        self.stated_speed = ""
        self._service = service
        self._rng = rng
        self._schedule = schedule
        self._running = 0
        self._queue: deque[Run] = deque()
        self._cached_keys: OrderedDict[str, None] = OrderedDict()
        self._incarnation = 0
        self._own_run_time_factor = rng.lognormvariate(
            0.0, UPSTREAM_RUN_TIME_SIGMA
        )

    def submit(self, run: Run) -> bool:
        """Runs or queues a request; returns False if it refuses it."""
        if self.turns_away:
            return False
        if self._running < self._service.slots:
            self._start_run(run)
            return True
        if len(self._queue) >= self._service.queue:
            return False
        self._queue.append(run)
        return True

    def stated_load(self) -> bytes | None:
        """Returns the load that it states, None if it states no speed."""
        if self.turns is None:
            return None
        speed = self.stated_speed or str(round(100 * self.turns.factor()))
        load = (self._running, len(self._queue), self._service.slots)
        return ",".join([*map(str, load), speed]).encode()

    def shut_down(self) -> None:
        """Drops all requests without a response and empties the cache."""
        self.lost = True
        self._incarnation += 1
        self._running = 0
        self._queue.clear()
        self._cached_keys.clear()

    def _start_run(self, run: Run) -> None:
        self._running += 1
        new = run.key not in self._cached_keys
        # An object counts as cached from the start of its first run, as on the
        # users' platform.
        self._cached_keys[run.key] = None
        self._cached_keys.move_to_end(run.key)
        if len(self._cached_keys) > self._service.keeps:
            self._cached_keys.popitem(last=False)
        mean_s = run.kind.new_s if new else run.kind.known_s
        spread = self._rng.lognormvariate(0.0, RUN_TIME_SIGMA)
        incarnation = self._incarnation

        def complete() -> None:
            if incarnation != self._incarnation:
                return
            self._running -= 1
            if self._queue:
                self._start_run(self._queue.popleft())
            run.on_completed(new)

        run_s = (
            mean_s * spread * self._own_run_time_factor * self.run_time_factor
        )
        if self.turns is not None:
            run_s = self.turns.run_s(run_s)
        self._schedule(run_s, complete)
