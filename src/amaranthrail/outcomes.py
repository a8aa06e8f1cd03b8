"""Define the outcomes of failed requests and their reasons."""

from __future__ import annotations

from enum import Enum
from types import MappingProxyType

import msgspec


class Outcome(Enum):
    """State whether a request ran at an upstream."""

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class Reason(Enum):
    """State why a request was refused or lost."""

    BAD_REQUEST = 'bad-request'
    BAD_CREDENTIAL = 'bad-credential'
    NO_ROUTE = 'no-route'
    KEY_REQUIRED = 'key-required'
    KEY_REUSED = 'key-reused'
    KEY_LOST = 'key-lost'
    KEY_UNKNOWN = 'key-unknown'
    BODY_TOO_LARGE = 'body-too-large'
    ORGANISATION_LIMIT = 'organisation-limit'
    NO_MANIFEST = 'no-manifest'
    NO_CAPACITY = 'no-capacity'
    NO_REPLICA = 'no-replica'
    PROMPT_HELD = 'prompt-held'
    UPSTREAM_LIMIT = 'upstream-limit'
    DOMAIN_EVACUATED = 'domain-evacuated'
    NO_ALLOWED_REGION = 'no-allowed-region'
    UPSTREAM_MEMORY = 'upstream-memory'
    LOG_UNAVAILABLE = 'log-unavailable'
    DRAINING = 'draining'
    EXPIRED = 'expired'
    WRONG_INCARNATION = 'wrong-incarnation'
    STALE_DISPATCH = 'stale-dispatch'
    STALE_MANIFEST = 'stale-manifest'
    VOIDED = 'voided'
    UPSTREAM_UNREACHABLE = 'upstream-unreachable'
    UPSTREAM_BROKEN = 'upstream-broken'
    PEER_GONE = 'peer-gone'
    CANCELLED = 'cancelled'
    STILL_RUNNING = 'still-running'
    RESPONSE_TOO_LARGE = 'answer-too-large'


_STATUS_BY_REASON = MappingProxyType(
    {
        Reason.BAD_REQUEST: 400,
        Reason.KEY_REQUIRED: 400,
        Reason.BAD_CREDENTIAL: 401,
        Reason.NO_ROUTE: 404,
        Reason.KEY_LOST: 409,
        Reason.BODY_TOO_LARGE: 413,
        Reason.KEY_REUSED: 422,
        Reason.ORGANISATION_LIMIT: 429,
    }
)
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 504


#: Least and greatest status of a final response. Those from 600 on have no
#: meaning assigned, and are an upstream's own.
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 999


def is_final_status(status: int) -> bool:
    """Tell whether a response with this status can be sent to a caller."""
    return _FIRST_FINAL_STATUS <= status <= _LAST_STATUS


class Refusal(msgspec.Struct, frozen=True):
    """Describe why a request has no response, and whether it ran.

    ``retry_after_ms`` is the time after which a retry may succeed, None if
    unknown.
    """

    outcome: Outcome
    reason: Reason
    detail: str = ''
    retry_after_ms: int | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status for the caller.

        A reason without a status of its own gives 503 if the request did not
        run, else 504.
        """
        fallback = _STATUS_UNKNOWN
        if self.outcome is Outcome.NOT_RUN:
            fallback = _STATUS_NOT_RUN
        return _STATUS_BY_REASON.get(self.reason, fallback)


def not_run(
    reason: Reason,
    detail: str = '',
    retry_after_ms: int | None = None,
) -> Refusal:
    """Return the refusal of a request that certainly did not run."""
    return Refusal(Outcome.NOT_RUN, reason, detail, retry_after_ms)


def unknown_outcome(reason: Reason, detail: str = '') -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(Outcome.UNKNOWN, reason, detail)
