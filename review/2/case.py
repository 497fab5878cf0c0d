"""Two large responses that are in flight on one connection of a client.

A client sends a second request before the first one has been answered. Both
responses are large, and both instances answer soon.
"""

import asyncio
from pathlib import Path

import harness

ZONES = {"centro-a": "centro", "sul-a": "sul"}
SERVICE = "arquivo"
INSTANCES = 8
SLOTS = 5
# The largest responses on the sheet of the site.
RESPONSE_BYTES = 540_000
PIECE_BYTES = 16 * 1024
WORK_S = 0.1
TIMEOUT_S = 4.0
DEADLINE_MS = 5000
# Both kinds may be repeated; responses of `download` routes are large.
PREFIXES = {"safe": "/gono990/", "download": "/bopu901/"}
CONNECTIONS_PER_KIND = 3
# More than this many break the rule.
MOST_CLOSED = 3


async def work(
    instance: harness.Instance,
    request: harness.Request,
    connection: harness.InstanceConnection,
) -> None:
    """Answers with a large body, as fast as it is read."""
    await asyncio.sleep(WORK_S)
    await connection.write(instance.answer_head(request, 200, RESPONSE_BYTES))
    left_bytes = RESPONSE_BYTES
    while left_bytes:
        size_bytes = min(PIECE_BYTES, left_bytes)
        await connection.write(b"." * size_bytes)
        left_bytes -= size_bytes


class Client:
    """A client with one kept connection.

    Attributes:
      sent: ids of its requests, in order.
      connection: its connection.
    """

    def __init__(
        self,
        *,
        name: str,
        path: str,
        connection: harness.ClientConnection,
        record: harness.Record,
    ) -> None:
        """Creates a client on an open connection."""
        self.name = name
        self.sent: list[str] = []
        self.connection = connection
        self._path = path
        self._record = record

    def send(self) -> None:
        """Sends the next request."""
        request_id = f"{self.name}-{len(self.sent)}"
        self.sent.append(request_id)
        self._record.write("sent", request=request_id)
        self.connection.send(request_id, self._path, deadline_ms=DEADLINE_MS)

    async def until_answered(self) -> None:
        """Waits until all requests are answered or the connection ends."""
        await self.connection.until_answers(len(self.sent), TIMEOUT_S + 3.0)

    async def play(self, *, pipelines: bool) -> None:
        """Sends one request, and two more after its answer."""
        self.send()
        await self.until_answered()
        self.send()
        if not pipelines:
            await self.until_answered()
        self.send()
        await self.until_answered()
        for request_id, answer in zip(
            self.sent, self.connection.begun, strict=False
        ):
            self._record.write(
                "answer",
                request=request_id,
                status=answer.status,
                body_bytes=len(answer.body),
                complete=answer.complete,
            )
        self._record.write(
            "client-ends",
            client=self.name,
            closed_by_gateway=self.connection.closed.is_set(),
        )

    def closed_without_answer(self) -> list[str]:
        """Returns the requests that got no byte of an answer.

        Their connection was closed by the gateway.
        """
        if not self.connection.closed.is_set():
            return []
        return self.sent[len(self.connection.begun) :]


async def play(folder: Path, record: harness.Record) -> int:
    """Plays the case; returns the exit code."""
    deployment = harness.Deployment(
        folder=folder,
        record=record,
        zones=ZONES,
        services={SERVICE: INSTANCES},
        work=work,
        slots=SLOTS,
    )
    rules = [
        harness.route(prefix, SERVICE, kind, timeoutS=TIMEOUT_S)
        for kind, prefix in PREFIXES.items()
    ]
    clients: list[Client] = []
    try:
        await deployment.start(harness.configuration(7, rules, [SERVICE]))
        for gateway in deployment.gateways:
            for kind in PREFIXES:
                clients += await play_kind(gateway, kind, record)
    finally:
        await deployment.end()
    return judge(clients, deployment.instances, record)


async def play_kind(
    gateway: harness.Gateway, kind: str, record: harness.Record
) -> list[Client]:
    """Lets some clients play, one after another; returns them.

    So no instance is short of slots.
    """
    clients = []
    for number in range(CONNECTIONS_PER_KIND):
        client = Client(
            name=f"{gateway.name}-{kind}-{number}",
            path=f"{PREFIXES[kind]}2f",
            connection=await harness.connect(gateway.front),
            record=record,
        )
        clients.append(client)
        await client.play(pipelines=harness.trouble())
        client.connection.close()
    return clients


def judge(
    clients: list[Client],
    instances: list[harness.Instance],
    record: harness.Record,
) -> int:
    """Returns 1 if too many requests that ran got no answer."""
    ran = set()
    for instance in instances:
        ran.update(request_id for request_id, _ in instance.runs)
    closed = []
    for client in clients:
        for request_id in client.closed_without_answer():
            if request_id in ran:
                closed.append(request_id)
    sent = sum(len(client.sent) for client in clients)
    record.write("judged", sent=sent, closed_without_answer=closed)
    print(f"sent {sent}, run and closed without an answer: {len(closed)}")
    if not ran:
        return 2
    return 1 if len(closed) > MOST_CLOSED else 0


if __name__ == "__main__":
    harness.run(play, Path(__file__).parent)
