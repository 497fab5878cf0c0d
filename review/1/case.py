"""A configuration that is acknowledged after a drill of the store.

The store is away for a moment and comes back from a copy some seconds old.
What the instances had written since is written again, then the operator writes
a new version, which moves a route to another service.
"""

import asyncio
import itertools
from pathlib import Path
import time

import harness

ZONES = {
    "dundee-a": "scot-east",
    "glasgow-a": "scot-west",
    "leeds-a": "eng-north",
}
SERVICES = {"match-desk": 16, "doc-intake": 12}
# The copy is this old when the store goes away.
COPY_AGE_S = 2.0
# The store comes back once each gateway has waited for an answer for less than
# this long, and is away for `MOST_AWAY_S` at most.
WAITING_S = 0.6
MOST_AWAY_S = 4.0
# How long it would be away without the disruption.
USUAL_AWAY_S = 0.7
# The operator's new version comes this long after the store's return.
NEW_VERSION_AFTER_S = 0.05
CONFIG_APPLY_S = float(harness.BOUNDS["configApplyS"])
# Most that an unstable core may stretch the bound.
MAX_STRETCH_S = float(harness.BOUNDS["maxStretchS"])
CONTACT_S = float(harness.BOUNDS["contactS"])
WORK_S = 0.05
BODY = b"." * 1000
REQUESTS_PER_S = 5.0
# How long requests are judged.
JUDGED_S = 6.0


async def work(
    instance: harness.Instance,
    request: harness.Request,
    connection: harness.InstanceConnection,
) -> None:
    """Answers with the name of the service."""
    await asyncio.sleep(WORK_S)
    body = instance.service.encode()
    head = instance.answer_head(request, 200, len(body))
    await connection.write(head + body)


def version(number: int, service: str) -> str:
    """Returns a version in which the route goes to a service."""
    rule = harness.route("/lohu930/", service, "unsafe")
    return harness.configuration(number, [rule], list(SERVICES))


class Traffic:
    """Sends requests to each gateway, and keeps when each was sent.

    Attributes:
      sent_s: when each request was sent, by its id.
      gateway: the gateway that it was sent to, by its id.
    """

    def __init__(self, record: harness.Record) -> None:
        """Starts without requests."""
        self.record = record
        self.sent_s: dict[str, float] = {}
        self.gateway: dict[str, str] = {}

    async def send_to(self, gateway: harness.Gateway) -> None:
        """Sends requests on one kept connection after another."""
        connection: harness.ClientConnection | None = None
        for number in itertools.count():
            if connection is None or connection.closed.is_set():
                connection = await harness.connect(gateway.front)
            request_id = f"{gateway.name}-{number}"
            self.sent_s[request_id] = time.monotonic()
            self.gateway[request_id] = gateway.name
            self.record.write("sent", request=request_id, to=gateway.name)
            known = len(connection.answers)
            connection.send(request_id, "/lohu930/2f", method="POST", body=BODY)
            if await connection.until_answers(known + 1, 3.0):
                answer = connection.answers[-1]
                self.record.write(
                    "answered",
                    request=request_id,
                    status=answer.status,
                    body=bytes(answer.body[:20]),
                )
            await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def until_all_wait(deployment: harness.Deployment) -> None:
    """Waits until each gateway has just called the store, or long enough."""
    away_since_s = time.monotonic()
    while time.monotonic() < away_since_s + MOST_AWAY_S:
        since_s = time.monotonic() - WAITING_S
        calls = [
            at_s for at_s in deployment.store.unanswered_s if at_s > since_s
        ]
        if len(calls) >= len(deployment.gateways):
            return
        await asyncio.sleep(0.01)


async def drill(deployment: harness.Deployment, record: harness.Record) -> None:
    """Lets the store come back from an old copy.

    What the instances have written since is written again at once; the
    operator has written nothing.
    """
    store = deployment.store
    old = store.take_copy()
    record.write("copy", revision=store.state.revision)
    await asyncio.sleep(COPY_AGE_S)
    record.write("store-away", revision=store.state.revision)
    store.go_away()
    await until_all_wait(deployment)
    store.come_back(old)
    record.write("store-back", revision=store.state.revision, era=store.era)
    for instance in deployment.instances:
        await instance.register(store)
    record.write("written-again", revision=store.state.revision)


async def play(folder: Path, record: harness.Record) -> int:
    """Plays the case; returns the exit code."""
    deployment = harness.Deployment(
        folder=folder,
        record=record,
        zones=ZONES,
        services=SERVICES,
        work=work,
    )
    traffic = Traffic(record)
    try:
        await deployment.start(version(7, "match-desk"))
        for gateway in deployment.gateways:
            deployment.run(traffic.send_to(gateway))
        await asyncio.sleep(1.0)
        if harness.trouble():
            await drill(deployment, record)
        else:
            await asyncio.sleep(COPY_AGE_S + USUAL_AWAY_S)
        back_s = time.monotonic()
        await asyncio.sleep(NEW_VERSION_AFTER_S)
        store = deployment.store
        await store.put_text("op/config", version(11, "doc-intake"))
        acknowledged_s = time.monotonic()
        record.write(
            "acknowledged", version="0000000b", revision=store.state.revision
        )
        judged_from_s = max(
            acknowledged_s + CONFIG_APPLY_S + MAX_STRETCH_S,
            back_s + CONTACT_S,
        )
        await asyncio.sleep(judged_from_s + JUDGED_S - time.monotonic())
    finally:
        await deployment.end()
    return judge(traffic, deployment.instances, judged_from_s, record)


def judge(
    traffic: Traffic,
    instances: list[harness.Instance],
    judged_from_s: float,
    record: harness.Record,
) -> int:
    """Returns 1 if late requests were run by the old service.

    Returns 2 if no gateway ran any request in the judged time.
    """
    old: dict[str, int] = {}
    new: dict[str, int] = {}
    for instance in instances:
        for request_id, _ in instance.runs:
            if traffic.sent_s.get(request_id, 0.0) < judged_from_s:
                continue
            counts = old if instance.service == "match-desk" else new
            gateway = traffic.gateway[request_id]
            counts[gateway] = counts.get(gateway, 0) + 1
    record.write("judged", by_old_service=old, by_new_service=new)
    print(f"run by the old service: {old}; by the new one: {new}")
    if not old and not new:
        return 2
    return 1 if old else 0


if __name__ == "__main__":
    harness.run(play, Path(__file__).parent)
