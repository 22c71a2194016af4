"""Typed refusals that a caller receives instead of a response."""

from __future__ import annotations

import enum

import msgspec

from cyclamendale import ids


class Execution(enum.Enum):
    """Whether the request is known not to have run on an upstream."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class RefusalReason(enum.Enum):
    """Why a request was refused; the values are a stable public interface."""

    KEY_MISSING = "key-missing"
    KEY_UNKNOWN = "key-unknown"
    KEY_WITHDRAWN = "key-withdrawn"
    KEY_STALE = "key-not-confirmed"
    CONTEXT_INVALID = "context-invalid"
    ROUTE_UNKNOWN = "route-unknown"
    QUOTA = "quota"
    QUOTA_UNAVAILABLE = "quota-unavailable"
    SHED = "shed"
    QUEUE_FULL = "queue-full"
    LEAVING = "leaving"
    NO_TARGET = "no-target"
    DEADLINE = "deadline"
    DEPTH = "depth"
    RETRY_BUDGET = "retry-budget"
    LOST = "lost"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_REFUSED = "upstream-refused"
    ALREADY_RUN = "already-run"
    MAY_HAVE_RUN = "may-have-run"
    ONCE_UNAVAILABLE = "once-unavailable"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"
    NOT_READY = "not-ready"
    BAD_REQUEST = "bad-request"


HTTP_STATUS_BY_REASON: dict[RefusalReason, int] = {
    RefusalReason.KEY_MISSING: 401,
    RefusalReason.KEY_UNKNOWN: 401,
    RefusalReason.KEY_WITHDRAWN: 403,
    RefusalReason.KEY_STALE: 403,
    RefusalReason.CONTEXT_INVALID: 403,
    RefusalReason.ROUTE_UNKNOWN: 404,
    RefusalReason.QUOTA: 429,
    RefusalReason.QUOTA_UNAVAILABLE: 503,
    RefusalReason.SHED: 503,
    RefusalReason.QUEUE_FULL: 503,
    RefusalReason.LEAVING: 503,
    RefusalReason.NO_TARGET: 503,
    RefusalReason.DEADLINE: 504,
    RefusalReason.DEPTH: 508,
    RefusalReason.RETRY_BUDGET: 503,
    RefusalReason.LOST: 502,
    RefusalReason.UPSTREAM_FAILED: 502,
    RefusalReason.UPSTREAM_REFUSED: 503,
    RefusalReason.ALREADY_RUN: 409,
    RefusalReason.MAY_HAVE_RUN: 409,
    RefusalReason.ONCE_UNAVAILABLE: 503,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.CANCELLED: 499,
    RefusalReason.NOT_READY: 503,
    RefusalReason.BAD_REQUEST: 400,
}


class Decider(msgspec.Struct, frozen=True):
    """The intent file, and its configuration version, behind a decision."""

    file: ids.IntentFileName
    version: ids.ConfigVersion

    def __str__(self) -> str:
        return f"{self.file}@{self.version}"


class Refusal(msgspec.Struct, frozen=True):
    """A typed refusal.

    Attributes:
        reason: Why the request was refused.
        execution: Whether the request is known not to have run.
        decider: The intent file that led to the refusal, if any.
        retry_after_s: Delay after which a retry may succeed, with jitter.
    """

    reason: RefusalReason
    execution: Execution = Execution.NOT_RUN
    decider: Decider | None = None
    retry_after_s: float | None = None

    @property
    def http_status(self) -> int:
        """Returns the HTTP status code for this refusal."""
        return HTTP_STATUS_BY_REASON[self.reason]


def make_lost_refusal() -> Refusal:
    """Returns the refusal of a request whose response was lost.

    The request may have run.
    """
    return Refusal(RefusalReason.LOST, Execution.UNKNOWN)
