"""Header names that callers and upstreams use on the users' platform."""

from almondstair.core.upstream_state import ToldLoad

REQUEST_ID = b"x-almondstair-request-id"
DEADLINE = b"x-almondstair-deadline-ms"
KEY = b"x-almondstair-affinity-key"
# An upstream of another id answers 421 and does not run the request.
EXPECTED_UPSTREAM = b"x-almondstair-expect-instance"
# The upstream's certain word that it did not run the request.
NOT_RUN = b"x-almondstair-not-executed"
# Signature of an upstream's answer; a success without it counts for nothing.
SEAL = b"x-almondstair-response-seal"
UPSTREAM_ID = b"x-almondstair-instance-id"
LOAD = b"x-almondstair-server-load"
COLD_LEFT = b"x-almondstair-cold-ms"

_LOAD_PARTS = 3


def read_load(value: bytes) -> ToldLoad | None:
    """Reads `running,waiting,slots`; None when it is unreadable."""
    parts = value.split(b",")
    if len(parts) != _LOAD_PARTS:
        return None
    try:
        running, waiting, slots = (int(part) for part in parts)
    except ValueError:
        return None
    return ToldLoad(running=running, waiting=waiting, slots=slots)


def read_milliseconds(value: bytes) -> float | None:
    """Reads a span in milliseconds and returns seconds; None if unreadable."""
    try:
        return max(0.0, float(value) / 1000)
    except ValueError:
        return None
