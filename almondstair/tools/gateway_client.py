"""Client of gateways on their metrics addresses."""

from collections.abc import Sequence
import json
from typing import Any
import urllib.error
import urllib.request

from almondstair import errors

# A gateway normally answers in milliseconds.
PAGE_TIMEOUT_S = 3.0


def fetch_statuses(addresses: Sequence[str]) -> list[dict[str, Any]]:
    """Returns the status of each gateway, or the error if it is unreachable.

    Raises:
      AlmondstairError: `usage` if no gateway is named.
    """
    if not addresses:
        raise errors.AlmondstairError(
            kind=errors.ErrorKind.USAGE,
            detail="name the metrics address of at least one gateway",
        )
    bodies = []
    for address in addresses:
        try:
            bodies.append(_get(address, "/status"))
        except (OSError, json.JSONDecodeError) as error:
            bodies.append({"entry": address, "silent": str(error)})
    return bodies


def fetch_configuration(address: str, *, version: int = 0) -> dict[str, Any]:
    """Returns a version that a gateway had in force; 0 for the current.

    Raises:
      AlmondstairError: `not_found` if it does not keep that version;
        `entry_unreachable`.
    """
    try:
        return _get(address, f"/configuration?version={version}")
    except urllib.error.HTTPError as error:
        raise errors.AlmondstairError(
            kind=errors.ErrorKind.NOT_FOUND,
            detail=f"{address} keeps no configuration {version or 'in force'}",
        ) from error
    except (OSError, json.JSONDecodeError) as error:
        raise errors.AlmondstairError(
            kind=errors.ErrorKind.ENTRY_UNREACHABLE,
            detail=f"{address}: {error}",
        ) from error


def _get(address: str, path: str) -> dict[str, Any]:
    url = f"http://{address}{path}"
    with urllib.request.urlopen(url, timeout=PAGE_TIMEOUT_S) as response:
        body: dict[str, Any] = json.loads(response.read())
    return body
