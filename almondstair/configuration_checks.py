"""Consistency checks of a deployment configuration.

Types are checked earlier. These checks cover references to names, uniqueness
and contradictions within the document.
"""

from collections.abc import Sequence
import re

from almondstair import addresses
from almondstair import document_faults as faults_module
from almondstair.core import model

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]*$"
_NAME_REMEDY = "use letters, digits, '.', '_' and '-', a letter or digit first"
# First segment of the entries' own paths, such as /v1/entries.
_RESERVED_SERVICE = "v1"
# Longest body that an entry buffers completely; see almondstair.body.
MAX_BUFFERED_BODY_BYTES = 65_536
_HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def check_configuration(
    configuration: model.Configuration, *, faults: faults_module.FaultList
) -> None:
    """Adds every inconsistency of a configuration to `faults`."""
    _check_names(configuration, faults=faults)
    _check_regions(configuration, faults=faults)
    _check_services(configuration, faults=faults)
    _check_upstreams(configuration, faults=faults)
    _check_links(configuration, faults=faults)
    _check_marks(configuration, faults=faults)


def longest_deadline_ms(configuration: model.Configuration) -> int:
    """Returns the longest deadline of all request classes."""
    longest_ms = 0
    for service in configuration.services.values():
        for request_class in service.classes:
            longest_ms = max(longest_ms, request_class.deadline_ms)
    return longest_ms


def availability_zones(
    configuration: model.Configuration,
) -> tuple[str, ...]:
    """Returns the availability zones of all regions."""
    zones: list[str] = []
    for region in configuration.regions.values():
        zones.extend(region.availability_zones)
    return tuple(zones)


def _check_names(
    configuration: model.Configuration, *, faults: faults_module.FaultList
) -> None:
    named: dict[str, str] = {}
    for table in ("regions", "services", "upstreams", "profiles"):
        for name in getattr(configuration, table):
            named[f"{table}.{name}"] = name
    for region_name, region in configuration.regions.items():
        for index, zone in enumerate(region.availability_zones):
            key = f"regions.{region_name}.availability_zones[{index}]"
            named[key] = zone
    for key, name in named.items():
        if re.match(NAME_PATTERN, name):
            continue
        faults.add(
            key=key,
            problem=f"{name!r} is not a name",
            remedy=_NAME_REMEDY,
        )
    if _RESERVED_SERVICE in configuration.services:
        # Requests to it would be indistinguishable from requests to the entry.
        faults.add(
            key=f"services.{_RESERVED_SERVICE}",
            problem="the name is taken by the entries' own paths",
            remedy="give the service another name",
        )


def _check_regions(
    configuration: model.Configuration, *, faults: faults_module.FaultList
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
    configuration: model.Configuration, *, faults: faults_module.FaultList
) -> None:
    profiles = tuple(configuration.profiles)
    for name, service in configuration.services.items():
        if service.profile not in configuration.profiles:
            faults.add(
                key=f"services.{name}.profile",
                problem=f"there is no profile {service.profile!r}",
                remedy=faults_module.remedy_for_word(service.profile, profiles),
            )
        if not service.classes:
            faults.add(
                key=f"services.{name}.classes",
                problem="the service has no request class",
                remedy="add at least one [[services.NAME.classes]]",
            )
        _check_classes(service, name=name, faults=faults)


def _check_classes(
    service: model.Service, *, name: str, faults: faults_module.FaultList
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
    request_class: model.RequestClass,
    *,
    key: str,
    faults: faults_module.FaultList,
) -> None:
    if not request_class.methods:
        faults.add(
            key=f"{key}.methods",
            problem="the class covers no method",
            remedy="name at least one HTTP method",
        )
    _check_known_names(
        request_class.methods,
        _HTTP_METHODS,
        key=f"{key}.methods",
        problem="{!r} is no HTTP method that is served",
        faults=faults,
    )
    if (
        not request_class.idempotent
        and request_class.body_limit_bytes > MAX_BUFFERED_BODY_BYTES
    ):
        # A longer body is streamed. Its first part alone does not tell a retry
        # from a different request with the same key.
        faults.add(
            key=f"{key}.body_limit_bytes",
            problem=f"{request_class.body_limit_bytes} is too long for a class "
            "that runs at most once",
            remedy=f"write {MAX_BUFFERED_BODY_BYTES} or less",
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


def _check_known_names(
    words: Sequence[str],
    known: tuple[str, ...],
    *,
    key: str,
    problem: str,
    faults: faults_module.FaultList,
) -> None:
    """Adds a fault for each word that is not among the known words."""
    for index, word in enumerate(words):
        if word in known:
            continue
        faults.add(
            key=f"{key}[{index}]",
            problem=problem.format(word),
            remedy=faults_module.remedy_for_word(word, known),
        )


def _check_upstreams(
    configuration: model.Configuration, *, faults: faults_module.FaultList
) -> None:
    zones = availability_zones(configuration)
    services = tuple(configuration.services)
    seen: dict[str, str] = {}
    for name, upstream in configuration.upstreams.items():
        key = f"upstreams.{name}"
        if upstream.availability_zone not in zones:
            faults.add(
                key=f"{key}.availability_zone",
                problem="no region has the availability zone "
                f"{upstream.availability_zone!r}",
                remedy=faults_module.remedy_for_word(
                    upstream.availability_zone, zones
                ),
            )
        if not upstream.services:
            faults.add(
                key=f"{key}.services",
                problem="the upstream runs no service",
                remedy="name at least one service",
            )
        _check_known_names(
            upstream.services,
            services,
            key=f"{key}.services",
            problem="there is no service {!r}",
            faults=faults,
        )
        problem = addresses.address_problem(upstream.address)
        if problem is not None:
            faults.add(
                key=f"{key}.address",
                problem=f"{upstream.address!r} {problem}",
                remedy=addresses.REMEDY,
            )
        if upstream.address in seen:
            # Two names for one upstream would count its slots twice.
            faults.add(
                key=f"{key}.address",
                problem=f"{upstream.address} is also {seen[upstream.address]}",
                remedy="give each upstream its own address",
            )
            continue
        seen[upstream.address] = f"{key}.address"


def _check_links(
    configuration: model.Configuration, *, faults: faults_module.FaultList
) -> None:
    zones = availability_zones(configuration)
    regions = tuple(configuration.regions)
    seen: dict[tuple[str, str], str] = {}
    for index, link in enumerate(configuration.links):
        key = f"links[{index}]"
        if link.availability_zone not in zones:
            faults.add(
                key=f"{key}.availability_zone",
                problem="no region has the availability zone "
                f"{link.availability_zone!r}",
                remedy=faults_module.remedy_for_word(
                    link.availability_zone, zones
                ),
            )
        if link.region not in regions:
            faults.add(
                key=f"{key}.region",
                problem=f"there is no region {link.region!r}",
                remedy=faults_module.remedy_for_word(link.region, regions),
            )
        ends = (link.availability_zone, link.region)
        if ends in seen:
            # With two caps for one link it is unclear which one applies.
            faults.add(
                key=key,
                problem=f"the same link as {seen[ends]}",
                remedy="keep one link from an availability zone to a region",
            )
            continue
        seen[ends] = key


def _check_marks(
    configuration: model.Configuration, *, faults: faults_module.FaultList
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
