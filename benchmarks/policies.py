"""Measures steering policies with real processes in each firm's layout.

Entries, upstreams, platform and callers are processes on loopback;
`benchmarks.delayed_daemon` adds the delay between regions. Each layout has all
entries of the firm and about half of its upstreams. Region `a` has half of the
callers, `b` three tenths, `c` a fifth; all regions have the same number of
slots.

Scenarios, one after another on one deployment:
  steady    half of capacity; an upstream is marked leaving during the run
  shift     the matching service's profile is edited while every cache is cold:
            to the measured policy, from `local` (from `spread` for `local`),
            which moves about 40% of all work
  overload  one and a half times capacity
  lost      region `b` is killed, entries and upstreams, at half of capacity

The option `--way` names a variant, a policy with optional constants, such as
`spread:ramp_fraction_per_s=0.5`.

    python -m benchmarks.policies
    python -m benchmarks.policies --firm wattanakul --way local --scenario lost
"""

import argparse
import json
from pathlib import Path
import time
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from features.support.deployment import CLASSES
from features.support.deployment import Deployment
from features.support.deployment import Shape
from features.support.harness import Child
from features.support.harness import Processes

SCENARIOS = ("steady", "shift", "overload", "lost")
WAYS = ("local", "spread", "round_robin")
REGIONS = ("a", "b", "c")
LOAD_PARTS = {"a": 0.5, "b": 0.3, "c": 0.2}
SERVICES = ("matching", "intake")
HALF_LOAD = 0.5
OVERLOAD = 1.5
PHASE_S = 8.0
WARM_UP_S = 5.0
DRAIN_AFTER_S = 3.0
LOST_AFTER_S = 2.0
SETTLE_S = 4.0
COLD_REQUESTS = 15
COLD_MS = 200
WINDOW_S = 0.5
CALLER_SPARE_S = 8.0
CAP_BYTES_PER_S = 4_000_000
LEAVING = "a-matching0"

Record = dict[str, Any]


class Firm(NamedTuple):
    """The layout of a firm.

    Attributes:
      entries: number of entries by region.
      matching: upstreams of the service `matching` in each region.
      intake: upstreams of the service `intake` in each region.
      slots: slots of each upstream.
      one_way_ms: one-way delay between regions.
    """

    entries: dict[str, int]
    matching: int
    intake: int
    slots: int
    one_way_ms: float


FIRMS = {
    "tallow-brae": Firm({"a": 3, "b": 3, "c": 2}, 3, 2, 3, 55.0),
    "wattanakul": Firm({"a": 4, "b": 3, "c": 3}, 3, 2, 4, 12.0),
}

CALLS: dict[str, list[dict[str, Any]]] = {
    "matching": [
        {
            "name": "look_up",
            "path": "/orders/1",
            "weight": 8,
            "work_ms": 120,
            "deadline_ms": 2000,
        },
        {
            "name": "approve",
            "method": "POST",
            "path": "/approvals",
            "weight": 2,
            "work_ms": 160,
            "keyed": True,
            "body_bytes": 200,
            "deadline_ms": 3000,
        },
    ],
    "intake": [
        {
            "name": "look_up",
            "path": "/orders/2",
            "weight": 3,
            "work_ms": 120,
            "deadline_ms": 2000,
        },
        {
            "name": "upload",
            "method": "PUT",
            "path": "/batches/1",
            "weight": 4,
            "work_ms": 200,
            "body_bytes": 65536,
            "deadline_ms": 5000,
        },
        {
            "name": "statement",
            "path": "/statements/1",
            "weight": 3,
            "work_ms": 300,
            "answer_bytes": 32768,
            "deadline_ms": 5000,
        },
    ],
}


def mean_work_s(service: str) -> float:
    weights = 0.0
    work_ms = 0.0
    for call in CALLS[service]:
        weights += call["weight"]
        work_ms += call["weight"] * call["work_ms"]
    return work_ms / weights / 1000


class FirmDeployment(Deployment):
    """A deployment with two services and a delay between regions."""

    def __init__(self, *, processes: Processes, firm: Firm, way: str) -> None:
        """Initialises the deployment; `start` starts it."""
        upstreams = {}
        for region in REGIONS:
            upstreams[region] = firm.matching + firm.intake
        shape = Shape(
            entries=firm.entries,
            upstreams=upstreams,
            slots=firm.slots,
            cap_bytes_per_s=CAP_BYTES_PER_S,
            latency_ms=firm.one_way_ms,
        )
        super().__init__(processes=processes, shape=shape)
        self.firm = firm
        self.policy, _, constants = way.partition(":")
        self.constants = constants.replace(",", "\n")
        self.profiles = dict.fromkeys(SERVICES, "measured")

    def start_upstream(self, name: str) -> None:
        """Starts an upstream; its number determines the service it runs."""
        region, _, number = name.rpartition("-u")
        place = int(number)
        name = f"{region}-matching{place}"
        if place >= self.firm.matching:
            name = f"{region}-intake{place - self.firm.matching}"
        super().start_upstream(name)

    def start_entry(self, name: str, *, wait: bool = True) -> Child:
        """Starts an entry whose forwards to other regions are delayed."""
        return self.processes.start(
            name,
            "-m",
            "benchmarks.delayed_daemon",
            "--one-way-ms",
            str(self.firm.one_way_ms),
            "--settings",
            str(self.processes.directory / f"{name}.toml"),
        )

    def deployment_text(self) -> str:
        """Returns the configuration as TOML."""
        lines = []
        for region in REGIONS:
            lines.append(f"[regions.{region}]")
            lines.append(f'availability_zones = ["{region}-1"]')
        for policy in ("local", "spread"):
            lines.append(f'[profiles.{policy}]\npolicy = "{policy}"')
        lines.append(f'[profiles.measured]\npolicy = "{self.policy}"')
        lines.append(self.constants)
        for service in SERVICES:
            profile = self.profiles[service]
            lines.append(f'[services.{service}]\nprofile = "{profile}"')
            lines.append(CLASSES.format(service=service, commit_ms=3000))
        for name, address in self.upstreams.items():
            region, _, kind = name.partition("-")
            service = kind.rstrip("0123456789")
            lines.append(f"[upstreams.{name}]")
            lines.append(f'services = ["{service}"]\naddress = "{address}"')
            lines.append(f'availability_zone = "{region}-1"')
            lines.append(f"slots = {self.firm.slots}\nconnections = 300")
            lines.append('load_path = "/_load"')
        for zone in REGIONS:
            for region in REGIONS:
                lines.append(self._link(zone, region))
        lines.append("[marks]\nleaving = []\n")
        return "\n".join(lines)

    def capacity_per_s(self, service: str) -> float:
        """Returns the requests per second that all slots can serve."""
        per_region = self.firm.matching
        if service == "intake":
            per_region = self.firm.intake
        slots = len(REGIONS) * per_region * self.firm.slots
        return slots / mean_work_s(service)


class Result(NamedTuple):
    """Results of one scenario.

    Attributes:
      latency: latency in ms of successful requests by class.
      sent: number of requests by class.
      refusals: number of refused attempts by class; callers retry as the
        refusal directs.
      refused: number of requests by class that ended with a refusal.
      other: number of requests by class that failed otherwise.
      region_headroom: lowest free fraction of a region's slots for a service
        over windows of `WINDOW_S`.
      link_headroom: lowest free fraction of a link's cap over such windows.
      far: fraction of the responses from an upstream in another region than the
        entry that the caller asked.
      drain_s: time from the mark to the end of the last request; None if not
        measured.
      tries: runs and refusals at upstreams per request sent.
      kinds: number of failed requests by class, status and kind.
    """

    latency: dict[str, HdrHistogram]
    sent: dict[str, int]
    refusals: dict[str, int]
    refused: dict[str, int]
    other: dict[str, int]
    region_headroom: float
    link_headroom: float
    far: float
    drain_s: float | None
    tries: float
    kinds: dict[str, int]


class Trial:
    """Runs scenarios one after another on one deployment."""

    def __init__(self, *, deployment: FirmDeployment) -> None:
        """Initialises the trial with a started deployment."""
        self.deployment = deployment
        self.number = 0
        self.seed = 0
        self.version = 1
        self.drain_s: float | None = None
        self.marked_s = 0.0
        self.killed_processes: set[str] = set()

    def load(self, factor: float, seconds_s: float) -> list[str]:
        """Starts one caller for each entry."""
        self.number += 1
        names = []
        for region in REGIONS:
            count = self.deployment.firm.entries[region]
            for place in range(count):
                # The last entry of a region serves the callers of `intake`.
                service = "matching"
                share = 1.0 / (count - 1)
                if place == count - 1:
                    service = "intake"
                    share = 1.0
                rate = self.deployment.capacity_per_s(service) * factor
                rate *= LOAD_PARTS[region] * share
                names.append(
                    self._caller(region, place, service, rate, seconds_s)
                )
        return names

    def _caller(
        self,
        region: str,
        place: int,
        service: str,
        rate: float,
        seconds_s: float,
    ) -> str:
        name = f"caller-{self.number}-{region}{place}"
        first = f"{region}-e{place}"
        order = [self.deployment.entries[first]["caller"]]
        for other, addresses in self.deployment.entries.items():
            if other != first and not other.startswith(region):
                order.append(addresses["caller"])
        options = ["--rate", f"{rate:.2f}", "--no-look-up"]
        options += ["--count", str(int(rate * seconds_s))]
        options += ["--edge-zone", f"{region}-1"]
        # Keys derive from the seed; callers with one seed would share keys.
        self.seed += 1
        options += ["--seed", str(self.seed)]
        self.deployment.processes.start_caller(
            *options,
            entries=order,
            service=service,
            classes=CALLS[service],
            name=name,
        )
        return name

    def finish(self, names: list[str]) -> list[Record]:
        """Waits for the callers and returns their records."""
        records: list[Record] = []
        for name in names:
            self.deployment.processes.children[name].wait(limit_s=40)
            records.extend(self.deployment.processes.caller_records(name))
        return records

    def edit_matching(self, profile: str) -> None:
        """Assigns another profile to the matching service."""
        self.deployment.profiles["matching"] = profile
        answer = self.deployment.edit(
            "c-e0", self.deployment.deployment_text(), self.version
        )
        assert answer.status == 200, answer.body
        self.version = answer.json()["version"]

    def run(self, scenario: str) -> Result:
        """Runs a scenario and returns its results."""
        self.drain_s = None
        before_refused = self._refused_by_upstreams()
        started_s = time.monotonic()
        records = getattr(self, f"_{scenario}")()
        ended_s = time.monotonic()
        refused = self._refused_by_upstreams() - before_refused
        return self._result(records, started_s, ended_s, refused)

    def _steady(self) -> list[Record]:
        names = self.load(HALF_LOAD, PHASE_S)
        time.sleep(DRAIN_AFTER_S)
        self.marked_s = time.monotonic()
        answer = self.deployment.mark("c-e0", LEAVING, leaving=True)
        assert answer.status == 200, answer.body
        records = self.finish(names)
        last_s = self.marked_s
        for run in self.deployment.journals():
            if run["upstream"] == LEAVING:
                last_s = max(last_s, run.get("end", 0.0))
        self.drain_s = last_s - self.marked_s
        answer = self.deployment.mark("c-e0", LEAVING, leaving=False)
        self.version = answer.json()["version"]
        return records

    def _shift(self) -> list[Record]:
        before = "local"
        if self.deployment.policy == "local":
            before = "spread"
        self.edit_matching(before)
        settle = self.load(HALF_LOAD, SETTLE_S)
        self.finish(settle)
        for name in self.deployment.upstreams:
            self.deployment.control(
                name, cold_requests=COLD_REQUESTS, cold_ms=COLD_MS
            )
        names = self.load(HALF_LOAD, PHASE_S)
        self.edit_matching("measured")
        records = self.finish(names)
        for name in self.deployment.upstreams:
            self.deployment.control(name, cold_requests=0)
        return records

    def _overload(self) -> list[Record]:
        return self.finish(self.load(OVERLOAD, PHASE_S))

    def _lost(self) -> list[Record]:
        names = self.load(HALF_LOAD, PHASE_S)
        time.sleep(LOST_AFTER_S)
        for name, child in list(self.deployment.processes.children.items()):
            if name.startswith("b-"):
                child.kill()
                self.killed_processes.add(name)
        return self.finish(names)

    def _refused_by_upstreams(self) -> int:
        refused = 0
        for name in self.deployment.upstreams:
            if name in self.killed_processes:
                continue
            counts = self.deployment.journal(name)["refused"]
            refused += counts["over_slots"] + counts["draining"]
        return refused

    def _result(
        self,
        records: list[Record],
        started_s: float,
        ended_s: float,
        refused: int,
    ) -> Result:
        runs = []
        for run in self.deployment.journals():
            if started_s <= run["start"] <= ended_s:
                runs.append(run)
        latency: dict[str, HdrHistogram] = {}
        sent: dict[str, int] = {}
        refusals: dict[str, int] = {}
        refused_by: dict[str, int] = {}
        other: dict[str, int] = {}
        kinds: dict[str, int] = {}
        for record in records:
            name = record["class"]
            sent[name] = sent.get(name, 0) + 1
            for attempt in record["attempts"]:
                if attempt["ran"] == "no":
                    refusals[name] = refusals.get(name, 0) + 1
            if record["status"] == 200 and record["body_ok"]:
                histogram = latency.setdefault(name, HdrHistogram(1, 60_000, 3))
                histogram.record_value(max(1, round(record["latency_ms"])))
                continue
            kind = f"{name} {record['status']} {record['kind']}"
            kinds[kind] = kinds.get(kind, 0) + 1
            if record["ran"] == "no":
                refused_by[name] = refused_by.get(name, 0) + 1
                continue
            other[name] = other.get(name, 0) + 1
        return Result(
            latency=latency,
            sent=sent,
            refusals=refusals,
            refused=refused_by,
            other=other,
            region_headroom=self._region_headroom(runs),
            link_headroom=self._link_headroom(started_s, ended_s),
            far=self._far(runs, records),
            drain_s=self.drain_s,
            tries=(len(runs) + refused) / max(1, len(records)),
            kinds=kinds,
        )

    def _region_headroom(self, runs: list[Record]) -> float:
        """Returns the lowest free fraction of a service's slots in a region."""
        busy: dict[tuple[str, str, int], float] = {}
        for run in runs:
            region, _, kind = run["upstream"].partition("-")
            service = kind.rstrip("0123456789")
            at_s = run["start"]
            end_s = run.get("end", at_s)
            while at_s < end_s:
                window = int(at_s / WINDOW_S)
                until_s = min(end_s, (window + 1) * WINDOW_S)
                key = (region, service, window)
                busy[key] = busy.get(key, 0.0) + max(until_s - at_s, 1e-6)
                at_s = until_s + 1e-9
        lowest = 1.0
        for (_, service, _), used_s in busy.items():
            per_region = self.deployment.firm.matching
            if service == "intake":
                per_region = self.deployment.firm.intake
            slots = per_region * self.deployment.firm.slots
            lowest = min(lowest, 1.0 - used_s / (slots * WINDOW_S))
        return max(0.0, lowest)

    def _link_headroom(self, started_s: float, ended_s: float) -> float:
        """Returns the lowest free fraction of a link between regions."""
        moved: dict[tuple[str, str, int, int], int] = {}
        for name in self.deployment.upstreams:
            if name in self.killed_processes:
                continue
            page = self.deployment.journal(name)
            region = name.partition("-")[0]
            for zone, bins in page["bytes"].items():
                if zone.startswith(region):
                    continue
                for place, both in bins.items():
                    at_s = int(place) * page["bin_s"]
                    if not started_s <= at_s <= ended_s:
                        continue
                    for side in (0, 1):
                        key = (zone, region, side, int(at_s / WINDOW_S))
                        moved[key] = moved.get(key, 0) + both[side]
        lowest = 1.0
        for size_bytes in moved.values():
            used = size_bytes / WINDOW_S / CAP_BYTES_PER_S
            lowest = min(lowest, 1.0 - used)
        return lowest

    def _far(self, runs: list[Record], records: list[Record]) -> float:
        """Returns the fraction of responses that came from another region."""
        del runs
        far = 0
        known = 0
        entry_region = {}
        for name, addresses in self.deployment.entries.items():
            entry_region[addresses["caller"]] = name.partition("-")[0]
        for record in records:
            upstream = record.get("upstream", "")
            if not upstream:
                continue
            known += 1
            region = entry_region[record["entry"]]
            far += upstream.partition("-")[0] != region
        return far / max(1, known)


def run_way(
    *, firm: str, way: str, scenarios: tuple[str, ...]
) -> dict[str, Result]:
    processes = Processes()
    results: dict[str, Result] = {}
    try:
        deployment = FirmDeployment(
            processes=processes, firm=FIRMS[firm], way=way
        )
        deployment.start()
        trial = Trial(deployment=deployment)
        trial.finish(trial.load(HALF_LOAD, WARM_UP_S))
        for scenario in scenarios:
            results[scenario] = trial.run(scenario)
    finally:
        processes.end()
    return results


def percentiles(result: Result) -> str:
    parts = []
    for name, histogram in sorted(result.latency.items()):
        p50 = histogram.get_value_at_percentile(50)
        p99 = histogram.get_value_at_percentile(99)
        parts.append(f"{name} {p50}/{p99}")
    return "\n".join(parts)


def percentages(result: Result, counts: dict[str, int]) -> str:
    parts = []
    for name in sorted(result.sent):
        part = 100 * counts.get(name, 0) / result.sent[name]
        if part:
            parts.append(f"{name} {part:.1f}%")
    return "\n".join(parts) or "none"


def add_rows(table: Table, way: str, results: dict[str, Result]) -> None:
    for scenario, result in results.items():
        drain = ""
        if result.drain_s is not None:
            drain = f"{result.drain_s:.2f}"
        table.add_row(
            scenario,
            way,
            percentiles(result),
            percentages(result, result.refusals),
            percentages(result, result.refused),
            percentages(result, result.other),
            f"{result.region_headroom:.2f}",
            f"{result.link_headroom:.2f}",
            f"{100 * result.far:.0f}%",
            drain,
            f"{result.tries:.2f}",
        )


def as_json(
    *, firm: str, way: str, results: dict[str, Result]
) -> list[dict[str, Any]]:
    rows = []
    for scenario, result in results.items():
        row = result._asdict()
        row.update(firm=firm, way=way, scenario=scenario)
        row["latency"] = percentiles(result)
        rows.append(row)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--firm", action="append", choices=tuple(FIRMS))
    parser.add_argument("--way", action="append")
    parser.add_argument("--scenario", action="append", choices=SCENARIOS)
    parser.add_argument("--out", default="", help="file for JSON lines")
    options = parser.parse_args()
    console = Console(width=160)
    for firm in options.firm or tuple(FIRMS):
        table = Table(title=firm)
        for title in (
            "scenario",
            "way",
            "p50/p99 ms",
            "refusals\nper request",
            "finally\nrefused",
            "failed",
            "region\nheadroom",
            "link\nheadroom",
            "far",
            "drain s",
            "tries",
        ):
            table.add_column(title)
        for way in options.way or WAYS:
            results = run_way(
                firm=firm,
                way=way,
                scenarios=tuple(options.scenario or SCENARIOS),
            )
            add_rows(table, way, results)
            table.add_section()
            if options.out:
                with Path(options.out).open("a", encoding="utf-8") as file:
                    for row in as_json(firm=firm, way=way, results=results):
                        file.write(json.dumps(row) + "\n")
        console.print(table)


if __name__ == "__main__":
    main()
