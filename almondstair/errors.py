"""Error kinds and the table that maps each kind to a response.

Every error response that the system generates is built from this table, so
callers, operators and scripts see the same code for a kind everywhere.
"""

import enum
from typing import NamedTuple, TypedDict

PROBLEM_CONTENT_TYPE = "application/problem+json"


class Ran(enum.StrEnum):
    """Whether an upstream may have executed the request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(enum.StrEnum):
    """Every kind of error that the system reports."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    DEADLINE_UNREADABLE = "deadline_unreadable"
    HEAD_TOO_LARGE = "head_too_large"
    UNAUTHENTICATED = "unauthenticated"
    DEADLINE_PASSED = "deadline_passed"
    NO_SLOT = "no_slot"
    LINK_FULL = "link_full"
    NO_UPSTREAM = "no_upstream"
    QUARANTINED = "quarantined"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_IN_FLIGHT = "claim_in_flight"
    OUTCOME_UNKNOWN = "outcome_unknown"
    UPSTREAM_LOST = "upstream_lost"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    ENTRY_LEAVING = "entry_leaving"
    ENTRY_LOST = "entry_lost"
    ENTRY_NOT_READY = "entry_not_ready"
    TRIES_SPENT = "tries_spent"
    OVER_QUOTA = "over_quota"
    NO_ALLOWED_REGION = "no_allowed_region"
    UPSTREAMS_LIMITED = "upstreams_limited"
    UPSTREAMS_RESTING = "upstreams_resting"
    OVER_FAIR_SHARE = "over_fair_share"
    ENTRY_MEMORY_FULL = "entry_memory_full"
    ENTRY_CUT_OFF = "entry_cut_off"
    RELAY_REFUSED = "relay_refused"
    EDIT_CONFLICT = "edit_conflict"
    EDIT_PENDING = "edit_pending"
    EDIT_UNKNOWN = "edit_unknown"
    CONFIGURATION_INVALID = "configuration_invalid"
    NOT_FOUND = "not_found"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    SETTINGS_INVALID = "settings_invalid"
    ENTRY_UNREACHABLE = "entry_unreachable"
    USAGE = "usage"
    INTERNAL = "internal"


class ErrorRule(NamedTuple):
    """Defines the response to one error kind.

    Attributes:
      code: numeric code of the kind; never reused.
      http_status: HTTP status of the response.
      ran: default for whether the request ran; an error may override it.
      retry_after_ms: delay before the caller may retry, in milliseconds; None
        when a retry does not help.
      exit_code: process exit code of a command-line tool or daemon.
      title: one-line description for people.
    """

    code: int
    http_status: int
    ran: Ran
    retry_after_ms: int | None
    exit_code: int
    title: str


ERROR_TABLE: dict[ErrorKind, ErrorRule] = {
    ErrorKind.BAD_REQUEST: ErrorRule(
        1001, 400, Ran.NO, None, 3, "The request is malformed"
    ),
    ErrorKind.BODY_TOO_LARGE: ErrorRule(
        1002, 413, Ran.NO, None, 3, "The body is over the limit of its class"
    ),
    ErrorKind.UNKNOWN_SERVICE: ErrorRule(
        1003, 404, Ran.NO, None, 3, "No such service"
    ),
    ErrorKind.UNKNOWN_PATH: ErrorRule(
        1004, 404, Ran.NO, None, 3, "No request class for this method and path"
    ),
    ErrorKind.KEY_MISSING: ErrorRule(
        1005, 400, Ran.NO, None, 3, "This work needs an Idempotency-Key"
    ),
    ErrorKind.KEY_REUSED: ErrorRule(
        1006, 422, Ran.NO, None, 3, "The Idempotency-Key names another request"
    ),
    ErrorKind.DEADLINE_UNREADABLE: ErrorRule(
        1007, 400, Ran.NO, None, 3, "Deadline-Ms is not a whole number above 0"
    ),
    ErrorKind.HEAD_TOO_LARGE: ErrorRule(
        1008, 431, Ran.NO, None, 3, "The headers are over the limit"
    ),
    ErrorKind.UNAUTHENTICATED: ErrorRule(
        1009, 401, Ran.NO, None, 3, "The key belongs to no organisation"
    ),
    ErrorKind.DEADLINE_PASSED: ErrorRule(
        2001, 504, Ran.NO, None, 4, "The deadline passed before dispatch"
    ),
    ErrorKind.NO_SLOT: ErrorRule(
        2002, 503, Ran.NO, 1000, 4, "Every slot for this work is taken"
    ),
    ErrorKind.LINK_FULL: ErrorRule(
        2003, 503, Ran.NO, 1000, 4, "The link to the region is at its cap"
    ),
    ErrorKind.NO_UPSTREAM: ErrorRule(
        2004, 503, Ran.NO, 1000, 4, "No upstream of the service takes work"
    ),
    ErrorKind.QUARANTINED: ErrorRule(
        2005, 503, Ran.NO, 300_000, 4, "This request crashed upstreams before"
    ),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorRule(
        2006, 503, Ran.NO, 3000, 4, "The key cannot be claimed now"
    ),
    ErrorKind.CLAIM_IN_FLIGHT: ErrorRule(
        2007, 409, Ran.UNKNOWN, 1000, 4, "The key's first request is running"
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorRule(
        2008, 409, Ran.UNKNOWN, None, 4, "The key's outcome is not known"
    ),
    ErrorKind.UPSTREAM_LOST: ErrorRule(
        3001, 502, Ran.UNKNOWN, 1000, 5, "The upstream's answer was cut short"
    ),
    ErrorKind.UPSTREAM_TIMEOUT: ErrorRule(
        3002, 504, Ran.UNKNOWN, None, 5, "No whole answer before the deadline"
    ),
    ErrorKind.ENTRY_LEAVING: ErrorRule(
        3003, 503, Ran.NO, 500, 5, "This entry is leaving; look up another"
    ),
    ErrorKind.ENTRY_LOST: ErrorRule(
        3004, 502, Ran.UNKNOWN, 1000, 5, "The next entry's answer was cut short"
    ),
    ErrorKind.ENTRY_NOT_READY: ErrorRule(
        3005, 503, Ran.NO, 300, 5, "This entry knows no configuration yet"
    ),
    ErrorKind.TRIES_SPENT: ErrorRule(
        2009, 503, Ran.NO, 300, 4, "Upstreams refused; no try is left"
    ),
    ErrorKind.OVER_QUOTA: ErrorRule(
        2010, 429, Ran.NO, 1000, 4, "The organisation is over its quota"
    ),
    ErrorKind.NO_ALLOWED_REGION: ErrorRule(
        2011, 503, Ran.NO, None, 4, "No region is allowed for this request"
    ),
    ErrorKind.UPSTREAMS_LIMITED: ErrorRule(
        2012, 503, Ran.NO, 1000, 4, "Every upstream is at the limit it states"
    ),
    ErrorKind.UPSTREAMS_RESTING: ErrorRule(
        2015, 503, Ran.NO, 1000, 4, "Every upstream asked for a rest"
    ),
    ErrorKind.OVER_FAIR_SHARE: ErrorRule(
        2016, 503, Ran.NO, 300, 4, "Other organisations have fewer slots"
    ),
    ErrorKind.ENTRY_MEMORY_FULL: ErrorRule(
        2017, 503, Ran.NO, 300, 4, "This entry holds as many bytes as it may"
    ),
    ErrorKind.ENTRY_CUT_OFF: ErrorRule(
        2013, 503, Ran.NO, 100, 4, "No entry can send this to an upstream now"
    ),
    ErrorKind.RELAY_REFUSED: ErrorRule(
        2014, 503, Ran.NO, 100, 4, "This entry does not relay the request"
    ),
    ErrorKind.EDIT_CONFLICT: ErrorRule(
        4001, 409, Ran.NO, None, 6, "Somebody else edited the configuration"
    ),
    ErrorKind.EDIT_PENDING: ErrorRule(
        4002, 202, Ran.YES, 1000, 7, "The edit is not yet in force everywhere"
    ),
    ErrorKind.EDIT_UNKNOWN: ErrorRule(
        4003, 503, Ran.UNKNOWN, 2000, 8, "It is not known whether the edit held"
    ),
    ErrorKind.CONFIGURATION_INVALID: ErrorRule(
        4004, 422, Ran.NO, None, 9, "The configuration is not valid"
    ),
    ErrorKind.NOT_FOUND: ErrorRule(
        4005, 404, Ran.NO, None, 10, "There is nothing of this name"
    ),
    ErrorKind.PLATFORM_UNAVAILABLE: ErrorRule(
        5001, 503, Ran.NO, 3000, 11, "The platform's service does not answer"
    ),
    ErrorKind.SETTINGS_INVALID: ErrorRule(
        6001, 500, Ran.NO, None, 2, "The settings are not valid"
    ),
    ErrorKind.ENTRY_UNREACHABLE: ErrorRule(
        6002, 502, Ran.UNKNOWN, 1000, 12, "The entry does not answer"
    ),
    ErrorKind.USAGE: ErrorRule(
        6003, 400, Ran.NO, None, 64, "The command was not understood"
    ),
    ErrorKind.INTERNAL: ErrorRule(
        9001, 500, Ran.UNKNOWN, None, 70, "The system failed inside"
    ),
}


class Problem(TypedDict):
    """Body of an error response, as defined in RFC 9457."""

    type: str
    title: str
    status: int
    detail: str
    kind: str
    code: int
    ran: str
    retry_after_ms: int | None


class AlmondstairError(Exception):
    """An error of one of the `ErrorKind` kinds.

    Attributes:
      kind: kind of the error.
      detail: what happened, for people, with a remedy if there is one.
      ran: whether the request may have run.
      retry_after_ms: delay before a retry, in milliseconds, or None.
    """

    def __init__(
        self,
        *,
        kind: ErrorKind,
        detail: str = "",
        ran: Ran | None = None,
        retry_after_ms: int | None = None,
        uses_default_retry: bool = True,
    ) -> None:
        """Initializes; `ran` and `retry_after_ms` default to the table.

        Args:
          kind: kind of the error.
          detail: what happened, for people.
          ran: whether the request may have run.
          retry_after_ms: delay before a retry, in milliseconds.
          uses_default_retry: whether the delay of the kind applies if none is
            given; otherwise the caller gets none.
        """
        rule = ERROR_TABLE[kind]
        super().__init__(f"{kind}: {detail or rule.title}")
        self.kind = kind
        self.detail = detail or rule.title
        self.ran = ran or rule.ran
        self.retry_after_ms = retry_after_ms
        if retry_after_ms is None and uses_default_retry:
            self.retry_after_ms = rule.retry_after_ms

    @property
    def rule(self) -> ErrorRule:
        """Returns the rule for this kind."""
        return ERROR_TABLE[self.kind]

    def problem(self) -> Problem:
        """Returns the body of the response."""
        return Problem(
            type=f"urn:almondstair:error:{self.kind}",
            title=self.rule.title,
            status=self.rule.http_status,
            detail=self.detail,
            kind=str(self.kind),
            code=self.rule.code,
            ran=str(self.ran),
            retry_after_ms=self.retry_after_ms,
        )
