"""When a call may be retried or hedged, and how budget is lent."""

from __future__ import annotations

import abc

from cyclamendale import ids
from cyclamendale import refusals

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
    def note_call(self) -> None:
        """Counts a call, against which retries are measured."""

    @abc.abstractmethod
    def may_retry(self) -> bool:
        """Counts and allows a retry while they are few for the calls."""

    @abc.abstractmethod
    def note_duration(self, route: ids.RouteName, duration_s: float) -> None:
        """Learns how long successful attempts take."""

    @abc.abstractmethod
    def hedge_delay_s(self, route: ids.RouteName) -> float | None:
        """Returns after how long to hedge, or None for not at all."""

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
