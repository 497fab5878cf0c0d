"""Validation of `ip:port` addresses."""

import ipaddress

REMEDY = "write an IP number and a port, such as 192.0.2.7:8080"

_MAX_PORT = 65535


def address_problem(address: str) -> str | None:
    """Returns what is wrong with an `ip:port` address, None if nothing."""
    host, separator, port_text = address.rpartition(":")
    if not separator:
        return "has no port"
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return "does not begin with an IP number"
    if not port_text.isascii() or not port_text.isdigit():
        return "has a port that is not a number"
    if not 0 < int(port_text) <= _MAX_PORT:
        return f"has a port outside 1 to {_MAX_PORT}"
    return None
