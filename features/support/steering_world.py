"""A small configuration and a simulated clock for steering.feature."""

from collections.abc import Iterator
from typing import NamedTuple

from almondstair.core.model import Configuration
from almondstair.core.model import Link
from almondstair.core.model import PolicyName
from almondstair.core.model import Priority
from almondstair.core.model import Profile
from almondstair.core.model import Region
from almondstair.core.model import RequestClass
from almondstair.core.model import Service
from almondstair.core.model import Upstream
from almondstair.core.steering import Steering

REGIONS = ("home", "near", "far")
SERVICE = "work"
ZONE = "home-a"
SLOTS = 20
# Slots are scaled so that scenarios can state fractions of a slot.
SCALE = 10
TICK_S = 0.25
REPORT_LIMIT_S = 3.0
DRAWS = 200
LATENCY_MS = {"near": 10.0, "far": 200.0}


def draws() -> Iterator[float]:
    """Yields evenly spaced numbers in [0, 1)."""
    for step in range(DRAWS):
        yield step / DRAWS


class Sample(NamedTuple):
    """The weights of all regions at one time."""

    now_s: float
    weights: dict[str, float]


def configuration(*, profile: str) -> Configuration:
    regions: dict[str, Region] = {}
    upstreams: dict[str, Upstream] = {}
    links: list[Link] = []
    for name in REGIONS:
        regions[name] = Region(availability_zones=(f"{name}-a", f"{name}-b"))
        upstreams[f"{name}-1"] = Upstream(
            services=(SERVICE,),
            address="127.0.0.1:1",
            availability_zone=f"{name}-a",
            slots=SLOTS * SCALE,
            connections=100,
        )
        if name in LATENCY_MS:
            links.append(Link(ZONE, name, 1_000_000, LATENCY_MS[name]))
    profiles: dict[str, Profile] = {}
    for policy in PolicyName:
        profiles[policy.value] = Profile(policy=policy)
    request_class = RequestClass(
        name="get",
        methods=("GET",),
        path="/*",
        idempotent=True,
        priority=Priority.INTERACTIVE,
        deadline_ms=1000,
    )
    return Configuration(
        regions=regions,
        services={SERVICE: Service(profile, (request_class,))},
        upstreams=upstreams,
        profiles=profiles,
        links=tuple(links),
    )


class SteeringWorld:
    """Runs steering on a simulated clock with ticks of a quarter second."""

    def __init__(self, *, profile: str) -> None:
        """Creates steering with one profile and without reports."""
        self.steering = Steering(configuration=configuration(profile=profile))
        self.now_s = 100.0
        self.silent_since_s = 0.0
        self.mark_s = 0.0
        self.samples: list[Sample] = []

    def weights(self, priority: Priority) -> dict[str, float]:
        rows = self.steering.weights(
            service=SERVICE,
            availability_zone=ZONE,
            now_s=self.now_s,
            priority=priority,
        )
        weights = dict.fromkeys(REGIONS, 0.0)
        for row in rows:
            weights[row.region] = row.weight
        return weights

    def report(self, free_slots: dict[str, float]) -> None:
        for region, free in free_slots.items():
            self.steering.regions.record_load_report(
                region=region,
                service=SERVICE,
                source=f"entry-{region}",
                slots=SLOTS * SCALE,
                free_slots=round(free * SCALE),
                age_s=0.0,
                now_s=self.now_s,
            )

    def tick(self) -> None:
        for priority in Priority:
            weights = self.weights(priority)
            if priority is Priority.INTERACTIVE:
                assert abs(sum(weights.values()) - 1.0) < 1e-6, weights
                self.samples.append(Sample(self.now_s, weights))
        self.now_s += TICK_S

    def run(self, *, length_s, free_slots, each_tick=None) -> None:
        ends_s = self.now_s + length_s
        while self.now_s < ends_s:
            self.report(free_slots)
            if each_tick is not None:
                each_tick()
            self.tick()

    def choose(self, priority: Priority, draw: float) -> tuple[str, ...]:
        return self.steering.choose(
            service=SERVICE,
            priority=priority,
            availability_zone=ZONE,
            now_s=self.now_s,
            draw=draw,
        )

    def growth(self, *, region: str, since_s: float) -> float:
        """Returns the largest increase of a weight between two ticks."""
        largest = 0.0
        previous: float | None = None
        for sample in self.samples:
            if sample.now_s < since_s:
                continue
            weight = sample.weights[region]
            if previous is not None:
                largest = max(largest, weight - previous)
            previous = weight
        return largest
