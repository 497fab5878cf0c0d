"""The settings file that the platform writes for each process."""

from pathlib import Path
import sys
import tomllib
from typing import Any, NamedTuple

from almondstair.errors import AlmondstairError
from almondstair.errors import ErrorKind

PATH_VARIABLE = "ALMONDSTAIR_BOOT"
# Where the settings state no window, as there are no organisations.
DEFAULT_QUOTA_WINDOW_S = 5.0


class Listen(NamedTuple):
    """Holds the listen addresses, `ip:port`; empty if a role has none."""

    callers: str
    ready: str
    lookups: str
    peers: str


class VmResources(NamedTuple):
    """Holds the resources of the VM.

    Attributes:
      cores: processors that the process may use, 0 if unknown.
      link_mbps: bandwidth of its link in Mbit/s, 0 if unknown.
    """

    cores: float
    link_mbps: float


class StoreSettings(NamedTuple):
    """Holds the settings of the platform's store.

    Attributes:
      address: `ip:port`.
      shortest_lease_s: shortest TTL of a lease, in seconds.
      heartbeat_s: approximate interval of the upstreams' writes, in seconds.
    """

    address: str
    shortest_lease_s: float
    heartbeat_s: float


class OperatorLimits(NamedTuple):
    """Holds the operators' limits; durations are in seconds.

    Attributes:
      drain_s: time from an upstream's draining to the last request to it.
      stop_s: time from SIGTERM to SIGKILL.
      configuration_s: time from the acknowledgement of an edit until it is
        applied.
      retry_ratio: retries per request of a service.
      retry_slack: retries allowed in addition, over all entries.
      retry_window_s: window in which retries are counted.
      cold_over: factor on the rate that a cold upstream tolerates.
      cold_slack: requests per second allowed in addition, over all entries.
      lookup_ttl_s: longest time for which callers keep a lookup.
      region_change: share of a region's requests that may change their region
        from one window to the next; 1 if unlimited.
      quota_window_s: time over which organisations' quotas are counted.
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
    quota_window_s: float


class BootSettings(NamedTuple):
    """Holds the settings of a process at its start.

    Attributes:
      entry_name: name of this VM.
      region: its region.
      availability_zone: its availability zone.
      ip: its address.
      means: resources of the VM.
      listen: listen addresses.
      peer_ports: first and last port for traffic between entries.
      seeds: addresses at which some entries serve others; may be outdated.
      zones: region of each availability zone.
      store: settings of the platform's store.
      bounds: the operators' limits.
    """

    entry_name: str
    region: str
    availability_zone: str
    ip: str
    means: VmResources
    listen: Listen
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    zones: dict[str, str]
    store: StoreSettings
    bounds: OperatorLimits


def load(path: str) -> BootSettings:
    """Reads the settings file; unknown fields are ignored.

    Raises:
      AlmondstairError: `settings_invalid`, with file, key and remedy.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        tables = tomllib.loads(text)
    except (OSError, ValueError, RecursionError) as error:
        # Invalid TOML and invalid UTF-8 are ValueErrors.
        raise AlmondstairError(
            kind=ErrorKind.SETTINGS_INVALID,
            detail=f"{path}: {error}; check {PATH_VARIABLE} and the file",
        ) from error
    return _decode(_SettingsReader(path=path, tables=tables))


class _SettingsReader:
    """Reads typed values by dotted key and names the key of invalid ones."""

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

    def _invalid(self, key: str, expected: str) -> AlmondstairError:
        return AlmondstairError(
            kind=ErrorKind.SETTINGS_INVALID,
            detail=f"{self._path}: {key} must be {expected}; correct the file",
        )

    def text(self, key: str, default: str | None = None) -> str:
        value = self._find(key)
        if value is None and default is not None:
            return default
        if not isinstance(value, str):
            raise self._invalid(key, "a string")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        value = self._find(key)
        if value is None and default is not None:
            return default
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._invalid(key, "a number")
        if not 0 <= value <= sys.float_info.max:
            raise self._invalid(key, "0 or more")
        return float(value)

    def ports(self, key: str) -> tuple[int, int]:
        value = self._find(key)
        if not isinstance(value, list) or len(value) != 2:
            raise self._invalid(key, "a list of two ports")
        first, last = value
        if not isinstance(first, int) or not isinstance(last, int):
            raise self._invalid(key, "a list of two ports")
        return first, last

    def string_list(self, key: str) -> tuple[str, ...]:
        value = self._find(key)
        if value is None:
            return ()
        if not isinstance(value, list):
            raise self._invalid(key, "a list of strings")
        for item in value:
            if not isinstance(item, str):
                raise self._invalid(key, "a list of strings")
        return tuple(value)

    def string_table(self, key: str) -> dict[str, str]:
        value = self._find(key)
        if not isinstance(value, dict):
            raise self._invalid(key, "a table")
        for item in value.values():
            if not isinstance(item, str):
                raise self._invalid(key, "a table of strings")
        return value


def _decode(reader: _SettingsReader) -> BootSettings:
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
    bounds = OperatorLimits(
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
        quota_window_s=reader.number("terms.bounds.quotaWindowS", 0.0)
        or DEFAULT_QUOTA_WINDOW_S,
    )
    cores = reader.number("local.limits.cores", 0.0)
    means = VmResources(
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
        seeds=reader.string_list("network.seeds"),
        zones=reader.string_table("network.zones"),
        store=store,
        bounds=bounds,
    )
