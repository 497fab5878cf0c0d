"""Structured logs: numbered events as JSON lines.

`Event` lists every event; docs/LOG-EVENTS.md documents them for operators, and
a test compares the two. Warnings tell the operator what to change.
"""

import enum
import logging
import sys
from typing import NamedTuple

from pythonjsonlogger.json import JsonFormatter

from almondstair.log_output import BoundedHandler

LOGGER_NAME = "almondstair"
logger = logging.getLogger(LOGGER_NAME)


class EventRule(NamedTuple):
    """Holds the number, level and text of a log event."""

    number: int
    level: int
    text: str


class Event(enum.Enum):
    """Lists every log event; the member names are written to the log."""

    STARTED = EventRule(100, logging.INFO, "entry started")
    STOPPING = EventRule(101, logging.INFO, "entry is leaving")
    STOPPED = EventRule(102, logging.INFO, "entry stopped")
    STOP_CUT = EventRule(
        103,
        logging.WARNING,
        "requests were still in flight at the end of a stop; raise "
        "timing.stop_limit_ms",
    )
    FATAL = EventRule(104, logging.CRITICAL, "entry cannot continue")
    LINES_LEFT_OUT = EventRule(
        105,
        logging.WARNING,
        "log lines were dropped: too many of one event, or a slow reader",
    )
    REQUEST_REFUSED = EventRule(200, logging.DEBUG, "request refused")
    REQUEST_FAILED = EventRule(201, logging.WARNING, "request failed")
    REQUEST_BROKEN = EventRule(202, logging.ERROR, "unexpected internal error")
    UPSTREAM_LOST = EventRule(
        203,
        logging.WARNING,
        "upstream closed the connection before the response was complete",
    )
    UPSTREAM_UNREACHABLE = EventRule(
        204,
        logging.WARNING,
        "upstream cannot be reached; check its address and whether it runs",
    )
    REQUEST_QUARANTINED = EventRule(
        205, logging.WARNING, "request is quarantined: it crashed upstreams"
    )
    CLAIM_NOT_RECORDED = EventRule(
        206,
        logging.WARNING,
        "the outcome of a claim is not yet recorded; the platform's service "
        "does not answer",
    )
    RELEASE_LATE = EventRule(
        207,
        logging.WARNING,
        "a request that was not run was refused before its key was released",
    )
    PLATFORM_DOWN = EventRule(
        300,
        logging.WARNING,
        "the platform's service does not answer; check platform.url",
    )
    PLATFORM_BACK = EventRule(
        301, logging.INFO, "the platform's service answers again"
    )
    VM_LIST_STALE = EventRule(
        302,
        logging.WARNING,
        "the VM list cannot be read; the last one stays in use",
    )
    ENTRY_TABLE_CHANGED = EventRule(310, logging.INFO, "entry table changed")
    ENTRY_SILENT = EventRule(
        311,
        logging.WARNING,
        "an entry of the table is silent; check its VM and the network",
    )
    ENTRY_HEARD = EventRule(
        312, logging.INFO, "heartbeats of a silent entry arrive again"
    )
    PEER_MESSAGE_BAD = EventRule(
        313, logging.WARNING, "a message from a peer could not be read"
    )
    ENTRY_TABLE_OLDER = EventRule(
        314,
        logging.ERROR,
        "the platform's service holds an older entry table than the one in "
        "force; nothing is changed until every entry sends heartbeats",
    )
    WORD_NOT_SENT = EventRule(
        315,
        logging.WARNING,
        "a report of a crashing request was not sent; heartbeats repeat it",
    )
    CONFIGURATION_IN_FORCE = EventRule(
        320, logging.INFO, "configuration is in force"
    )
    CONFIGURATION_OLDER = EventRule(
        321,
        logging.ERROR,
        "the platform's service holds an older configuration than the one in "
        "force; it is kept; restore the newer one with almondstairctl config "
        "edit",
    )
    CONFIGURATION_BAD = EventRule(
        322,
        logging.ERROR,
        "a stored configuration is not valid and is not applied",
    )
    EDIT = EventRule(323, logging.INFO, "an operator edited the configuration")
    ROUND_FAILED = EventRule(
        324,
        logging.WARNING,
        "a maintenance round failed; the next one retries",
    )
    UPSTREAM_LEAVING = EventRule(330, logging.INFO, "upstream is leaving")
    UPSTREAM_RETURNED = EventRule(331, logging.INFO, "upstream is back")
    HOME_CHANGED = EventRule(
        332, logging.INFO, "the home of an upstream changed"
    )
    # The gateway on the users' platform.
    GATEWAY_STARTED = EventRule(400, logging.INFO, "gateway started")
    GATEWAY_LEAVING = EventRule(401, logging.INFO, "gateway is leaving")
    GATEWAY_STOPPED = EventRule(402, logging.INFO, "gateway stopped")
    GATEWAY_RELOADED = EventRule(403, logging.INFO, "settings were read again")
    SETTINGS_BAD = EventRule(
        404,
        logging.ERROR,
        "the settings file cannot be read; the settings stay as they were",
    )
    REQUEST_ANSWERED = EventRule(410, logging.INFO, "request answered")
    TRY_FAILED = EventRule(
        411,
        logging.WARNING,
        "an upstream returned no response that can be forwarded",
    )
    GATEWAY_REFUSED = EventRule(
        412, logging.INFO, "request refused; it was not run"
    )
    REQUEST_ABANDONED = EventRule(
        413, logging.INFO, "the caller disconnected before the response"
    )
    ANSWER_WAITED = EventRule(
        414, logging.INFO, "a response waited for earlier responses"
    )
    STORE_LISTED = EventRule(
        420, logging.INFO, "a full listing of the store was read"
    )
    STORE_LOST = EventRule(
        421,
        logging.WARNING,
        "the store does not answer; service continues with cached data",
    )
    STORE_BACK = EventRule(422, logging.INFO, "the store answers again")
    REGISTRATION_BAD = EventRule(
        423, logging.ERROR, "a registration in the store cannot be read"
    )
    REGISTRATION_LATE = EventRule(
        424, logging.WARNING, "this entry's registration was not renewed"
    )
    UPSTREAM_CHANGED = EventRule(
        430, logging.INFO, "an upstream registered or changed"
    )
    UPSTREAM_GONE = EventRule(431, logging.INFO, "an upstream is gone")
    EVACUATION_CHANGED = EventRule(
        432, logging.INFO, "the evacuation of a zone started or ended"
    )
    ENTRY_CHANGED = EventRule(
        433, logging.INFO, "an entry was added or removed"
    )
    REGISTRATIONS_CHANGED = EventRule(
        434, logging.INFO, "many registrations changed at once"
    )
    UPSTREAM_LIMIT_CHANGED = EventRule(
        435, logging.INFO, "an upstream's limit on requests changed"
    )
    UPSTREAM_LIMIT_BAD = EventRule(
        436, logging.WARNING, "an upstream states a limit that cannot be read"
    )
    UPSTREAMS_PARTITIONED = EventRule(
        437,
        logging.WARNING,
        "this entry reaches no upstream; its requests go through other entries",
    )
    UPSTREAMS_REACHABLE = EventRule(
        438, logging.INFO, "this entry reaches upstreams again"
    )
    RELAY_UNREACHABLE = EventRule(
        439, logging.WARNING, "an entry cannot be reached for a relayed request"
    )
    RELAY_BAD = EventRule(
        440, logging.WARNING, "a relayed request or its sender is not valid"
    )
    UPSTREAM_STATES_LEAVING = EventRule(
        441, logging.INFO, "an upstream says in a response that it is leaving"
    )
    UPSTREAM_STATES_REST = EventRule(
        442, logging.INFO, "an upstream asks this entry for a rest"
    )
    UPSTREAM_STATEMENT_BAD = EventRule(
        443,
        logging.WARNING,
        "an upstream says something of itself that cannot be read",
    )
    UPSTREAM_REST_ENDED = EventRule(
        444, logging.INFO, "the rest that an upstream asked for has ended"
    )
    OVERLOAD_PARTS_CHANGED = EventRule(
        445, logging.INFO, "the active parts of overload scheduling changed"
    )
    REQUEST_WAITED = EventRule(
        446, logging.INFO, "a request has waited for a slot"
    )
    WAITS_FULL = EventRule(
        447, logging.WARNING, "no further request can wait for a slot"
    )
    WAITS_ENDING = EventRule(
        448, logging.INFO, "requests that wait are served or refused by the end"
    )
    RETURN_TURNS_EXHAUSTED = EventRule(
        452,
        logging.WARNING,
        "no turn is free in time for refused callers to return",
    )
    RETURN_TURNS_AVAILABLE = EventRule(
        453, logging.INFO, "refused callers get turns to return again"
    )
    SERVICE_RUNS_SLOWLY = EventRule(
        454,
        logging.WARNING,
        "the upstreams of a service state that they run work slowly",
    )
    SERVICE_RUNS_AS_USUAL = EventRule(
        455, logging.INFO, "the upstreams of a service run work as usual again"
    )
    SHARES_IN_FORCE = EventRule(
        456,
        logging.WARNING,
        "a service is short of slots; its organisations are held to shares",
    )
    SHARES_ENDED = EventRule(
        457, logging.INFO, "no shares of a service are in force"
    )
    MEMORY_STEP_BEGAN = EventRule(
        458, logging.WARNING, "this entry holds many bytes; a step has begun"
    )
    MEMORY_STEP_ENDED = EventRule(
        459, logging.INFO, "this entry holds fewer bytes; a step has ended"
    )
    OBJECTS_LEAVE_REGION = EventRule(
        460,
        logging.INFO,
        "objects leave a region whose slots confined requests need",
    )
    OBJECTS_BACK_IN_REGION = EventRule(
        461, logging.INFO, "the objects that left a region are back"
    )
    STORE_EPOCH_CHANGED = EventRule(
        462,
        logging.WARNING,
        "the store was restored from a copy; its data is read again",
    )
    STORE_CHANGE_FAILED = EventRule(
        463, logging.ERROR, "a change of the store could not be applied"
    )
    STORE_PAGE_TOO_LONG = EventRule(
        464,
        logging.WARNING,
        "a page of the store is too long; registrations are listed by prefix",
    )


def setup(*, level: str, file: str) -> None:
    """Sends the log as JSON lines to `file`, or to standard error.

    Args:
      level: name of the lowest level that is written.
      file: path, or empty for standard error.
    """
    handler: logging.Handler = logging.StreamHandler(sys.stderr)
    if file:
        handler = logging.FileHandler(file, encoding="utf-8")
    _install(handler, level)


def setup_stdout(*, level: str) -> None:
    """Sends the log as JSON lines to standard output without blocking.

    Args:
      level: name of the lowest level that is written.
    """
    _install(BoundedHandler(descriptor=sys.stdout.fileno()), level)


def take_unreported_drops() -> dict[str, int]:
    """Flushes pending lines and returns the dropped lines not yet reported.

    Returns:
      The number of dropped lines by event name; each line is counted in one
      call only.
    """
    unreported: dict[str, int] = {}
    for handler in logger.handlers:
        if not isinstance(handler, BoundedHandler):
            continue
        handler.flush()
        unreported.update(handler.take_unreported_drops())
    return unreported


def dropped_lines() -> dict[str, int]:
    """Returns the number of dropped lines since start, by event name."""
    counts: dict[str, int] = {}
    for handler in logger.handlers:
        if isinstance(handler, BoundedHandler):
            counts.update(handler.dropped_lines)
    return counts


def _install(handler: logging.Handler, level: str) -> None:
    formatter = JsonFormatter(
        "{asctime}{levelname}{message}",
        style="{",
        rename_fields={"asctime": "time", "levelname": "level"},
    )
    handler.setFormatter(formatter)
    logger.handlers.clear()
    logger.addHandler(handler)
    logger.setLevel(level)
    logger.propagate = False
    # tornado logs each refused connection and malformed request, which are
    # logged here as events already.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)


def event(
    event_type: Event, *, error: BaseException | None = None, **fields: object
) -> None:
    """Logs one event.

    Args:
      event_type: the event.
      error: exception whose traceback is logged.
      **fields: details of the event; names end in their unit.
    """
    rule = event_type.value
    if not logger.isEnabledFor(rule.level):
        return
    extra: dict[str, object] = {
        "event": rule.number,
        "event_name": event_type.name.lower(),
    }
    extra.update(fields)
    logger.log(rule.level, rule.text, exc_info=error, extra=extra)
