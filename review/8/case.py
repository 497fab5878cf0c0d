"""Case 8: a response that is late takes others of its connection along."""

import asyncio
from pathlib import Path

from review import trial

CLIENTS = 8
PULL_S = 2.5
SCAN_BYTES = 500_000
CONFIG_APPLY_S = trial.BOUNDS["configApplyS"]
# The rule allows three.
MOST_LOST = 3


async def work(exchange: trial.Exchange) -> None:
    """Answers small requests late, large ones soon."""
    target = exchange.run.target
    if target.startswith("/scan/"):
        await asyncio.sleep(0.1)
        await exchange.answer(b"s" * SCAN_BYTES)
        return
    await asyncio.sleep(PULL_S if target.endswith("/long") else 0.05)
    await exchange.answer(b"pulled")


def configuration(version: int, scan_timeout_s: float) -> str:
    """Returns a configuration with a time-out of the large responses."""
    rules = [
        trial.route("/pull/", "desk", timeout_s=8.0),
        trial.route("/scan/", "archive", "download", timeout_s=scan_timeout_s),
    ]
    return trial.configuration(version, rules, ("desk", "archive"))


async def ask(
    client: trial.Client,
) -> list[tuple[str, trial.Message | None]]:
    """Sends two requests together, and reads both answers."""
    ids = [client.send("/pull/long"), client.send("/scan/images")]
    return [(request_id, await client.answer()) for request_id in ids]


async def case(deployment: trial.Deployment, trouble: bool) -> list[str]:
    """Plays the case; returns the rules that were broken."""
    gateway = deployment.add_gateway()
    for _ in range(3):
        await deployment.add_upstream(work, service="desk")
        await deployment.add_upstream(work, service="archive")
    await deployment.configure(configuration(12, 8.0))
    await deployment.start()
    clients = []
    for number in range(CLIENTS):
        client = trial.Client(record=deployment.record, name=f"c{number}")
        await client.connect(gateway.front)
        client.send("/pull/short")
        await client.answer()
        clients.append(client)
    if trouble:
        await deployment.configure(configuration(15, 1.2))
        await asyncio.sleep(CONFIG_APPLY_S)
    lost = []
    for answers in await asyncio.gather(*map(ask, clients)):
        request_id, answer = answers[0]
        if answer is None:
            lost.append(
                f"LOST: {request_id} was passed on to a sound upstream, and its"
                " kept connection was closed without an answer"
            )
    return lost if len(lost) > MOST_LOST else []


if __name__ == "__main__":
    trial.main(case, Path(__file__).parent)
