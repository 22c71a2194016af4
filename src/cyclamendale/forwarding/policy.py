"""Policy for retries and hedges, and for lending retry budget."""

from __future__ import annotations

import abc

from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import hedge
from cyclamendale.overload import retry_throttle

RETRYABLE_REASONS = frozenset(
    {
        refusals.RefusalReason.LEAVING,
        refusals.RefusalReason.NO_TARGET,
        refusals.RefusalReason.NOT_READY,
        refusals.RefusalReason.QUEUE_FULL,
    }
)
"""Refusals of requests that did not run which another target may serve.

Shed requests are not retried: the shed key is the same on every node, and
another attempt would add load during an overload.
"""

RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class RetryPolicy(abc.ABC):
    """Node-wide limits on retries and hedges."""

    @abc.abstractmethod
    def record_call(self, route: model.Route) -> float | None:
        """Counts a call; retries and hedges are limited relative to calls.

        Returns:
            Delay in seconds before the call is hedged, or None for no hedge.
        """

    @abc.abstractmethod
    def may_retry(self, importance: model.Importance) -> bool:
        """Allows and counts a retry if the ratio of retries permits it.

        Args:
            importance: Importance of the root request.
        """

    @abc.abstractmethod
    def may_hedge(self, route: model.Route) -> bool:
        """Allows and counts a hedge if the ratio of hedges permits it."""

    @abc.abstractmethod
    def record_duration(self, route: model.Route, duration_s: float) -> None:
        """Records how long an attempt took that answered or was superseded."""

    def is_retryable_status(self, status: int) -> bool:
        """Returns whether an idempotent request is retried on this status."""
        return status in RETRYABLE_STATUSES

    def is_retryable_refusal(self, reason: refusals.RefusalReason) -> bool:
        """Returns whether a call that did not run may go to another target."""
        return reason in RETRYABLE_REASONS

    def amount_to_lend(self, remaining: int) -> int:
        """Returns the part of the retry budget to lend to an attempt.

        Half, rounded up, is lent to the target, because a retry deeper in
        the call tree costs less. The rest is kept for a retry of the whole
        attempt if it is lost.
        """
        return (remaining + 1) // 2


class NodeRetryPolicy(RetryPolicy):
    """Limits retries by a throttle; hedges by the usual duration."""

    def __init__(
        self,
        throttle: retry_throttle.RetryThrottle,
        hedging: hedge.HedgePolicy,
    ) -> None:
        self._throttle = throttle
        self._hedging = hedging

    def record_call(self, route: model.Route) -> float | None:
        """See base class."""
        self._throttle.record_call()
        if not (route.hedge and route.idempotent):
            return None
        return self._hedging.record_call(route.name)

    def may_retry(self, importance: model.Importance) -> bool:
        """See base class."""
        return self._throttle.try_acquire(importance)

    def may_hedge(self, route: model.Route) -> bool:
        """See base class."""
        return self._hedging.try_acquire(route.name)

    def record_duration(self, route: model.Route, duration_s: float) -> None:
        """See base class."""
        if route.hedge:
            self._hedging.observe(route.name, duration_s)


def make_retry_policy() -> RetryPolicy:
    """Returns the retry policy for one node."""
    return NodeRetryPolicy(
        retry_throttle.make_retry_throttle(), hedge.make_hedge_policy()
    )
