"""The operators' HTTP listener, which almondstairctl drives."""

import abc
from collections.abc import Awaitable
from typing import Any, NamedTuple

import msgspec
from tornado import httpserver
from tornado import netutil
from tornado import web

from almondstair import log
from almondstair.errors import PROBLEM_CONTENT_TYPE
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

BODY_LIMIT_BYTES = 1 << 20


class EditRequest(NamedTuple):
    """Body of an edit of the whole configuration.

    Attributes:
      base_version: version that the operator read.
      edit_id: id by which the edit's fate can be asked.
      author: who edits.
      text: the new document as TOML.
    """

    base_version: int
    edit_id: str
    author: str
    text: str


class MarkRequest(NamedTuple):
    """Body of a mark.

    Attributes:
      name: upstream or entry.
      leaving: whether it takes no new work from now on.
      edit_id: id by which the edit's fate can be asked.
      author: who marks.
    """

    name: str
    leaving: bool
    edit_id: str
    author: str


class CheckRequest(NamedTuple):
    """Body of a check: a document as TOML."""

    text: str


class EditAnswer(NamedTuple):
    """What became of an edit.

    Attributes:
      edit_id: its id.
      state: fate in one word.
      version: version that it made, or 0.
      lacking: entries that do not have it in force yet.
      changed: dotted keys that somebody else changed meanwhile.
      error: the kind to answer with, None when it is accepted.
    """

    edit_id: str
    state: str
    version: int
    lacking: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    error: AlmondstairError | None = None


class OperatorHandler(abc.ABC):
    """What the operators' listener needs from the rest of an entry."""

    @abc.abstractmethod
    def configuration_view(self) -> dict[str, Any]:
        """Returns the configuration and where it is in force."""

    @abc.abstractmethod
    async def edit(self, request: EditRequest) -> EditAnswer:
        """Edits the configuration."""

    @abc.abstractmethod
    async def mark(self, request: MarkRequest) -> EditAnswer:
        """Marks a VM as leaving or back."""

    @abc.abstractmethod
    async def edit_fate(self, edit_id: str) -> EditAnswer:
        """Returns what is known of an edit."""

    @abc.abstractmethod
    def check(self, request: CheckRequest) -> dict[str, Any]:
        """Checks a document without storing it."""

    @abc.abstractmethod
    async def history(self) -> dict[str, Any]:
        """Returns the last edits."""

    @abc.abstractmethod
    def drain(self, name: str) -> dict[str, Any]:
        """Returns how far the drain of a VM has come."""

    @abc.abstractmethod
    def status(self) -> dict[str, Any]:
        """Returns what this entry knows of the whole system."""


class _Handler(web.RequestHandler):
    """Base of the operators' handlers: JSON in and out, problems as answers."""

    def initialize(self, operators: OperatorHandler) -> None:
        self.operators = operators

    def body(self, of_type: Any) -> Any:
        try:
            return msgspec.json.decode(self.request.body, type=dict)
        except msgspec.DecodeError as error:
            raise AlmondstairError(
                kind=ErrorKind.BAD_REQUEST, detail=f"the body: {error}"
            ) from error

    def fields(self, of_type: Any) -> Any:
        """Reads the body as JSON object into a NamedTuple.

        Raises:
          AlmondstairError: `bad_request`.
        """
        given = self.body(of_type)
        values = []
        for field in of_type._fields:
            if field not in given:
                raise AlmondstairError(
                    kind=ErrorKind.BAD_REQUEST,
                    detail=f"the body lacks {field!r}",
                )
            values.append(given[field])
        try:
            return msgspec.convert(values, of_type)
        except msgspec.ValidationError as error:
            raise AlmondstairError(
                kind=ErrorKind.BAD_REQUEST, detail=f"the body: {error}"
            ) from error

    def answer(
        self,
        content: dict[str, Any],
        *,
        status: int = 200,
        error: AlmondstairError | None = None,
    ) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        if error is not None:
            self.set_problem_headers(error)
        self.finish(msgspec.json.encode(content))

    def answer_edit(self, edit: EditAnswer) -> None:
        content: dict[str, Any] = {}
        status = 200
        if edit.error is not None:
            content.update(edit.error.problem())
            status = edit.error.rule.http_status
        content["edit_id"] = edit.edit_id
        content["state"] = edit.state
        content["version"] = edit.version
        content["lacking"] = list(edit.lacking)
        content["changed"] = list(edit.changed)
        self.answer(content, status=status, error=edit.error)

    def set_problem_headers(self, error: AlmondstairError) -> None:
        self.set_header("Content-Type", PROBLEM_CONTENT_TYPE)
        if error.retry_after_ms is not None:
            seconds = -(-error.retry_after_ms // 1000)
            self.set_header("Retry-After", str(seconds))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answers exceptions; the one place from exception to answer."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if not isinstance(error, AlmondstairError):
            kind = ErrorKind.INTERNAL
            if status_code in (404, 405):
                kind = ErrorKind.NOT_FOUND
            if kind is ErrorKind.INTERNAL:
                log.event(log.Event.REQUEST_BROKEN, error=error)
            error = AlmondstairError(kind=kind, detail=self._reason)
        self.set_status(error.rule.http_status)
        self.set_problem_headers(error)
        problem: dict[str, Any] = dict(error.problem())
        faults = getattr(error, "faults", None)
        if faults:
            lines = []
            for fault in faults:
                lines.append(fault._asdict())
            problem["faults"] = lines
        self.finish(msgspec.json.encode(problem))

    def log_exception(self, *args: Any) -> None:
        """Leaves the log to `write_error`."""


class _Configuration(_Handler):
    def get(self) -> None:
        self.answer(self.operators.configuration_view())

    async def post(self) -> None:
        self.answer_edit(await self.operators.edit(self.fields(EditRequest)))


class _Check(_Handler):
    def post(self) -> None:
        self.answer(self.operators.check(self.fields(CheckRequest)))


class _History(_Handler):
    async def get(self) -> None:
        self.answer(await self.operators.history())


class _Edit(_Handler):
    async def get(self, edit_id: str) -> None:
        self.answer_edit(await self.operators.edit_fate(edit_id))


class _Marks(_Handler):
    async def post(self) -> None:
        self.answer_edit(await self.operators.mark(self.fields(MarkRequest)))


class _Drain(_Handler):
    def get(self, name: str) -> None:
        self.answer(self.operators.drain(name))


class _Status(_Handler):
    def get(self) -> None:
        self.answer(self.operators.status())


class _Missing(_Handler):
    def prepare(self) -> Awaitable[None] | None:
        raise AlmondstairError(
            kind=ErrorKind.NOT_FOUND, detail=f"no page {self.request.path}"
        )


class OperatorServer:
    """The operators' listener."""

    def __init__(self, *, handler: OperatorHandler) -> None:
        """Serves `handler`; nothing listens yet."""
        arguments = {"operators": handler}
        routes: list[Any] = [
            (r"/v1/configuration", _Configuration, arguments),
            (r"/v1/configuration/check", _Check, arguments),
            (r"/v1/configuration/history", _History, arguments),
            (r"/v1/edits/([^/]+)", _Edit, arguments),
            (r"/v1/marks", _Marks, arguments),
            (r"/v1/drains/([^/]+)", _Drain, arguments),
            (r"/v1/status", _Status, arguments),
        ]
        application = web.Application(
            routes,
            default_handler_class=_Missing,
            default_handler_args=arguments,
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(
            application, max_body_size=BODY_LIMIT_BYTES
        )

    def listen(self, address: str) -> None:
        """Binds `ip:port`; raises OSError when it cannot."""
        ip, _, port = address.rpartition(":")
        self._server.add_sockets(netutil.bind_sockets(int(port), address=ip))

    async def close(self) -> None:
        """Stops listening and closes what is open."""
        self._server.stop()
        await self._server.close_all_connections()
