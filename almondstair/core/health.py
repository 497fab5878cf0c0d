"""What answers tell of a region or an upstream, before what it claims itself.

A load report can stop, freeze at "idle" or lie, and a health endpoint can say
well while answers fail. What the sender sees on its own requests cannot:
refusals, failures and the time to an answer. They are kept here as averages
and condensed into one factor by which a claim of free slots is multiplied.
"""

from typing import NamedTuple

from almondstair.core.standstill import judged_ratio

DEFAULT_HALF_LIFE_S = 2.0
# The usual latency follows downwards faster than upwards: one learned on cold
# caches would otherwise hide later slowness, and slowness that lasts would
# soon pass for usual.
BASELINE_UP_HALF_LIFE_S = 600.0
BASELINE_DOWN_HALF_LIFE_S = 20.0
BASELINE_LEARNING_SAMPLES = 20
MIN_BASELINE_MS = 0.001
# However fast requests come, one sample moves an average at least this much;
# however rare, at most this much, so that a single lost request after a pause
# is no verdict.
MIN_STEP = 0.02
MAX_STEP = 0.5
# Latency up to this many times the usual one is taken as noise.
STRETCH_TOLERATED = 2.0
# A name that fails at least this part of its answers is failing. Below it the
# fault is as likely one of some requests, which fail wherever they run, and
# taking slots away would cost capacity for nothing.
FAILING = 0.6
# Least time between two requests to a failing upstream. One that fails at once
# also frees its slot at once, and without a pause it would draw more work than
# the upstreams that do theirs; one would see answers of that upstream alone
# rise while its load report says idle.
TRIAL_INTERVAL_S = 0.25
# Something must be sent for a recovery to be seen.
MIN_FACTOR = 0.02
# A name that nothing was sent to for so long is as good as never seen. It
# would otherwise be shunned for ever on the ground of its last answers, since
# only new ones could clear it.
FORGOTTEN_AFTER_S = 60.0
NEVER_S = float("-inf")


class HealthView(NamedTuple):
    """The averages of one region or upstream.

    Attributes:
      refused: fraction of requests refused.
      failed: fraction of requests failed or lost.
      stretch: latency over the usual latency of the same request class.
      factor: what a claim of free slots is multiplied by, 0 to 1.
    """

    refused: float
    failed: float
    stretch: float
    factor: float


UNSEEN = HealthView(refused=0.0, failed=0.0, stretch=1.0, factor=1.0)


class _Average:
    """An average over time that forgets by half each half-life."""

    __slots__ = ("_half_life_s", "updated_s", "value")

    def __init__(self, *, value: float, half_life_s: float) -> None:
        self.value = value
        self._half_life_s = half_life_s
        self.updated_s = NEVER_S

    def add(self, *, sample: float, now_s: float) -> None:
        elapsed_s = now_s - self.updated_s
        step = 1.0 - 0.5 ** (elapsed_s / self._half_life_s)
        step = min(MAX_STEP, max(MIN_STEP, step))
        self.value += step * (sample - self.value)
        self.updated_s = now_s


class _Baseline:
    """The usual latency of one request class at one name."""

    __slots__ = ("_samples", "updated_s", "value_ms")

    def __init__(self) -> None:
        self.value_ms = 0.0
        self._samples = 0
        self.updated_s = 0.0

    def add(self, *, latency_ms: float, now_s: float) -> None:
        half_life_s = BASELINE_UP_HALF_LIFE_S
        if latency_ms < self.value_ms:
            half_life_s = BASELINE_DOWN_HALF_LIFE_S
        step = 1.0 - 0.5 ** ((now_s - self.updated_s) / half_life_s)
        self._samples += 1
        if self._samples <= BASELINE_LEARNING_SAMPLES:
            step = 1.0 / self._samples
        self.value_ms += min(1.0, step) * (latency_ms - self.value_ms)
        self.updated_s = now_s

    @property
    def learning(self) -> bool:
        """Whether too little was seen to call anything usual."""
        return self._samples <= BASELINE_LEARNING_SAMPLES


class _Record:
    """The averages of one name."""

    __slots__ = ("baselines", "failed", "refused", "stretch")

    def __init__(self, *, half_life_s: float) -> None:
        self.refused = _Average(value=0.0, half_life_s=half_life_s)
        self.failed = _Average(value=0.0, half_life_s=half_life_s)
        self.stretch = _Average(value=1.0, half_life_s=half_life_s)
        self.baselines: dict[str, _Baseline] = {}

    def last_sample_s(self) -> float:
        return max(self.refused.updated_s, self.failed.updated_s)


class HealthTable:
    """In-band evidence by name of region or upstream.

    The averages move only with new samples: a name that is sent little keeps
    the verdict of its last answers, since silence is not recovery.
    """

    def __init__(self, *, half_life_s: float = DEFAULT_HALF_LIFE_S) -> None:
        """Makes an empty table.

        Args:
          half_life_s: time after which an old sample counts half.
        """
        self._half_life_s = half_life_s
        self._records: dict[str, _Record] = {}

    def answered(
        self,
        *,
        name: str,
        request_class: str,
        latency_ms: float,
        now_s: float,
        still_ms: float = 0.0,
    ) -> None:
        """Counts a whole answer and its latency.

        Args:
          name: who answered.
          request_class: class of the request.
          latency_ms: from sending to the whole answer.
          now_s: the time.
          still_ms: part of it in which this process stood still.
        """
        record = self._record(name)
        record.refused.add(sample=0.0, now_s=now_s)
        record.failed.add(sample=0.0, now_s=now_s)
        baseline = record.baselines.get(request_class)
        if baseline is None:
            baseline = _Baseline()
            record.baselines[request_class] = baseline
        usual_ms = max(baseline.value_ms, MIN_BASELINE_MS)
        baseline.add(latency_ms=latency_ms, now_s=now_s)
        if baseline.learning:
            return
        stretch = judged_ratio(
            ratio=latency_ms / usual_ms,
            latency_s=latency_ms / 1000,
            still_s=still_ms / 1000,
        )
        record.stretch.add(sample=stretch, now_s=now_s)

    def accepted(self, *, name: str, now_s: float) -> None:
        """Counts a request that was not refused, however it went on."""
        self._record(name).refused.add(sample=0.0, now_s=now_s)

    def refused(self, *, name: str, now_s: float) -> None:
        """Counts a refusal: certainly not run."""
        record = self._record(name)
        record.refused.add(sample=1.0, now_s=now_s)

    def failed(self, *, name: str, now_s: float) -> None:
        """Counts a lost connection, a timeout or a failed answer."""
        record = self._record(name)
        record.failed.add(sample=1.0, now_s=now_s)

    def view(self, *, name: str, now_s: float) -> HealthView:
        """Returns the averages of a name; one never seen is healthy."""
        record = self._records.get(name)
        if record is None:
            return UNSEEN
        if now_s - record.last_sample_s() > FORGOTTEN_AFTER_S:
            del self._records[name]
            return UNSEEN
        refused = record.refused.value
        failed = record.failed.value
        stretch = record.stretch.value
        factor = (1.0 - refused) * (1.0 - failed) ** 2
        if stretch > STRETCH_TOLERATED:
            factor *= STRETCH_TOLERATED / stretch
        return HealthView(
            refused=refused,
            failed=failed,
            stretch=stretch,
            factor=max(MIN_FACTOR, factor),
        )

    def usable_slots(self, *, name: str, slots: int, now_s: float) -> int:
        """Returns how many slots of an upstream deserve work.

        All of them while most of its answers are well. A failing one gets a
        single request now and then, by which its recovery is noticed.
        """
        view = self.view(name=name, now_s=now_s)
        if view.failed < FAILING:
            return slots
        record = self._records[name]
        if now_s - record.failed.updated_s < TRIAL_INTERVAL_S:
            return 0
        return min(1, slots)

    def factor(self, *, name: str, now_s: float) -> float:
        """Returns by how much an upstream is preferred to its like, 0 to 1."""
        return self.view(name=name, now_s=now_s).factor

    def forget(self, *, name: str) -> None:
        """Drops a name that is no longer configured."""
        self._records.pop(name, None)

    def _record(self, name: str) -> _Record:
        record = self._records.get(name)
        if record is None:
            record = _Record(half_life_s=self._half_life_s)
            self._records[name] = record
        return record
