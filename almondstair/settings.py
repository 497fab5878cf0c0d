"""Reads and checks the settings of an entry and the deployment configuration.

The settings file says what one process is: its name, availability zone and
addresses. The deployment configuration says what the whole system steers; it is
kept in the platform's service, and the file only seeds it.
"""

import enum
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar
from urllib import parse as urlparse

from annotated_types import Ge
from annotated_types import Gt
from annotated_types import Le
import pydantic

from almondstair import errors
from almondstair import validation
from almondstair.core import model

_HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
_ADDRESS_REMEDY = "write an IP number and a port, such as 192.0.2.7:8080"
# A heartbeat may be lost; two lost in a row must not look like a dead entry.
_HEARTBEATS_IN_SILENCE_LIMIT = 3


def _check_address(address: str) -> str:
    problem = validation.address_problem(address)
    if problem is not None:
        raise ValueError(f"the address {problem}; {_ADDRESS_REMEDY}")
    return address


def _check_optional_address(address: str) -> str:
    if not address:
        return address
    return _check_address(address)


def _check_url(url: str) -> str:
    parts = urlparse.urlsplit(url)
    if parts.scheme not in ("http", "https"):
        raise ValueError("write a URL that begins with http:// or https://")
    problem = validation.address_problem(parts.netloc)
    if problem is not None:
        raise ValueError(f"the URL's host {problem}; {_ADDRESS_REMEDY}")
    return url


Name = Annotated[str, pydantic.Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]
OptionalAddress = Annotated[
    str, pydantic.AfterValidator(_check_optional_address)
]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]
IntervalMs = Annotated[int, Gt(0), Le(60_000)]
LimitMs = Annotated[int, Gt(0), Le(600_000)]


class LogLevel(enum.StrEnum):
    """Least level of a log event that is written."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class TraceExporter(enum.StrEnum):
    """Where finished spans go."""

    NONE = "none"
    CONSOLE = "console"
    FILE = "file"


class EntrySettings(NamedTuple):
    """Who this entry is.

    Attributes:
      name: name of the VM, as in the platform's list of VMs.
      availability_zone: where the VM runs.
      region: the region of that availability zone.
      caller_address: HTTP listener for callers.
      forward_address: HTTP listener for requests from other entries.
      peer_address: listener for control messages between entries.
      operator_address: HTTP listener for operators.
    """

    name: Name
    availability_zone: Name
    region: Name
    caller_address: Address
    forward_address: Address
    peer_address: Address
    operator_address: Address


class PlatformSettings(NamedTuple):
    """How the platform's services are reached.

    Attributes:
      url: the key-value service.
      vm_list_url: the list of live and leaving VMs.
      timeout_ms: longest wait for one call.
      claim_retention_s: how long a claimed idempotency key is kept; longer
        than any deadline and any resend.
      refresh_interval_ms: pause between two looks at the list of VMs.
    """

    url: Url
    vm_list_url: Url
    timeout_ms: IntervalMs = 500
    claim_retention_s: Annotated[int, Ge(60), Le(31_536_000)] = 86_400
    refresh_interval_ms: IntervalMs = 500


class TimingSettings(NamedTuple):
    """Intervals and limits of the entry.

    Attributes:
      heartbeat_interval_ms: pause between two heartbeats to a peer.
      silence_limit_ms: a peer not heard for this long counts as silent.
      lookup_ttl_ms: how long a caller may keep the answer to a look-up.
      load_report_limit_ms: a load report older than this counts as unknown.
      probe_interval_ms: pause between two probes of an upstream without
        traffic.
      drain_margin_ms: how long a leaving entry serves on after every cached
        look-up has lapsed.
    """

    heartbeat_interval_ms: IntervalMs = 250
    silence_limit_ms: LimitMs = 1500
    lookup_ttl_ms: LimitMs = 2000
    load_report_limit_ms: LimitMs = 3000
    probe_interval_ms: IntervalMs = 1000
    drain_margin_ms: Annotated[int, Ge(0), Le(60_000)] = 500


class LogSettings(NamedTuple):
    """Where log events go.

    Attributes:
      level: least level that is written.
      file: path of the log; empty for the standard error stream.
    """

    level: LogLevel = LogLevel.INFO
    file: str = ""


class MetricsSettings(NamedTuple):
    """Where metrics go.

    Attributes:
      statsd_address: UDP address of a statsd server; empty for no metrics.
      prefix: first part of each metric's name.
    """

    statsd_address: OptionalAddress = ""
    prefix: Name = "almondstair"


class TracingSettings(NamedTuple):
    """Where trace spans go.

    Attributes:
      exporter: kind of exporter.
      file: path of the spans, one JSON object a line; needed by the exporter
        `file`.
    """

    exporter: TraceExporter = TraceExporter.NONE
    file: str = ""


class Settings(NamedTuple):
    """The whole settings file.

    Attributes:
      entry: who this entry is.
      platform: how the platform's services are reached.
      deployment_file: configuration that seeds an empty platform, relative to
        the settings file.
      timing: intervals and limits.
      log: where log events go.
      metrics: where metrics go.
      tracing: where trace spans go.
    """

    entry: EntrySettings
    platform: PlatformSettings
    deployment_file: Annotated[str, pydantic.Field(min_length=1)]
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    tracing: TracingSettings = TracingSettings()


class Loaded(NamedTuple):
    """Settings and the deployment configuration that they name.

    Attributes:
      settings: the settings.
      configuration: the deployment configuration, checked.
      configuration_text: its TOML text, as the platform's service keeps it.
    """

    settings: Settings
    configuration: model.Configuration
    configuration_text: str


T = TypeVar("T")


def read_settings(path: str | Path) -> Settings:
    """Reads a settings file, without the deployment file that it names.

    Args:
      path: the settings file.

    Returns:
      The settings; `deployment_file` is resolved against the settings file.

    Raises:
      InvalidDocumentError: SETTINGS_INVALID, with every fault of the file.
    """
    settings, faults = _settings_and_faults(Path(path))
    if faults or settings is None:
        raise validation.InvalidDocumentError(
            kind=errors.ErrorKind.SETTINGS_INVALID, faults=faults
        )
    return settings


def read_configuration(text: str, source: str) -> model.Configuration:
    """Reads a deployment configuration.

    Args:
      text: the TOML document.
      source: name of the document in faults, such as its path.

    Returns:
      The configuration.

    Raises:
      InvalidDocumentError: CONFIGURATION_INVALID, with every fault.
    """
    configuration, faults = _configuration_and_faults(text, source=source)
    if faults or configuration is None:
        raise validation.InvalidDocumentError(
            kind=errors.ErrorKind.CONFIGURATION_INVALID, faults=faults
        )
    return configuration


def load(path: str | Path) -> Loaded:
    """Reads a settings file and the deployment file that it names.

    Args:
      path: the settings file.

    Returns:
      Both, checked, also against each other.

    Raises:
      InvalidDocumentError: SETTINGS_INVALID, with every fault of both files.
    """
    settings, faults = _settings_and_faults(Path(path))
    configuration: model.Configuration | None = None
    text: str | None = None
    if settings is not None:
        deployment = validation.FaultList(file=settings.deployment_file)
        text = validation.read_text(
            Path(settings.deployment_file), faults=deployment
        )
        faults += deployment.faults()
    if settings is not None and text is not None:
        configuration, found = _configuration_and_faults(
            text, source=settings.deployment_file
        )
        faults += found
    if settings is not None and configuration is not None:
        faults += check_together(
            settings=settings, configuration=configuration, source=str(path)
        )
    if faults or settings is None or configuration is None or text is None:
        raise validation.InvalidDocumentError(
            kind=errors.ErrorKind.SETTINGS_INVALID, faults=faults
        )
    return Loaded(
        settings=settings,
        configuration=configuration,
        configuration_text=text,
    )


def check_together(
    *, settings: Settings, configuration: model.Configuration, source: str
) -> tuple[validation.Fault, ...]:
    """Returns what in the settings does not fit the configuration."""
    faults = validation.FaultList(file=source)
    zone = settings.entry.availability_zone
    region = configuration.region_of(availability_zone=zone)
    if region is None:
        faults.add(
            key="entry.availability_zone",
            problem=f"no region has the availability zone {zone!r}",
            remedy=validation.known_words(zone, _zones(configuration)),
        )
    if region is not None and region != settings.entry.region:
        faults.add(
            key="entry.region",
            problem=f"{zone!r} is not in the region {settings.entry.region!r}",
            remedy=f"write {region}",
        )
    longest_ms = longest_deadline_ms(configuration)
    if settings.platform.claim_retention_s * 1000 <= longest_ms:
        # A claim that is forgotten while its request may still run would let
        # a resend of the same key run a second time.
        faults.add(
            key="platform.claim_retention_s",
            problem=f"not longer than the longest deadline, {longest_ms} ms",
            remedy="write a time longer than any deadline and any resend",
        )
    return faults.faults()


def longest_deadline_ms(configuration: model.Configuration) -> int:
    """Returns the longest deadline of all request classes."""
    longest_ms = 0
    for service in configuration.services.values():
        for request_class in service.classes:
            longest_ms = max(longest_ms, request_class.deadline_ms)
    return longest_ms


def _settings_and_faults(
    path: Path,
) -> tuple[Settings | None, tuple[validation.Fault, ...]]:
    faults = validation.FaultList(file=str(path))
    text = validation.read_text(path, faults=faults)
    if text is None:
        return None, faults.faults()
    settings = _convert(text, to=Settings, faults=faults)
    if settings is None:
        return None, faults.faults()
    _check_entry_addresses(settings.entry, faults=faults)
    _check_timing(settings.timing, faults=faults)
    _check_tracing(settings.tracing, faults=faults)
    deployment_path = path.parent / settings.deployment_file
    settings = settings._replace(deployment_file=str(deployment_path))
    return settings, faults.faults()


def _configuration_and_faults(
    text: str, *, source: str
) -> tuple[model.Configuration | None, tuple[validation.Fault, ...]]:
    faults = validation.FaultList(file=source)
    configuration = _convert(text, to=model.Configuration, faults=faults)
    if configuration is None:
        return None, faults.faults()
    _check_regions(configuration, faults=faults)
    _check_services(configuration, faults=faults)
    _check_upstreams(configuration, faults=faults)
    _check_links(configuration, faults=faults)
    _check_marks(configuration, faults=faults)
    return configuration, faults.faults()


def _convert(
    text: str, *, to: type[T], faults: validation.FaultList
) -> T | None:
    document: dict[str, Any] | None = validation.parse_toml(text, faults=faults)
    if document is None:
        return None
    return validation.convert(document, to=to, faults=faults)


def _check_entry_addresses(
    entry: EntrySettings, *, faults: validation.FaultList
) -> None:
    seen: dict[str, str] = {}
    for field in entry._fields:
        if not field.endswith("_address"):
            continue
        address = getattr(entry, field)
        if address in seen:
            faults.add(
                key=f"entry.{field}",
                problem=f"{address} is also {seen[address]}",
                remedy="give each listener an address of its own",
            )
            continue
        seen[address] = f"entry.{field}"


def _check_timing(
    timing: TimingSettings, *, faults: validation.FaultList
) -> None:
    least_ms = timing.heartbeat_interval_ms * _HEARTBEATS_IN_SILENCE_LIMIT
    if timing.silence_limit_ms < least_ms:
        faults.add(
            key="timing.silence_limit_ms",
            problem=f"{timing.silence_limit_ms} is too short for heartbeats",
            remedy=f"write at least {least_ms}, "
            f"{_HEARTBEATS_IN_SILENCE_LIMIT} heartbeat intervals",
        )


def _check_tracing(
    tracing: TracingSettings, *, faults: validation.FaultList
) -> None:
    if tracing.exporter is TraceExporter.FILE and not tracing.file:
        faults.add(
            key="tracing.file",
            problem="missing for the exporter 'file'",
            remedy="add the path that spans are written to",
        )


def _zones(configuration: model.Configuration) -> tuple[str, ...]:
    zones: list[str] = []
    for region in configuration.regions.values():
        zones.extend(region.availability_zones)
    return tuple(zones)


def _check_regions(
    configuration: model.Configuration, *, faults: validation.FaultList
) -> None:
    seen: dict[str, str] = {}
    for name, region in configuration.regions.items():
        key = f"regions.{name}.availability_zones"
        if not region.availability_zones:
            faults.add(
                key=key,
                problem="the region has no availability zone",
                remedy="name at least one",
            )
        for index, zone in enumerate(region.availability_zones):
            if zone in seen:
                faults.add(
                    key=f"{key}[{index}]",
                    problem=f"{zone!r} is already in {seen[zone]}",
                    remedy="put each availability zone in one region, once",
                )
                continue
            seen[zone] = f"regions.{name}"


def _check_services(
    configuration: model.Configuration, *, faults: validation.FaultList
) -> None:
    profiles = tuple(configuration.profiles)
    for name, service in configuration.services.items():
        if service.profile not in configuration.profiles:
            faults.add(
                key=f"services.{name}.profile",
                problem=f"there is no profile {service.profile!r}",
                remedy=validation.known_words(service.profile, profiles),
            )
        if not service.classes:
            faults.add(
                key=f"services.{name}.classes",
                problem="the service has no request class",
                remedy="add at least one [[services.NAME.classes]]",
            )
        _check_classes(service, name=name, faults=faults)


def _check_classes(
    service: model.Service, *, name: str, faults: validation.FaultList
) -> None:
    seen: set[str] = set()
    for index, request_class in enumerate(service.classes):
        key = f"services.{name}.classes[{index}]"
        if request_class.name in seen:
            faults.add(
                key=f"{key}.name",
                problem=f"{request_class.name!r} names an earlier class too",
                remedy="give each class of a service its own name",
            )
        seen.add(request_class.name)
        _check_class(request_class, key=key, faults=faults)


def _check_class(
    request_class: model.RequestClass, *, key: str, faults: validation.FaultList
) -> None:
    if not request_class.methods:
        faults.add(
            key=f"{key}.methods",
            problem="the class covers no method",
            remedy="name at least one HTTP method",
        )
    for index, method in enumerate(request_class.methods):
        if method in _HTTP_METHODS:
            continue
        faults.add(
            key=f"{key}.methods[{index}]",
            problem=f"{method!r} is no HTTP method that is served",
            remedy=validation.known_words(method.upper(), _HTTP_METHODS),
        )
    if not request_class.path.startswith("/"):
        faults.add(
            key=f"{key}.path",
            problem=f"{request_class.path!r} does not begin with /",
            remedy="write the path below the service, such as /orders/*",
        )
    if "*" in request_class.path[:-1]:
        faults.add(
            key=f"{key}.path",
            problem=f"{request_class.path!r} has a * before its end",
            remedy="use * only as the last character",
        )


def _check_upstreams(
    configuration: model.Configuration, *, faults: validation.FaultList
) -> None:
    zones = _zones(configuration)
    services = tuple(configuration.services)
    seen: dict[str, str] = {}
    for name, upstream in configuration.upstreams.items():
        key = f"upstreams.{name}"
        if upstream.availability_zone not in zones:
            faults.add(
                key=f"{key}.availability_zone",
                problem="no region has the availability zone "
                f"{upstream.availability_zone!r}",
                remedy=validation.known_words(
                    upstream.availability_zone, zones
                ),
            )
        if not upstream.services:
            faults.add(
                key=f"{key}.services",
                problem="the upstream runs no service",
                remedy="name at least one service",
            )
        for index, service in enumerate(upstream.services):
            if service in services:
                continue
            faults.add(
                key=f"{key}.services[{index}]",
                problem=f"there is no service {service!r}",
                remedy=validation.known_words(service, services),
            )
        problem = validation.address_problem(upstream.address)
        if problem is not None:
            faults.add(
                key=f"{key}.address",
                problem=f"{upstream.address!r} {problem}",
                remedy=_ADDRESS_REMEDY,
            )
        if upstream.address in seen:
            # Two names for one instance would count its slots twice.
            faults.add(
                key=f"{key}.address",
                problem=f"{upstream.address} is also {seen[upstream.address]}",
                remedy="give each upstream its own address",
            )
            continue
        seen[upstream.address] = f"{key}.address"


def _check_links(
    configuration: model.Configuration, *, faults: validation.FaultList
) -> None:
    zones = _zones(configuration)
    regions = tuple(configuration.regions)
    seen: dict[tuple[str, str], str] = {}
    for index, link in enumerate(configuration.links):
        key = f"links[{index}]"
        if link.availability_zone not in zones:
            faults.add(
                key=f"{key}.availability_zone",
                problem="no region has the availability zone "
                f"{link.availability_zone!r}",
                remedy=validation.known_words(link.availability_zone, zones),
            )
        if link.region not in regions:
            faults.add(
                key=f"{key}.region",
                problem=f"there is no region {link.region!r}",
                remedy=validation.known_words(link.region, regions),
            )
        ends = (link.availability_zone, link.region)
        if ends in seen:
            # Two caps for one link would leave open which one holds.
            faults.add(
                key=key,
                problem=f"the same link as {seen[ends]}",
                remedy="keep one link from an availability zone to a region",
            )
            continue
        seen[ends] = key


def _check_marks(
    configuration: model.Configuration, *, faults: validation.FaultList
) -> None:
    seen: set[str] = set()
    for index, name in enumerate(configuration.marks.leaving):
        if name in seen:
            faults.add(
                key=f"marks.leaving[{index}]",
                problem=f"{name!r} is already marked",
                remedy="name each VM once",
            )
        seen.add(name)
