"""The settings file that the users' platform writes for each process."""

from pathlib import Path
import tomllib
from typing import Any, NamedTuple

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

PATH_VARIABLE = "ALMONDSTAIR_BOOT"


class Listen(NamedTuple):
    """Addresses to listen on, `ip:port`; empty where a role lacks one."""

    callers: str
    ready: str
    lookups: str
    peers: str


class VmMeans(NamedTuple):
    """What the VM has.

    Attributes:
      cores: processors that the process may use, 0 where it is not told.
      link_mbps: what its link carries, 0 where it is not told.
    """

    cores: float
    link_mbps: float


class StoreSettings(NamedTuple):
    """The platform's store.

    Attributes:
      address: `ip:port`.
      shortest_lease_s: shortest life of a lease in seconds.
      heartbeat_s: about how often upstreams write to it, in seconds.
    """

    address: str
    shortest_lease_s: float
    heartbeat_s: float


class Bounds(NamedTuple):
    """What the operators bind the system to; spans in seconds.

    Attributes:
      drain_s: from an upstream's leaving to the last request to it.
      stop_s: from SIGTERM to SIGKILL.
      configuration_s: from an edit's acknowledgement to it being in force.
      retry_ratio: second tries for each request of a service.
      retry_slack: second tries besides, over all entries.
      retry_window_s: window in which second tries are counted.
      cold_over: factor on the rate that a cold upstream tolerates.
      cold_slack: requests a second besides, over all entries.
      lookup_ttl_s: longest time that callers keep a look-up.
      region_change: part of a region's requests that may run in another
        region than before from one window to the next; 1 where unbounded.
    """

    drain_s: float
    stop_s: float
    configuration_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    cold_over: float
    cold_slack: float
    lookup_ttl_s: float
    region_change: float


class BootSettings(NamedTuple):
    """What a process is told at its start.

    Attributes:
      entry_name: name of this VM.
      region: its region.
      availability_zone: its availability zone.
      ip: its address.
      means: what the VM has.
      listen: what it listens on.
      peer_ports: first and last port for traffic between entries.
      seeds: addresses at which some entries serve others; perhaps stale.
      zones: region of each availability zone.
      store: the platform's store.
      bounds: what the operators bind the system to.
    """

    entry_name: str
    region: str
    availability_zone: str
    ip: str
    means: VmMeans
    listen: Listen
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    zones: dict[str, str]
    store: StoreSettings
    bounds: Bounds


def load(path: str) -> BootSettings:
    """Reads the settings file; fields that are not known are ignored.

    Raises:
      AlmondstairError: `settings_invalid`, with file, key and remedy.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        tables = tomllib.loads(text)
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise AlmondstairError(
            kind=ErrorKind.SETTINGS_INVALID,
            detail=f"{path}: {error}; check {PATH_VARIABLE} and the file",
        ) from error
    return _decode(_Reader(path=path, tables=tables))


class _Reader:
    """Reads typed values by dotted key and names the key when one is bad."""

    def __init__(self, *, path: str, tables: dict[str, Any]) -> None:
        self._path = path
        self._tables = tables

    def _find(self, key: str) -> Any:
        value: Any = self._tables
        for part in key.split("."):
            if not isinstance(value, dict) or part not in value:
                return None
            value = value[part]
        return value

    def _bad(self, key: str, wanted: str) -> AlmondstairError:
        return AlmondstairError(
            kind=ErrorKind.SETTINGS_INVALID,
            detail=f"{self._path}: {key} must be {wanted}; mend the file",
        )

    def text(self, key: str, default: str | None = None) -> str:
        value = self._find(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._bad(key, "a string")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        value = self._find(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._bad(key, "a number")
        if value < 0:
            raise self._bad(key, "0 or more")
        return float(value)

    def ports(self, key: str) -> tuple[int, int]:
        value = self._find(key)
        if not isinstance(value, list) or len(value) != 2:
            raise self._bad(key, "a list of two ports")
        first, last = value
        if not isinstance(first, int) or not isinstance(last, int):
            raise self._bad(key, "a list of two ports")
        return first, last

    def texts(self, key: str) -> tuple[str, ...]:
        value = self._find(key)
        if value is None:
            return ()
        if not isinstance(value, list):
            raise self._bad(key, "a list of strings")
        for item in value:
            if not isinstance(item, str):
                raise self._bad(key, "a list of strings")
        return tuple(value)

    def strings(self, key: str) -> dict[str, str]:
        value = self._find(key)
        if not isinstance(value, dict):
            raise self._bad(key, "a table")
        for item in value.values():
            if not isinstance(item, str):
                raise self._bad(key, "a table of strings")
        return value


def _decode(reader: _Reader) -> BootSettings:
    listen = Listen(
        callers=reader.text("network.listen.front"),
        ready=reader.text("network.listen.ready"),
        lookups=reader.text("network.listen.directory", ""),
        peers=reader.text("network.listen.control", ""),
    )
    store = StoreSettings(
        address=reader.text("platform.platform.address"),
        shortest_lease_s=reader.number("platform.platform.ttlMinS"),
        heartbeat_s=reader.number("platform.heartbeatS"),
    )
    bounds = Bounds(
        drain_s=reader.number("terms.bounds.drainS"),
        stop_s=reader.number("terms.bounds.graceS"),
        configuration_s=reader.number("terms.bounds.configApplyS"),
        retry_ratio=reader.number("terms.bounds.retryBudgetRatio"),
        retry_slack=reader.number("terms.bounds.retryBudgetSlack"),
        retry_window_s=reader.number("terms.bounds.budgetWindowS"),
        cold_over=reader.number("terms.bounds.coldOver"),
        cold_slack=reader.number("terms.bounds.coldSlack"),
        lookup_ttl_s=reader.number("terms.bounds.ttl_max_s"),
        region_change=reader.number("terms.bounds.maxShift", 1.0),
    )
    cores = reader.number("local.limits.cores", 0.0)
    means = VmMeans(
        cores=cores * reader.number("local.limits.cpuShare", 1.0),
        link_mbps=reader.number("local.limits.linkMbps", 0.0),
    )
    return BootSettings(
        entry_name=reader.text("local.nodeName"),
        region=reader.text("local.region"),
        availability_zone=reader.text("local.zone"),
        ip=reader.text("local.ip"),
        means=means,
        listen=listen,
        peer_ports=reader.ports("network.internalPorts"),
        seeds=reader.texts("network.seeds"),
        zones=reader.strings("network.zones"),
        store=store,
        bounds=bounds,
    )
