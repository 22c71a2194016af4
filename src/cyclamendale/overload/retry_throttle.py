"""Bound on the retries of one node, over all requests together."""

from __future__ import annotations

from cyclamendale.intents import model

RETRY_SHARE = 0.1
"""Retries per call that a node may send in the long run."""

MAX_SAVED_RETRIES = 10.0
"""Retries that may be saved up for a burst of failures."""


RESERVE_SHARE = 0.25
"""Share of the bucket kept from each next lower importance."""


class RetryThrottle:
    """Token bucket that calls fill and retries drain.

    Over any stretch, retries stay within `RETRY_SHARE` of the calls plus
    `MOST_SAVED`, so retries cannot multiply an overload.
    """

    __slots__ = ("_max_saved", "_share", "_tokens")

    def __init__(
        self, share: float = RETRY_SHARE, max_saved: float = MAX_SAVED_RETRIES
    ) -> None:
        self._share = share
        self._max_saved = max_saved
        self._tokens = max_saved

    def record_call(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(self._max_saved, self._tokens + self._share)

    def try_acquire(
        self, importance: model.Importance = model.Importance.CRITICAL
    ) -> bool:
        """Takes leave for one retry; False when there is none.

        Args:
            importance: Importance of the root request. The less important
                leave a reserve to the more important.
        """
        reserve = importance * RESERVE_SHARE * self._max_saved
        if self._tokens < 1.0 + reserve:
            return False
        self._tokens -= 1.0
        return True


def make_retry_throttle() -> RetryThrottle:
    """Returns the throttle of one node."""
    return RetryThrottle()
