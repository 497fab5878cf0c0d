"""Edits of the deployment configuration's TOML text that keep its comments.

Each edit takes the text and returns the new text. Types are not checked here;
`almondstair.settings` does that for the whole document.
"""

import tomllib
from typing import Any

import tomlkit

from almondstair import document_faults
from almondstair import errors

Scalar = str | int | float | bool


def set_profile_field(text: str, profile: str, key: str, value: Scalar) -> str:
    """Sets one field of a steering profile.

    Setting `policy` creates the profile if it does not exist.

    Args:
      text: the configuration.
      profile: name of the profile.
      key: the field, with its unit suffix.
      value: the new value.

    Returns:
      The new configuration.

    Raises:
      AlmondstairError: NOT_FOUND if there is no such profile.
    """
    expected = _parse(text)
    profiles = expected.setdefault("profiles", {})
    if profile not in profiles and key != "policy":
        remedy = document_faults.remedy_for_word(profile, tuple(profiles))
        raise _not_found(f"there is no profile {profile!r}; {remedy}")
    if profile not in profiles:
        profiles[profile] = {key: value}
        # Inserted after the other profiles, the table would separate the next
        # table from the comment above it; so it is appended at the end.
        added = tomlkit.dumps({"profiles": {profile: {key: value}}})
        return _verify_edit(f"{text.rstrip()}\n\n{added}", expected=expected)
    profiles[profile][key] = value

    document = tomlkit.parse(text)
    document["profiles"][profile][key] = value
    return _verify_edit(tomlkit.dumps(document), expected=expected)


def assign_profile(text: str, service: str, profile: str) -> str:
    """Assigns a steering profile to a service.

    Args:
      text: the configuration.
      service: name of the service.
      profile: name of the profile.

    Returns:
      The new configuration.

    Raises:
      AlmondstairError: NOT_FOUND if there is no such service or profile.
    """
    expected = _parse(text)
    services = expected.get("services", {})
    profiles = expected.get("profiles", {})
    if service not in services:
        remedy = document_faults.remedy_for_word(service, tuple(services))
        raise _not_found(f"there is no service {service!r}; {remedy}")
    if profile not in profiles:
        remedy = document_faults.remedy_for_word(profile, tuple(profiles))
        raise _not_found(f"there is no profile {profile!r}; {remedy}")
    services[service]["profile"] = profile

    document = tomlkit.parse(text)
    document["services"][service]["profile"] = profile
    return _verify_edit(tomlkit.dumps(document), expected=expected)


def set_leaving(text: str, name: str, leaving: bool) -> str:
    """Marks a VM as leaving, or removes the mark.

    Args:
      text: the configuration.
      name: name of the upstream or entry.
      leaving: whether to set the mark or remove it.

    Returns:
      The new configuration; the same text if nothing changes.
    """
    expected = _parse(text)
    names = expected.setdefault("marks", {}).setdefault("leaving", [])
    if (name in names) == leaving:
        return text
    if leaving:
        names.append(name)
    else:
        names.remove(name)

    document = tomlkit.parse(text)
    marks: Any = document.setdefault("marks", tomlkit.table())
    marks.setdefault("leaving", [])
    if leaving:
        marks["leaving"].append(name)
    else:
        marks["leaving"].remove(name)
    return _verify_edit(tomlkit.dumps(document), expected=expected)


def describe_changes(old_text: str, new_text: str) -> list[str]:
    """Returns the dotted keys that differ between two configurations.

    Links and request classes are identified by name rather than index, such as
    `links[bkk-1>cnx].cap_bytes_per_s`, so that inserting a link does not make
    all later ones differ.

    Args:
      old_text: the earlier configuration.
      new_text: the later configuration.

    Returns:
      The changed keys, sorted. Comments and spacing do not count.

    Raises:
      AlmondstairError: CONFIGURATION_INVALID if either is not TOML.
    """
    changed: list[str] = []
    _compare(_parse(old_text), _parse(new_text), key="", changed=changed)
    return sorted(changed)


def _parse(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.AlmondstairError(
            kind=errors.ErrorKind.CONFIGURATION_INVALID,
            detail=f"this is not TOML: {error}; mend the line that is named",
        ) from error


def _not_found(detail: str) -> errors.AlmondstairError:
    return errors.AlmondstairError(
        kind=errors.ErrorKind.NOT_FOUND, detail=detail
    )


def _verify_edit(text: str, *, expected: dict[str, Any]) -> str:
    """Returns the edited text if it parses to the expected document.

    A document whose tables are out of order can be serialized wrongly, and the
    operator would notice only by a setting that moved elsewhere. Such an edit
    is refused instead.
    """
    try:
        if tomllib.loads(text) == expected:
            return text
    except tomllib.TOMLDecodeError:
        pass
    raise errors.AlmondstairError(
        kind=errors.ErrorKind.CONFIGURATION_INVALID,
        detail="the edit cannot be made in this document without moving other "
        "parts; put the tables of one kind together and edit the file",
    )


def _compare(old: Any, new: Any, *, key: str, changed: list[str]) -> None:
    if isinstance(old, dict) and isinstance(new, dict):
        _compare_tables(old, new, key=key, changed=changed)
        return
    old_named = _tables_by_name(old)
    new_named = _tables_by_name(new)
    if old_named is None or new_named is None:
        if old != new:
            changed.append(key)
        return
    for name in _merge_names(old_named, new_named):
        _compare_member(
            old_named.get(name),
            new_named.get(name),
            key=f"{key}[{name}]",
            changed=changed,
        )
    if set(old_named) == set(new_named) and list(old_named) != list(new_named):
        # The order of request classes decides which one a request matches.
        changed.append(key)


def _compare_tables(
    old: dict[str, Any], new: dict[str, Any], *, key: str, changed: list[str]
) -> None:
    for name in _merge_names(old, new):
        _compare_member(
            old.get(name),
            new.get(name),
            key=f"{key}.{name}" if key else name,
            changed=changed,
        )


def _compare_member(
    old: Any, new: Any, *, key: str, changed: list[str]
) -> None:
    if old is None or new is None:
        changed.append(key)
        return
    _compare(old, new, key=key, changed=changed)


def _merge_names(old: dict[str, Any], new: dict[str, Any]) -> list[str]:
    names = list(old)
    for name in new:
        if name in old:
            continue
        names.append(name)
    return names


def _tables_by_name(value: Any) -> dict[str, Any] | None:
    """Returns an array's tables by name, None without unique names."""
    if not isinstance(value, list):
        return None
    named: dict[str, Any] = {}
    for item in value:
        name = _table_name(item)
        if name is None or name in named:
            return None
        named[name] = item
    return named


def _table_name(item: Any) -> str | None:
    if not isinstance(item, dict):
        return None
    if "name" in item:
        return str(item["name"])
    if "availability_zone" in item and "region" in item:
        return f"{item['availability_zone']}>{item['region']}"
    return None
