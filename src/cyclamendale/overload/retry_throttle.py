"""Retry budget of one node, shared by all its requests."""

from __future__ import annotations

from cyclamendale.intents import model

RETRY_SHARE = 0.1
"""Long-term ratio of retries to calls of a node."""

MAX_SAVED_RETRIES = 10.0
"""Retries that may accumulate for a burst of failures."""


RESERVE_SHARE = 0.25
"""Share of the bucket that is reserved per step of lower importance."""


class RetryThrottle:
    """Token bucket that calls refill and retries drain.

    Over any period, retries stay within `RETRY_SHARE` of the calls plus
    `MAX_SAVED_RETRIES`, so retries cannot multiply an overload.
    """

    __slots__ = ("_max_saved", "_share", "_tokens")

    def __init__(
        self, share: float = RETRY_SHARE, max_saved: float = MAX_SAVED_RETRIES
    ) -> None:
        self._share = share
        self._max_saved = max_saved
        self._tokens = max_saved

    def record_call(self) -> None:
        """Records a first attempt."""
        self._tokens = min(self._max_saved, self._tokens + self._share)

    def try_acquire(
        self, importance: model.Importance = model.Importance.CRITICAL
    ) -> bool:
        """Spends a token for one retry; returns False if there is none.

        Args:
            importance: Importance of the root request. Less important
                requests leave a reserve for more important ones.
        """
        reserve = importance * RESERVE_SHARE * self._max_saved
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True


def make_retry_throttle() -> RetryThrottle:
    """Returns the retry throttle of one node."""
    return RetryThrottle()
