"""In-band health of a region or an upstream, from the sender's own requests.

A load report can stop, freeze at "idle" or be wrong, and a health endpoint can
report success while requests fail. The sender's own requests cannot mislead:
their refusals, failures and latencies are kept here as averages and combined
into one factor by which the reported free slots are multiplied.
"""

from typing import NamedTuple

from almondstair.core.loop_stall import ratio_without_stall

DEFAULT_HALF_LIFE_S = 2.0
# The baseline latency falls faster than it rises: otherwise a baseline learned
# on cold caches would hide later slowness, and lasting slowness would soon
# become the baseline.
BASELINE_UP_HALF_LIFE_S = 600.0
BASELINE_DOWN_HALF_LIFE_S = 20.0
BASELINE_LEARNING_SAMPLES = 20
MIN_BASELINE_MS = 0.001
# Bounds of the weight of a sample at any request rate. The upper one keeps a
# single lost request after a pause from deciding the average.
MIN_SAMPLE_WEIGHT = 0.02
MAX_SAMPLE_WEIGHT = 0.5
# Latency up to this multiple of the baseline counts as noise.
MAX_NORMAL_STRETCH = 2.0
# Fraction of failed requests at which an upstream counts as failing. Below
# it, the cause may as well be some requests that fail wherever they run, and
# withdrawing slots would only cost capacity.
FAILING_FRACTION = 0.6
# Minimum time between two requests to a failing upstream. An upstream that
# fails fast also frees its slots fast, and without a pause it would attract
# more work than healthy ones; the symptom is that the answers of this upstream
# alone increase while its load report says idle.
PROBE_INTERVAL_S = 0.25
# Above zero, since recovery is only noticed by sending requests.
MIN_FACTOR = 0.02
# Averages without samples for this long are dropped. Otherwise a name would be
# avoided forever because of its last answers, since only new ones can improve
# the averages.
EXPIRY_S = 60.0
NEVER_S = float("-inf")


class HealthView(NamedTuple):
    """Holds the averages of a region or upstream.

    Attributes:
      refused: fraction of requests refused.
      failed: fraction of requests failed or lost.
      stretch: latency over the baseline of the same request class.
      factor: multiplier for the reported free slots, 0 to 1.
    """

    refused: float
    failed: float
    stretch: float
    factor: float


HEALTHY = HealthView(refused=0.0, failed=0.0, stretch=1.0, factor=1.0)


class _Average:
    """An exponentially weighted average with a half-life."""

    __slots__ = ("_half_life_s", "updated_s", "value")

    def __init__(self, *, value: float, half_life_s: float) -> None:
        self.value = value
        self._half_life_s = half_life_s
        self.updated_s = NEVER_S

    def add(self, *, sample: float, now_s: float) -> None:
        elapsed_s = now_s - self.updated_s
        sample_weight = 1.0 - 0.5 ** (elapsed_s / self._half_life_s)
        sample_weight = min(
            MAX_SAMPLE_WEIGHT, max(MIN_SAMPLE_WEIGHT, sample_weight)
        )
        self.value += sample_weight * (sample - self.value)
        self.updated_s = now_s


class _Baseline:
    """The baseline latency of one request class at one name."""

    __slots__ = ("_samples", "updated_s", "value_ms")

    def __init__(self) -> None:
        self.value_ms = 0.0
        self._samples = 0
        self.updated_s = 0.0

    def add(self, *, latency_ms: float, now_s: float) -> None:
        half_life_s = BASELINE_UP_HALF_LIFE_S
        if latency_ms < self.value_ms:
            half_life_s = BASELINE_DOWN_HALF_LIFE_S
        sample_weight = 1.0 - 0.5 ** ((now_s - self.updated_s) / half_life_s)
        self._samples += 1
        if self._samples <= BASELINE_LEARNING_SAMPLES:
            sample_weight = 1.0 / self._samples
        self.value_ms += min(1.0, sample_weight) * (latency_ms - self.value_ms)
        self.updated_s = now_s

    @property
    def is_learning(self) -> bool:
        """Whether there are too few samples for a baseline."""
        return self._samples <= BASELINE_LEARNING_SAMPLES


class _HealthRecord:
    """Averages of one name, updated by samples."""

    __slots__ = ("baselines", "failed", "refused", "stretch")

    def __init__(self, *, half_life_s: float) -> None:
        self.refused = _Average(value=0.0, half_life_s=half_life_s)
        self.failed = _Average(value=0.0, half_life_s=half_life_s)
        self.stretch = _Average(value=1.0, half_life_s=half_life_s)
        self.baselines: dict[str, _Baseline] = {}

    def last_sample_s(self) -> float:
        return max(self.refused.updated_s, self.failed.updated_s)


class HealthTable:
    """In-band health by name of region or upstream.

    The averages change only with new samples: a name that gets few requests
    keeps the health of its last answers, since silence is not recovery.
    """

    def __init__(self, *, half_life_s: float = DEFAULT_HALF_LIFE_S) -> None:
        """Makes an empty table.

        Args:
          half_life_s: time in seconds in which the weight of a sample halves.
        """
        self._half_life_s = half_life_s
        self._records: dict[str, _HealthRecord] = {}

    def record_answer(
        self,
        *,
        name: str,
        request_class: str,
        latency_ms: float,
        now_s: float,
        stall_ms: float = 0.0,
    ) -> None:
        """Records a complete answer and its latency.

        Args:
          name: name of the region or upstream.
          request_class: class of the request.
          latency_ms: time from sending to the complete answer.
          now_s: monotonic time.
          stall_ms: part of the latency in which this process was stalled.
        """
        record = self._record(name)
        record.refused.add(sample=0.0, now_s=now_s)
        record.failed.add(sample=0.0, now_s=now_s)
        baseline = record.baselines.get(request_class)
        if baseline is None:
            baseline = _Baseline()
            record.baselines[request_class] = baseline
        baseline_ms = max(baseline.value_ms, MIN_BASELINE_MS)
        baseline.add(latency_ms=latency_ms, now_s=now_s)
        if baseline.is_learning:
            return
        stretch = ratio_without_stall(
            ratio=latency_ms / baseline_ms,
            latency_s=latency_ms / 1000,
            stall_s=stall_ms / 1000,
        )
        record.stretch.add(sample=stretch, now_s=now_s)

    def record_accepted(self, *, name: str, now_s: float) -> None:
        """Records a request that was not refused, whatever its outcome."""
        self._record(name).refused.add(sample=0.0, now_s=now_s)

    def record_refusal(self, *, name: str, now_s: float) -> None:
        """Records a refusal; the request was certainly not run."""
        record = self._record(name)
        record.refused.add(sample=1.0, now_s=now_s)

    def record_failure(self, *, name: str, now_s: float) -> None:
        """Records a lost connection, a timeout or a failed answer."""
        record = self._record(name)
        record.failed.add(sample=1.0, now_s=now_s)

    def view(self, *, name: str, now_s: float) -> HealthView:
        """Returns the averages of a name; one without samples is healthy."""
        record = self._records.get(name)
        if record is None:
            return HEALTHY
        if now_s - record.last_sample_s() > EXPIRY_S:
            del self._records[name]
            return HEALTHY
        refused = record.refused.value
        failed = record.failed.value
        stretch = record.stretch.value
        factor = (1.0 - refused) * (1.0 - failed) ** 2
        if stretch > MAX_NORMAL_STRETCH:
            factor *= MAX_NORMAL_STRETCH / stretch
        return HealthView(
            refused=refused,
            failed=failed,
            stretch=stretch,
            factor=max(MIN_FACTOR, factor),
        )

    def usable_slots(self, *, name: str, slots: int, now_s: float) -> int:
        """Returns how many slots of an upstream may be used.

        All of them unless it is failing. A failing one gets a single request
        per `PROBE_INTERVAL_S`, by which its recovery is noticed.
        """
        view = self.view(name=name, now_s=now_s)
        if view.failed < FAILING_FRACTION:
            return slots
        record = self._records[name]
        if now_s - record.failed.updated_s < PROBE_INTERVAL_S:
            return 0
        return min(1, slots)

    def factor(self, *, name: str, now_s: float) -> float:
        """Returns the health factor of an upstream, 0 to 1."""
        return self.view(name=name, now_s=now_s).factor

    def forget(self, *, name: str) -> None:
        """Drops the averages of a name that is no longer configured."""
        self._records.pop(name, None)

    def _record(self, name: str) -> _HealthRecord:
        record = self._records.get(name)
        if record is None:
            record = _HealthRecord(half_life_s=self._half_life_s)
            self._records[name] = record
        return record
