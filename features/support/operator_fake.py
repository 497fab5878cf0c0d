"""A stand-in for the operator listener of an entry, on its own thread."""

import asyncio
import json
import threading
from typing import Any, NamedTuple

from tornado import httpserver
from tornado import netutil
from tornado import web


class Call(NamedTuple):
    """A received request."""

    method: str
    path: str
    body: Any


class ScriptedResponse(NamedTuple):
    """A scripted response; `lost` closes the connection instead."""

    status: int = 200
    body: Any = None
    lost: bool = False


class FakeOperatorServer:
    """Answers requests from a script and repeats a path's last response.

    A path that ends in `*` matches every path with that prefix.
    """

    def __init__(self) -> None:
        """Starts listening on a free port of 127.0.0.1."""
        self.calls: list[Call] = []
        self.address = ""
        self._script: dict[str, list[ScriptedResponse]] = {}
        self._loop = asyncio.new_event_loop()
        ready = threading.Event()
        self._thread = threading.Thread(target=self._serve, args=(ready,))
        self._thread.start()
        ready.wait()

    def add_response(
        self, method: str, path: str, answer: ScriptedResponse
    ) -> None:
        """Adds a response to the script."""
        self._script.setdefault(f"{method} {path}", []).append(answer)

    def next_response(self, call: Call) -> ScriptedResponse:
        """Records a call and returns its response from the script."""
        self.calls.append(call)
        answers = self._responses_for(f"{call.method} {call.path}")
        if not answers:
            return ScriptedResponse(
                404, {"kind": "not_found", "detail": call.path}
            )
        if len(answers) > 1:
            return answers.pop(0)
        return answers[0]

    def _responses_for(self, request_line: str) -> list[ScriptedResponse]:
        for pattern, answers in self._script.items():
            if pattern == request_line:
                return answers
            if pattern.endswith("*") and request_line.startswith(pattern[:-1]):
                return answers
        return []

    def stop(self) -> None:
        """Stops listening and joins the thread."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _serve(self, ready: threading.Event) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen())
        ready.set()
        self._loop.run_forever()
        self._server.stop()
        self._loop.run_until_complete(self._server.close_all_connections())
        self._loop.close()

    async def _listen(self) -> None:
        application = web.Application(
            [(r".*", _Handler, {"fake": self})],
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(application)
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self._server.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"


class _Handler(web.RequestHandler):
    def initialize(self, fake: FakeOperatorServer) -> None:
        self._fake = fake

    def get(self) -> None:
        self._respond()

    def post(self) -> None:
        self._respond()

    def log_exception(self, *_: Any) -> None:
        """Keeps lost responses out of the test output."""

    def _respond(self) -> None:
        body = None
        if self.request.body:
            body = json.loads(self.request.body)
        call = Call(str(self.request.method), self.request.path, body)
        answer = self._fake.next_response(call)
        if answer.lost:
            self.request.connection.stream.close()
            return
        self.set_status(answer.status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(answer.body))
