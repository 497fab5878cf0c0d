"""Parsing of a request's head, and the progress of the request.

A request is parsed once into a `RequestHead`; `RequestProgress` alone decides
whether it may still be dispatched.
"""

import enum
from typing import NamedTuple

from almondstair.core.model import Configuration
from almondstair.core.model import RequestClass
from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

MAX_KEY_LENGTH = 255
MAX_DEADLINE_DIGITS = 9


class RequestHead(NamedTuple):
    """Holds what is known of a request before its body arrives.

    Attributes:
      service: name of the service.
      request_class: the class that matches its method and path.
      method: HTTP method.
      path: path and query as sent to the upstream.
      key: Idempotency-Key, or empty.
      deadline_s: monotonic time by which the complete response must be sent.
    """

    service: str
    request_class: RequestClass
    method: str
    path: str
    key: str
    deadline_s: float


class Progress(enum.Enum):
    """How far a request has come."""

    OPEN = "open"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"


class RequestProgress:
    """Guarantees that a request reported as not run is never run.

    Otherwise a deadline could expire and the caller be told that nothing ran,
    while a dispatch that was waiting for a slot starts a moment later. The
    journal of an upstream would then show a request that was answered with
    `ran: no`. Every answer calls `try_answer()` before it is written and every
    dispatch calls `try_dispatch()` before its first byte, so one of the two
    fails.

    A refusal covers only the last dispatch. An idempotent request whose first
    dispatch was lost may have run there, even if the next dispatch is certainly
    refused. If the refusal reset the whole state, the caller would be told "not
    run" for a request that an upstream has in its journal.
    """

    def __init__(self) -> None:
        """Starts open."""
        self.state = Progress.OPEN
        self.may_have_run = False
        self._earlier_may_have_run = False

    def try_dispatch(self) -> bool:
        """Returns whether the first byte may be sent, and marks it as sent."""
        if self.state is Progress.ANSWERED:
            return False
        self.state = Progress.DISPATCHED
        self._earlier_may_have_run = self.may_have_run
        self.may_have_run = True
        return True

    def record_not_run(self) -> None:
        """Records that the last dispatch certainly did not run."""
        if self.state is Progress.DISPATCHED:
            self.state = Progress.OPEN
            self.may_have_run = self._earlier_may_have_run

    def try_answer(self) -> bool:
        """Closes the request; returns False if it was already answered."""
        if self.state is Progress.ANSWERED:
            return False
        self.state = Progress.ANSWERED
        return True


def split_path(*, path: str) -> tuple[str, str]:
    """Splits `/service/rest?query` into the service and `/rest?query`."""
    service, slash, rest = path.lstrip("/").partition("/")
    if not slash:
        service, mark, query = service.partition("?")
        return service, "/" + mark + query
    return service, "/" + rest


def find_request_class(
    *, configuration: Configuration, service: str, method: str, path: str
) -> RequestClass:
    """Returns the class of a request.

    Args:
      configuration: the configuration in force.
      service: first part of the caller's path.
      method: HTTP method.
      path: path below the service, with or without a query.

    Returns:
      The first class whose methods and path match.

    Raises:
      AlmondstairError: `unknown_service` or `unknown_path`.
    """
    found = configuration.services.get(service)
    if found is None:
        names = ", ".join(sorted(configuration.services))
        raise AlmondstairError(
            kind=ErrorKind.UNKNOWN_SERVICE,
            detail=f"there is no service {service!r}; there are: {names}",
        )
    plain_path = path.partition("?")[0]
    for request_class in found.classes:
        if method not in request_class.methods:
            continue
        if _path_matches(pattern=request_class.path, path=plain_path):
            return request_class
    raise AlmondstairError(
        kind=ErrorKind.UNKNOWN_PATH,
        detail=f"service {service} has no request class for {method} "
        f"{plain_path}",
    )


def _path_matches(*, pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


def validate_key(*, request_class: RequestClass, key: str) -> str:
    """Returns the key to claim, empty if the class is idempotent.

    Raises:
      AlmondstairError: `key_missing` or `bad_request`.
    """
    if request_class.idempotent:
        return ""
    if not key:
        raise AlmondstairError(
            kind=ErrorKind.KEY_MISSING,
            detail=f"{request_class.name} runs at most once and needs an "
            "Idempotency-Key header",
        )
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise AlmondstairError(
            kind=ErrorKind.BAD_REQUEST,
            detail="Idempotency-Key must be printable and at most "
            f"{MAX_KEY_LENGTH} characters",
        )
    return key


def parse_deadline_s(
    *, request_class: RequestClass, header: str, now_s: float
) -> float:
    """Returns the monotonic deadline of a request.

    Args:
      request_class: sets the longest and the default deadline.
      header: value of Deadline-Ms, the remaining milliseconds, or empty.
      now_s: monotonic time in seconds.

    Raises:
      AlmondstairError: `deadline_unreadable`.
    """
    limit_ms = request_class.deadline_ms
    if not header:
        return now_s + limit_ms / 1000
    readable = header.isascii() and header.isdigit()
    if not readable or len(header) > MAX_DEADLINE_DIGITS or int(header) == 0:
        raise AlmondstairError(
            kind=ErrorKind.DEADLINE_UNREADABLE,
            detail=f"Deadline-Ms is {header!r}; give the milliseconds left "
            "as a whole number above 0",
        )
    return now_s + min(int(header), limit_ms) / 1000
