"""Client of the operators' HTTP listeners."""

import http
import json
from typing import Any, NamedTuple
from urllib import parse as urlparse

from tornado import httpclient

from almondstair import addresses
from almondstair import errors
from almondstair import operator_api

_CONNECT_TIMEOUT_S = 2.0
_REQUEST_TIMEOUT_S = 10.0
# Shorter for one of many entries, so that a frozen one does not delay the rest.
_SINGLE_ENTRY_TIMEOUT_S = 2.0


class UnreachableEntry(NamedTuple):
    """Describes an entry that did not answer.

    Attributes:
      address: address of its operators' listener.
      reason: the error of the connection or request.
    """

    address: str
    reason: str


class RemoteError(errors.AlmondstairError):
    """Reports an error that an entry answered.

    Attributes:
      body: the complete problem, with members that are specific to its kind.
    """

    def __init__(self, *, kind: errors.ErrorKind, body: dict[str, Any]) -> None:
        """Makes the error from the body of a response."""
        super().__init__(kind=kind, detail=str(body.get("detail", "")))
        self.body = body


class OperatorClient:
    """Sends requests to entries, in the order given, until one answers.

    Attributes:
      unreachable_entries: entries that have not answered, with the reason.
    """

    def __init__(self, *, addresses_text: str) -> None:
        """Makes a client.

        Args:
          addresses_text: operators' listeners, `ip:port`, separated by commas.

        Raises:
          AlmondstairError: USAGE if there is none or one is malformed.
        """
        self.unreachable_entries: list[UnreachableEntry] = []
        self._addresses = _parse_addresses(addresses_text)
        self._http = httpclient.HTTPClient()

    def configuration(self) -> operator_api.ConfigurationBody:
        """Returns the configuration."""
        return self._get("/v1/configuration")

    def history(self) -> operator_api.HistoryBody:
        """Returns the versions of the configuration."""
        return self._get("/v1/configuration/history")

    def check(self, *, text: str) -> None:
        """Has an entry check a configuration; raises if it is invalid."""
        body = operator_api.CheckBody(text=text)
        self._request("POST", "/v1/configuration/check", body=body)

    def edit(self, edit: operator_api.EditBody) -> operator_api.EditState:
        """Sends an edit and returns its state, pending or accepted."""
        return self._write("/v1/configuration", body=edit)

    def mark(self, mark: operator_api.MarkBody) -> operator_api.EditState:
        """Sends a mark and returns its state, pending or accepted."""
        return self._write("/v1/marks", body=mark)

    def edit_state(self, *, edit_id: str) -> operator_api.EditState:
        """Returns the state of an edit, pending or accepted."""
        path = f"/v1/edits/{urlparse.quote(edit_id, safe='')}"
        try:
            return _edit_state(self._get(path), edit_id=edit_id)
        except RemoteError as error:
            return _pending_state(error, edit_id=edit_id)

    def drain(self, *, name: str) -> operator_api.DrainBody:
        """Returns what is still running on a VM, as its home reports it."""
        path = f"/v1/drains/{urlparse.quote(name, safe='')}"
        drain: operator_api.DrainBody = self._get(path)
        if drain["in_flight"] is not None or not drain["home_address"]:
            return drain
        return self._request_from(drain["home_address"], path) or drain

    def status(self) -> operator_api.StatusBody:
        """Returns the status that one entry reports."""
        return self._get("/v1/status")

    def status_of(self, *, address: str) -> operator_api.StatusBody | None:
        """Returns the status from a given entry, None if it does not answer."""
        return self._request_from(address, "/v1/status")

    def _request_from(self, address: str, path: str) -> Any:
        """Sends a GET to a given entry; returns None if it does not answer."""
        try:
            return self._send(
                address,
                "GET",
                path,
                body=None,
                timeout_s=_SINGLE_ENTRY_TIMEOUT_S,
            )
        except OSError as error:
            self._record_unreachable(address, error=error)
        except errors.AlmondstairError as error:
            self._record_unreachable(address, error=OSError(error.detail))
        return None

    def _get(self, path: str) -> Any:
        return self._request("GET", path, body=None)

    def _request(self, method: str, path: str, *, body: Any) -> Any:
        """Tries each entry in turn; only for requests without side effects."""
        for address in tuple(self._addresses):
            try:
                return self._send(address, method, path, body=body)
            except OSError as error:
                self._record_unreachable(address, error=error)
        raise self._unreachable_error()

    def _write(
        self,
        path: str,
        *,
        body: operator_api.EditBody | operator_api.MarkBody,
    ) -> operator_api.EditState:
        """Sends a write to the first entry that accepts a connection.

        If the connection breaks after that, the write may have taken effect
        although its response is lost. A retry at another entry could undo a
        later edit of another operator, so the status of the edit is read
        instead.
        """
        edit_id = body["edit_id"]
        for address in tuple(self._addresses):
            try:
                response = self._send(address, "POST", path, body=body)
                return _edit_state(response, edit_id=edit_id)
            except RemoteError as error:
                return _pending_state(error, edit_id=edit_id)
            except ConnectionRefusedError as error:
                self._record_unreachable(address, error=error)
            except OSError as error:
                self._record_unreachable(address, error=error)
                return self._state_after_lost_response(edit_id=edit_id)
        raise self._unreachable_error()

    def _state_after_lost_response(
        self, *, edit_id: str
    ) -> operator_api.EditState:
        try:
            return self.edit_state(edit_id=edit_id)
        except errors.AlmondstairError as error:
            # An entry may answer "not found" before the write takes effect.
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.EDIT_UNKNOWN,
                detail="the response to the edit was lost; check later with: "
                f"almondstairctl edit status {edit_id}",
            ) from error

    def _send(
        self,
        address: str,
        method: str,
        path: str,
        *,
        body: Any,
        timeout_s: float = _REQUEST_TIMEOUT_S,
    ) -> Any:
        request = httpclient.HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=None if body is None else json.dumps(body),
            headers={"Content-Type": "application/json"},
            connect_timeout=_CONNECT_TIMEOUT_S,
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        try:
            response = self._http.fetch(request, raise_error=False)
        except httpclient.HTTPClientError as error:
            raise OSError(str(error)) from error
        return _decode(response, address=address)

    def _record_unreachable(self, address: str, *, error: OSError) -> None:
        """Records an unreachable entry once and tries it last from now on."""
        if address in self._addresses:
            self._addresses.remove(address)
            self._addresses.append(address)
        for unreachable in self.unreachable_entries:
            if unreachable.address == address:
                return
        reason = error.strerror or str(error) or type(error).__name__
        self.unreachable_entries.append(
            UnreachableEntry(address=address, reason=reason)
        )

    def _unreachable_error(self) -> errors.AlmondstairError:
        lines: list[str] = []
        for unreachable in self.unreachable_entries:
            lines.append(
                f"{unreachable.address} does not answer: {unreachable.reason}"
            )
        return errors.AlmondstairError(
            kind=errors.ErrorKind.ENTRY_UNREACHABLE, detail="\n".join(lines)
        )


def _parse_addresses(text: str) -> list[str]:
    found: list[str] = []
    for part in text.split(","):
        address = part.strip()
        if not address:
            continue
        problem = addresses.address_problem(address)
        if problem is not None:
            raise errors.AlmondstairError(
                kind=errors.ErrorKind.USAGE,
                detail=f"{address!r} {problem}; {addresses.REMEDY}",
            )
        found.append(address)
    if not found:
        raise errors.AlmondstairError(
            kind=errors.ErrorKind.USAGE,
            detail="no entry is named; give --entry IP:PORT, the operators' "
            "listener of an entry, or set ALMONDSTAIR_ENTRY",
        )
    return found


def _decode(response: httpclient.HTTPResponse, *, address: str) -> Any:
    """Returns the JSON body of a response; raises if it is a problem."""
    try:
        body = json.loads(response.body)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        raise _wrong_listener(address)
    if "kind" not in body and response.code == http.HTTPStatus.OK:
        return body
    try:
        kind = errors.ErrorKind(str(body.get("kind")))
    except ValueError as error:
        raise _wrong_listener(address) from error
    raise RemoteError(kind=kind, body=body)


def _wrong_listener(address: str) -> errors.AlmondstairError:
    return errors.AlmondstairError(
        kind=errors.ErrorKind.ENTRY_UNREACHABLE,
        detail=f"{address} answers, but not as an operators' listener; "
        "check the port",
    )


def _edit_state(
    body: dict[str, Any], *, edit_id: str
) -> operator_api.EditState:
    return operator_api.EditState(
        edit_id=edit_id,
        state=body["state"],
        version=body["version"],
        lacking=body.get("lacking", []),
    )


def _pending_state(
    error: RemoteError, *, edit_id: str
) -> operator_api.EditState:
    """Returns the state from a pending error; raises any other error again."""
    if error.kind is not errors.ErrorKind.EDIT_PENDING:
        raise error
    return operator_api.EditState(
        edit_id=edit_id,
        state=operator_api.PENDING,
        version=error.body["version"],
        lacking=error.body.get("lacking", []),
    )
