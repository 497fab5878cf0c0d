"""Case 4: one entry that cannot be read stops all changes at all gateways."""

import asyncio
import json
from pathlib import Path
import time

from review import trial

GATEWAYS = 3
# After the unreadable entry, and after the operator's change, in seconds.
PAUSE_S = 2.0
WATCHED_S = 7.0
# Bounds of the deployments whose pages name the entries of other writers.
CONFIG_APPLY_S = 4.0
DRAIN_S = 4.0
BOUNDS = {
    "ackS": 6,
    "catchUpS": 6,
    "drainS": DRAIN_S,
    "configApplyS": CONFIG_APPLY_S,
    "coldSlack": 8,
}
# Digits of the port in the unreadable entry.
PORT_DIGITS = 5000


async def work(exchange: trial.Exchange) -> None:
    """Answers soon."""
    await asyncio.sleep(0.02)
    await exchange.answer(b"ok")


async def write_unreadable(deployment: trial.Deployment) -> None:
    """Writes an entry under `servers/` as another writer might."""
    entry = json.loads(deployment.upstreams[0].registration())
    entry["address"] = "127.0.0.1:" + PORT_DIGITS * "9"
    await deployment.store.put_text("servers/i-other", json.dumps(entry))
    deployment.record.add("another writer wrote servers/i-other")


async def ask(
    deployment: trial.Deployment,
    gateway: trial.Gateway,
    target: str,
    acknowledged_s: float,
) -> str:
    """Sends a request; returns the rule that its answer breaks, if any."""
    client = trial.Client(record=deployment.record, name=gateway.name)
    await client.connect(gateway.front)
    sent_s = time.monotonic()
    client.send(target)
    answer = await client.answer()
    client.close()
    if answer is None or " 404 " not in answer.first:
        return ""
    late_s = sent_s - acknowledged_s
    if target != "/added/x" or late_s <= CONFIG_APPLY_S:
        return ""
    return (
        f"CONFIG: {gateway.name} refused a request on an added route with 404,"
        f" sent {late_s:.1f} s after the acknowledgement"
    )


async def case(deployment: trial.Deployment, trouble: bool) -> list[str]:
    """Plays the case; returns the rules that were broken."""
    deployment.bounds |= BOUNDS
    gateways = [deployment.add_gateway() for _ in range(GATEWAYS)]
    for _ in range(3):
        upstream = await deployment.add_upstream(work)
        upstream.born_ms = time.time_ns() // 1_000_000
        await deployment.register(upstream)
    rules = [trial.route("/first/")]
    await deployment.configure(trial.configuration(12, rules))
    await deployment.start()
    if trouble:
        await write_unreadable(deployment)
    await asyncio.sleep(PAUSE_S)
    rules.append(trial.route("/added/"))
    await deployment.configure(trial.configuration(15, rules))
    leaving = deployment.upstreams[0]
    leaving.state = "draining"
    await deployment.register(leaving)
    acknowledged_s = time.monotonic()
    deployment.record.add(f"{leaving.id} reported draining")
    broken = []
    while time.monotonic() < acknowledged_s + WATCHED_S:
        for gateway in gateways:
            for target in ("/added/x", "/first/x"):
                found = await ask(deployment, gateway, target, acknowledged_s)
                broken += [found] if found else []
        await asyncio.sleep(0.1)
    late = [run for run in leaving.runs if run.at_s > acknowledged_s + DRAIN_S]
    if late:
        broken.append(
            f"DRAIN: {len(late)} requests reached {leaving.id} later than"
            f" {DRAIN_S} s after its draining was acknowledged"
        )
    return broken


if __name__ == "__main__":
    trial.main(case, Path(__file__).parent)
