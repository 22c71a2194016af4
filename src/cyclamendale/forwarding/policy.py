"""When a call may be retried or hedged, and how budget is lent."""

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
"""Refusals, truly not run, after which another target may serve.

A shed request is not among them: its shed key is the same everywhere, and
sending it again would add load where there is too much.
"""

RETRYABLE_STATUSES = frozenset({500, 502, 503, 504})


class RetryPolicy(abc.ABC):
    """Node-wide view of retries and hedges."""

    @abc.abstractmethod
    def call_sent(self, route: model.Route) -> float | None:
        """Counts a call, against which retries are measured.

        Returns:
            After how many seconds to hedge it, or None for never.
        """

    @abc.abstractmethod
    def may_retry(self, importance: model.Importance) -> bool:
        """Counts and allows a retry while they are few for the calls.

        Args:
            importance: Importance of the root request.
        """

    @abc.abstractmethod
    def may_hedge(self, route: model.Route) -> bool:
        """Counts and allows a hedge while they are few for the calls."""

    @abc.abstractmethod
    def took(self, route: model.Route, duration_s: float) -> None:
        """Learns how long an attempt took that answered or lost."""

    def is_retryable_status(self, status: int) -> bool:
        """Returns whether an idempotent request may be repeated."""
        return status in RETRYABLE_STATUSES

    def is_retryable_refusal(self, reason: refusals.RefusalReason) -> bool:
        """Returns whether another target may serve what did not run."""
        return reason in RETRYABLE_REASONS

    def amount_to_lend(self, remaining: int) -> int:
        """Returns how much budget goes along with an attempt.

        Half, rounded up, goes down the tree, where a retry costs least;
        the rest stays for the case that the whole attempt is lost.
        """
        return (remaining + 1) // 2


class NodeRetryPolicy(RetryPolicy):
    """Retries by a throttle, hedges after the usual duration."""

    def __init__(
        self,
        throttle: retry_throttle.RetryThrottle,
        hedging: hedge.HedgePolicy,
    ) -> None:
        self._throttle = throttle
        self._hedging = hedging

    def call_sent(self, route: model.Route) -> float | None:
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

    def took(self, route: model.Route, duration_s: float) -> None:
        """See base class."""
        if route.hedge:
            self._hedging.observe(route.name, duration_s)


def make_retry_policy() -> RetryPolicy:
    """Returns the retry policy of one node."""
    return NodeRetryPolicy(
        retry_throttle.make_retry_throttle(), hedge.make_hedge_policy()
    )
