"""The operators' HTTP listener; its client is almondstairctl."""

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
      base_version: version that the edit is based on.
      edit_id: id with which the state of the edit can be queried.
      author: author of the edit.
      text: the new document as TOML.
    """

    base_version: int
    edit_id: str
    author: str
    text: str


class MarkRequest(NamedTuple):
    """Body of a request to set or clear a leaving mark.

    Attributes:
      name: upstream or entry.
      leaving: whether it gets no new work from now on.
      edit_id: id with which the state of the edit can be queried.
      author: author of the edit.
    """

    name: str
    leaving: bool
    edit_id: str
    author: str


class CheckRequest(NamedTuple):
    """Body of a check; `text` is a document as TOML."""

    text: str


class EditResponse(NamedTuple):
    """Holds the result of an edit.

    Attributes:
      edit_id: id of the edit.
      state: state of the edit as the API returns it.
      version: version that the edit created, or 0.
      lacking: entries on which that version is not known to be in force.
      changed: dotted keys that a concurrent edit changed.
      error: the error to return, None if the edit is accepted.
    """

    edit_id: str
    state: str
    version: int
    lacking: tuple[str, ...] = ()
    changed: tuple[str, ...] = ()
    error: AlmondstairError | None = None


class OperatorHandler(abc.ABC):
    """Interface between the operators' listener and the entry."""

    @abc.abstractmethod
    def configuration_view(self) -> dict[str, Any]:
        """Returns the configuration and the version in force on each entry."""

    @abc.abstractmethod
    async def edit(self, request: EditRequest) -> EditResponse:
        """Edits the configuration."""

    @abc.abstractmethod
    async def mark(self, request: MarkRequest) -> EditResponse:
        """Sets or clears the leaving mark of an upstream or entry."""

    @abc.abstractmethod
    async def edit_status(self, edit_id: str) -> EditResponse:
        """Returns the state of an edit."""

    @abc.abstractmethod
    def check(self, request: CheckRequest) -> dict[str, Any]:
        """Checks a document without storing it."""

    @abc.abstractmethod
    async def history(self) -> dict[str, Any]:
        """Returns the latest edits."""

    @abc.abstractmethod
    def drain(self, name: str) -> dict[str, Any]:
        """Returns the progress of the drain of an upstream or entry."""

    @abc.abstractmethod
    def status(self) -> dict[str, Any]:
        """Returns the state of the whole system as this entry knows it."""


class _Handler(web.RequestHandler):
    """Base class: JSON bodies in both directions, errors as problems."""

    def initialize(self, operators: OperatorHandler) -> None:
        self.operators = operators

    def decode_body(self, body_type: Any) -> Any:
        try:
            return msgspec.json.decode(self.request.body, type=dict)
        except msgspec.DecodeError as error:
            raise AlmondstairError(
                kind=ErrorKind.BAD_REQUEST, detail=f"the body: {error}"
            ) from error

    def read_body(self, body_type: Any) -> Any:
        """Converts the JSON object in the body to a NamedTuple.

        Raises:
          AlmondstairError: `bad_request`.
        """
        decoded = self.decode_body(body_type)
        values = []
        for field in body_type._fields:
            if field not in decoded:
                raise AlmondstairError(
                    kind=ErrorKind.BAD_REQUEST,
                    detail=f"the body lacks {field!r}",
                )
            values.append(decoded[field])
        try:
            return msgspec.convert(values, body_type)
        except msgspec.ValidationError as error:
            raise AlmondstairError(
                kind=ErrorKind.BAD_REQUEST, detail=f"the body: {error}"
            ) from error

    def send_json(
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

    def send_edit_result(self, edit: EditResponse) -> None:
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
        self.send_json(content, status=status, error=edit.error)

    def set_problem_headers(self, error: AlmondstairError) -> None:
        self.set_header("Content-Type", PROBLEM_CONTENT_TYPE)
        if error.retry_after_ms is not None:
            seconds = -(-error.retry_after_ms // 1000)
            self.set_header("Retry-After", str(seconds))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Converts every exception to a problem document."""
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
            fault_objects = []
            for fault in faults:
                fault_objects.append(fault._asdict())
            problem["faults"] = fault_objects
        self.finish(msgspec.json.encode(problem))

    def log_exception(self, *args: Any) -> None:
        """Does nothing; `write_error` logs unexpected exceptions."""


class _Configuration(_Handler):
    def get(self) -> None:
        self.send_json(self.operators.configuration_view())

    async def post(self) -> None:
        self.send_edit_result(
            await self.operators.edit(self.read_body(EditRequest))
        )


class _Check(_Handler):
    def post(self) -> None:
        self.send_json(self.operators.check(self.read_body(CheckRequest)))


class _History(_Handler):
    async def get(self) -> None:
        self.send_json(await self.operators.history())


class _Edit(_Handler):
    async def get(self, edit_id: str) -> None:
        self.send_edit_result(await self.operators.edit_status(edit_id))


class _Marks(_Handler):
    async def post(self) -> None:
        self.send_edit_result(
            await self.operators.mark(self.read_body(MarkRequest))
        )


class _Drain(_Handler):
    def get(self, name: str) -> None:
        self.send_json(self.operators.drain(name))


class _Status(_Handler):
    def get(self) -> None:
        self.send_json(self.operators.status())


class _NotFound(_Handler):
    def prepare(self) -> Awaitable[None] | None:
        raise AlmondstairError(
            kind=ErrorKind.NOT_FOUND, detail=f"no page {self.request.path}"
        )


class OperatorServer:
    """Listens for HTTP requests of operators."""

    def __init__(self, *, handler: OperatorHandler) -> None:
        """Sets up the routes to `handler`; nothing listens yet."""
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
            default_handler_class=_NotFound,
            default_handler_args=arguments,
            log_function=lambda handler: None,
        )
        self._server = httpserver.HTTPServer(
            application, max_body_size=BODY_LIMIT_BYTES
        )

    def listen(self, address: str) -> None:
        """Binds `ip:port`.

        Raises:
          OSError: the address cannot be bound.
        """
        ip, _, port = address.rpartition(":")
        self._server.add_sockets(netutil.bind_sockets(int(port), address=ip))

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop()
        await self._server.close_all_connections()
