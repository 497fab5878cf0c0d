"""Settings of an entry, and reading of the deployment configuration.

The settings file describes one process: its name, availability zone and
addresses. The deployment configuration describes the whole system; it is stored
in the platform's key-value service, and the deployment file only seeds it.
"""

import enum
from pathlib import Path
from typing import Annotated, Any, NamedTuple, TypeVar
from urllib import parse as urlparse

from annotated_types import Ge
from annotated_types import Gt
from annotated_types import Le
import pydantic

from almondstair import addresses
from almondstair import configuration_checks
from almondstair import document_faults as faults_module
from almondstair import errors
from almondstair import validation
from almondstair.core import model

# Two heartbeats lost in a row must not make an entry look dead.
_MIN_HEARTBEATS_IN_SILENCE_LIMIT = 3


def _check_address(address: str) -> str:
    problem = addresses.address_problem(address)
    if problem is not None:
        raise ValueError(f"the address {problem}; {addresses.REMEDY}")
    return address


def _check_optional_address(address: str) -> str:
    if not address:
        return address
    return _check_address(address)


def _check_url(url: str) -> str:
    parts = urlparse.urlsplit(url)
    if parts.scheme not in ("http", "https"):
        raise ValueError("write a URL that begins with http:// or https://")
    problem = addresses.address_problem(parts.netloc)
    if problem is not None:
        raise ValueError(f"the URL's host {problem}; {addresses.REMEDY}")
    return url


Name = Annotated[str, pydantic.Field(pattern=configuration_checks.NAME_PATTERN)]
Address = Annotated[str, pydantic.AfterValidator(_check_address)]
OptionalAddress = Annotated[
    str, pydantic.AfterValidator(_check_optional_address)
]
Url = Annotated[str, pydantic.AfterValidator(_check_url)]
IntervalMs = Annotated[int, Gt(0), Le(60_000)]
LimitMs = Annotated[int, Gt(0), Le(600_000)]


class LogLevel(enum.StrEnum):
    """Minimum level of the log events that are written."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class TraceExporter(enum.StrEnum):
    """Destination of finished spans."""

    NONE = "none"
    CONSOLE = "console"
    FILE = "file"


class EntrySettings(NamedTuple):
    """Identity and addresses of this entry.

    Attributes:
      name: name of the VM, as in the platform's list of VMs.
      availability_zone: availability zone of the VM.
      region: region of that availability zone.
      caller_address: HTTP listener for callers.
      forward_address: HTTP listener for requests from other entries.
      peer_address: listener for control messages between entries.
      operator_address: HTTP listener for operators.
      peer_addresses: `peer_address` of some other entries, which a starting
        entry asks for the table and configuration in force.
    """

    name: Name
    availability_zone: Name
    region: Name
    caller_address: Address
    forward_address: Address
    peer_address: Address
    operator_address: Address
    peer_addresses: tuple[Address, ...] = ()


class PlatformSettings(NamedTuple):
    """Connection to the platform's services.

    Attributes:
      url: URL of the key-value service.
      vm_list_url: URL of the list of live and leaving VMs.
      timeout_ms: timeout of one call.
      claim_retention_s: how long a claimed idempotency key is kept; must
        exceed every deadline and the delay of any resend.
      refresh_interval_ms: interval between reads of the VM list.
    """

    url: Url
    vm_list_url: Url
    timeout_ms: IntervalMs = 500
    claim_retention_s: Annotated[int, Ge(60), Le(31_536_000)] = 86_400
    refresh_interval_ms: IntervalMs = 500


class TimingSettings(NamedTuple):
    """Intervals and limits of the entry.

    Attributes:
      heartbeat_interval_ms: interval between heartbeats to a peer.
      silence_limit_ms: time without a heartbeat after which a peer counts as
        silent.
      lookup_ttl_ms: how long a caller may cache a lookup.
      load_report_limit_ms: a load report older than this counts as unknown.
      probe_interval_ms: interval between probes of an upstream without
        traffic.
      drain_margin_ms: how long a leaving entry continues to serve after every
        cached lookup has expired.
      stop_limit_ms: how long a leaving entry waits for requests in flight;
        must exceed the longest deadline, or some may be aborted.
    """

    heartbeat_interval_ms: IntervalMs = 250
    silence_limit_ms: LimitMs = 1500
    lookup_ttl_ms: LimitMs = 2000
    load_report_limit_ms: LimitMs = 3000
    probe_interval_ms: IntervalMs = 1000
    drain_margin_ms: Annotated[int, Ge(0), Le(60_000)] = 500
    stop_limit_ms: LimitMs = 65_000


class LogSettings(NamedTuple):
    """Destination of log events.

    Attributes:
      level: minimum level that is written.
      file: path of the log; empty for standard error.
    """

    level: LogLevel = LogLevel.INFO
    file: str = ""


class MetricsSettings(NamedTuple):
    """Destination of metrics.

    Attributes:
      statsd_address: UDP address of a statsd server; empty for no metrics.
      prefix: first part of each metric's name.
    """

    statsd_address: OptionalAddress = ""
    prefix: Name = "almondstair"


class TracingSettings(NamedTuple):
    """Destination of trace spans.

    Attributes:
      exporter: kind of exporter.
      file: path of the spans, one JSON object per line; required by the
        exporter `file`.
      sample_fraction: fraction of the traces started here that is sampled; a
        trace that the caller samples is always kept.
    """

    exporter: TraceExporter = TraceExporter.NONE
    file: str = ""
    sample_fraction: model.Fraction = 1.0


class Settings(NamedTuple):
    """The whole settings file.

    Attributes:
      entry: identity and addresses of this entry.
      platform: connection to the platform's services.
      deployment_file: path of the configuration that seeds an empty platform,
        relative to the settings file.
      timing: intervals and limits.
      log: destination of log events.
      metrics: destination of metrics.
      tracing: destination of trace spans.
    """

    entry: EntrySettings
    platform: PlatformSettings
    deployment_file: Annotated[str, pydantic.Field(min_length=1)]
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()
    metrics: MetricsSettings = MetricsSettings()
    tracing: TracingSettings = TracingSettings()


class LoadedSettings(NamedTuple):
    """Settings and the deployment configuration that they refer to.

    Attributes:
      settings: the settings.
      configuration: the deployment configuration, checked.
      configuration_text: its TOML text, as stored in the platform.
    """

    settings: Settings
    configuration: model.Configuration
    configuration_text: str


T = TypeVar("T")


def read_settings(path: str | Path) -> Settings:
    """Reads a settings file, without the deployment file it refers to.

    Args:
      path: the settings file.

    Returns:
      The settings; `deployment_file` is resolved against the settings file.

    Raises:
      InvalidDocumentError: SETTINGS_INVALID, with every fault of the file.
    """
    settings, faults = _settings_and_faults(Path(path))
    if faults or settings is None:
        raise faults_module.InvalidDocumentError(
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
        raise faults_module.InvalidDocumentError(
            kind=errors.ErrorKind.CONFIGURATION_INVALID, faults=faults
        )
    return configuration


def load(path: str | Path) -> LoadedSettings:
    """Reads a settings file and the deployment file it refers to.

    Args:
      path: the settings file.

    Returns:
      The settings and the configuration, also checked against each other.

    Raises:
      InvalidDocumentError: SETTINGS_INVALID, with every fault of both files.
    """
    settings, faults = _settings_and_faults(Path(path))
    configuration: model.Configuration | None = None
    text: str | None = None
    if settings is not None:
        deployment = faults_module.FaultList(file=settings.deployment_file)
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
        faults += check_consistency(
            settings=settings, configuration=configuration, source=str(path)
        )
    if faults or settings is None or configuration is None or text is None:
        raise faults_module.InvalidDocumentError(
            kind=errors.ErrorKind.SETTINGS_INVALID, faults=faults
        )
    return LoadedSettings(
        settings=settings,
        configuration=configuration,
        configuration_text=text,
    )


def _settings_and_faults(
    path: Path,
) -> tuple[Settings | None, tuple[faults_module.DocumentFault, ...]]:
    faults = faults_module.FaultList(file=str(path))
    text = validation.read_text(path, faults=faults)
    if text is None:
        return None, faults.faults()
    settings = _convert(text, to=Settings, faults=faults)
    if settings is None:
        return None, faults.faults()
    cross_checks = faults_module.FaultList(file=str(path))
    _check_entry_addresses(settings.entry, faults=cross_checks)
    _check_timing(settings.timing, faults=cross_checks)
    _check_tracing(settings.tracing, faults=cross_checks)
    faults.add_unless_covered(cross_checks)
    if faults.has_replaced("deployment_file"):
        return None, faults.faults()
    deployment_path = path.parent / settings.deployment_file
    settings = settings._replace(deployment_file=str(deployment_path))
    return settings, faults.faults()


def _configuration_and_faults(
    text: str, *, source: str
) -> tuple[model.Configuration | None, tuple[faults_module.DocumentFault, ...]]:
    faults = faults_module.FaultList(file=source)
    configuration = _convert(text, to=model.Configuration, faults=faults)
    if configuration is None or faults.has_replaced("regions"):
        # Without regions, nearly every other name would be reported as unknown.
        return None, faults.faults()
    cross_checks = faults_module.FaultList(file=source)
    configuration_checks.check_configuration(configuration, faults=cross_checks)
    faults.add_unless_covered(cross_checks)
    return configuration, faults.faults()


def _convert(
    text: str, *, to: type[T], faults: faults_module.FaultList
) -> T | None:
    document: dict[str, Any] | None = validation.parse_toml(text, faults=faults)
    if document is None:
        return None
    return validation.convert(document, to=to, faults=faults)


def _check_entry_addresses(
    entry: EntrySettings, *, faults: faults_module.FaultList
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
    timing: TimingSettings, *, faults: faults_module.FaultList
) -> None:
    min_ms = timing.heartbeat_interval_ms * _MIN_HEARTBEATS_IN_SILENCE_LIMIT
    if timing.silence_limit_ms < min_ms:
        faults.add(
            key="timing.silence_limit_ms",
            problem=f"{timing.silence_limit_ms} is too short for heartbeats",
            remedy=f"write at least {min_ms}, "
            f"{_MIN_HEARTBEATS_IN_SILENCE_LIMIT} heartbeat intervals",
        )


def _check_tracing(
    tracing: TracingSettings, *, faults: faults_module.FaultList
) -> None:
    if tracing.exporter is TraceExporter.FILE and not tracing.file:
        faults.add(
            key="tracing.file",
            problem="missing for the exporter 'file'",
            remedy="add the path that spans are written to",
        )


def check_consistency(
    *, settings: Settings, configuration: model.Configuration, source: str
) -> tuple[faults_module.DocumentFault, ...]:
    """Returns the inconsistencies of the settings with the configuration."""
    faults = faults_module.FaultList(file=source)
    zone = settings.entry.availability_zone
    region = configuration.region_of(availability_zone=zone)
    if region is None:
        faults.add(
            key="entry.availability_zone",
            problem=f"no region has the availability zone {zone!r}",
            remedy=faults_module.remedy_for_word(
                zone, configuration_checks.availability_zones(configuration)
            ),
        )
    if region is not None and region != settings.entry.region:
        faults.add(
            key="entry.region",
            problem=f"{zone!r} is not in the region {settings.entry.region!r}",
            remedy=f"write {region}",
        )
    longest_ms = configuration_checks.longest_deadline_ms(configuration)
    if settings.platform.claim_retention_s * 1000 <= longest_ms:
        # If a claim expired while its request may still run, a resend with the
        # same key could run a second time.
        faults.add(
            key="platform.claim_retention_s",
            problem=f"not longer than the longest deadline, {longest_ms} ms",
            remedy="write a time longer than any deadline and any resend",
        )
    if settings.timing.stop_limit_ms <= longest_ms:
        # A shorter limit would abort requests that are still running.
        faults.add(
            key="timing.stop_limit_ms",
            problem=f"not longer than the longest deadline, {longest_ms} ms",
            remedy=f"write more than {longest_ms}",
        )
    return faults.faults()
