"""Validation of `ip:port` addresses."""

import ipaddress

REMEDY = "write an IP number and a port, such as 192.0.2.7:8080"

_MAX_PORT = 65535
# The longest IPv6 number in brackets, with a port.
_MAX_ADDRESS_CHARACTERS = 47
_MAX_PORT_DIGITS = 5


def address_problem(address: str) -> str | None:
    """Returns what is wrong with an `ip:port` address, None if nothing."""
    if len(address) > _MAX_ADDRESS_CHARACTERS:
        return f"has more than {_MAX_ADDRESS_CHARACTERS} characters"
    host, separator, port_text = address.rpartition(":")
    if not separator:
        return "has no port"
    if "%" in host:
        # Names an interface of the host that wrote it.
        return "has a scope id"
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return "does not begin with an IP number"
    return _port_problem(port_text)


def _port_problem(text: str) -> str | None:
    if not text.isascii() or not text.isdigit():
        return "has a port that is not a number"
    if len(text) > _MAX_PORT_DIGITS or not 0 < int(text) <= _MAX_PORT:
        return f"has a port outside 1 to {_MAX_PORT}"
    return None
