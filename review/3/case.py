"""Instances that leave some seconds after a drill of the store.

The store is away for a moment and comes back from a copy some seconds old.
What the instances had written since is written again. Once the
store has been stable for long enough, some instances leave: their entries are
removed, they serve on for a while, and then they exit.
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
PREFIX = "/lohu930/"
# The copy is this old when the store goes away, and it is away for this long.
COPY_AGE_S = 8.0
AWAY_S = 1.0
DRAIN_S = float(harness.BOUNDS["drainS"])
CONTACT_S = float(harness.BOUNDS["contactS"])
# The instances leave this long after the store has been stable.
LEAVING_AFTER_S = 0.3
LEAVING = 3
# How long the instances serve after `DRAIN_S` is over.
SERVED_S = 5.0
WORK_S = 0.1
BODY = b"." * 1000
PAUSE_S = 0.02
CLIENTS_PER_GATEWAY = 5


async def work(
    instance: harness.Instance,
    request: harness.Request,
    connection: harness.InstanceConnection,
) -> None:
    """Answers with the id of the instance."""
    await asyncio.sleep(WORK_S)
    body = instance.instance_id.encode()
    head = instance.answer_head(request, 200, len(body))
    await connection.write(head + body)


class Traffic:
    """Sends requests to each gateway, and keeps when each was sent.

    Attributes:
      sent_s: when each request was sent, by its id.
      status: the status of its answer, by its id.
    """

    def __init__(self, record: harness.Record) -> None:
        """Starts without requests."""
        self._record = record
        self.sent_s: dict[str, float] = {}
        self.status: dict[str, int] = {}

    async def send_to(self, gateway: harness.Gateway, client: int) -> None:
        """Sends requests on one kept connection after another."""
        connection: harness.ClientConnection | None = None
        for number in itertools.count():
            if connection is None or connection.closed.is_set():
                connection = await harness.connect(gateway.front)
            request_id = f"{gateway.name}-{client}-{number}"
            self.sent_s[request_id] = time.monotonic()
            self._record.write("sent", request=request_id)
            known = len(connection.answers)
            connection.send(request_id, PREFIX + "2f", method="POST", body=BODY)
            if await connection.until_answers(known + 1, 3.0):
                status = connection.answers[-1].status
                self.status[request_id] = status
                self._record.write(
                    "answered", request=request_id, status=status
                )
            await asyncio.sleep(PAUSE_S)


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
    await asyncio.sleep(AWAY_S)
    store.come_back(old)
    record.write("store-back", revision=store.state.revision, era=store.era)
    for instance in deployment.instances:
        await instance.register(store)
    record.write("written-again", revision=store.state.revision)


async def leave(
    instance: harness.Instance,
    deployment: harness.Deployment,
    record: harness.Record,
) -> None:
    """Removes the entry of an instance, which serves on."""
    instance.leaves()
    await deployment.store.remove(f"servers/{instance.instance_id}")
    record.write(
        "removed",
        instance=instance.instance_id,
        revision=deployment.store.state.revision,
    )


async def play(folder: Path, record: harness.Record) -> int:
    """Plays the case; returns the exit code."""
    deployment = harness.Deployment(
        folder=folder,
        record=record,
        zones=ZONES,
        services=SERVICES,
        work=work,
    )
    rule = harness.route(PREFIX, "match-desk", "unsafe")
    text = harness.configuration(7, [rule], list(SERVICES))
    traffic = Traffic(record)
    leaving = deployment.instances[:LEAVING]
    try:
        await deployment.start(text)
        for gateway in deployment.gateways:
            for client in range(CLIENTS_PER_GATEWAY):
                deployment.run(traffic.send_to(gateway, client))
        await asyncio.sleep(1.0)
        if harness.trouble():
            await drill(deployment, record)
        else:
            await asyncio.sleep(COPY_AGE_S + AWAY_S)
        await asyncio.sleep(CONTACT_S + LEAVING_AFTER_S)
        for instance in leaving:
            await leave(instance, deployment, record)
        acknowledged_s = time.monotonic()
        await asyncio.sleep(DRAIN_S + SERVED_S)
        for instance in leaving:
            await instance.exit()
            record.write("exits", instance=instance.instance_id)
        await asyncio.sleep(1.0)
    finally:
        await deployment.end()
    return judge(traffic, leaving, acknowledged_s, record)


def judge(
    traffic: Traffic,
    leaving: list[harness.Instance],
    acknowledged_s: float,
    record: harness.Record,
) -> int:
    """Returns 1 if an instance got requests later than `DRAIN_S`.

    Returns 2 if the instances got none before they left.
    """
    late: dict[str, int] = {}
    broken_off = []
    before = 0
    for instance in leaving:
        for request_id, ran_s in instance.runs:
            if ran_s < acknowledged_s:
                before += 1
            if traffic.sent_s[request_id] > acknowledged_s + DRAIN_S:
                name = instance.instance_id
                late[name] = late.get(name, 0) + 1
                if traffic.status.get(request_id) != 200:
                    broken_off.append(request_id)
    record.write("judged", before=before, late=late, broken_off=broken_off)
    print(f"before they left: {before} requests; too late: {late}")
    print(f"of these broken off as the instances ended: {len(broken_off)}")
    if not before:
        return 2
    return 1 if late else 0


if __name__ == "__main__":
    harness.run(play, Path(__file__).parent)
