"""Names and formats of the platform's headers."""

from almondstair.decoding import parse_finite

REQUEST_ID = b"x-almondstair-request-id"
DEADLINE = b"x-almondstair-deadline-ms"
AFFINITY_KEY = b"x-almondstair-affinity-key"
AUTHORIZATION = b"authorization"
# Name of the organisation that sends a request.
ORGANISATION = b"x-almondstair-tenant"
# An upstream with another id responds with 421 and does not run the request.
EXPECTED_UPSTREAM = b"x-almondstair-expect-instance"
# States for certain that the upstream did not run the request.
NOT_RUN = b"x-almondstair-not-executed"
# Signature of an upstream's response; a successful response without it is
# invalid.
RESPONSE_SEAL = b"x-almondstair-response-seal"
UPSTREAM_ID = b"x-almondstair-instance-id"
LOAD = b"x-almondstair-server-load"
COLD_LEFT = b"x-almondstair-cold-ms"
# Requests per second that an upstream accepts from all entries together.
RATE_LIMIT = b"server-limit"
# An upstream that stops soon says so in each of its responses.
LEAVING = b"server-leaving"
# With status 503: how long an upstream wants no requests from this entry.
RETRY_AFTER = b"retry-after"
# What an upstream says of itself.
STATEMENTS = frozenset(
    (UPSTREAM_ID, LOAD, COLD_LEFT, RATE_LIMIT, LEAVING, RETRY_AFTER)
)

_KEY_SCHEME = b"bearer"


def parse_milliseconds(value: bytes) -> float | None:
    """Parses a time in milliseconds into seconds; None if it is invalid."""
    milliseconds = parse_finite(value)
    return None if milliseconds is None else max(0.0, milliseconds / 1000)


def parse_key(value: bytes) -> bytes | None:
    """Parses the key of an `Authorization` header; None if it has none."""
    scheme, _, key = value.partition(b" ")
    if scheme.lower() != _KEY_SCHEME:
        return None
    return key.strip(b" ") or None
