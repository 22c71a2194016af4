"""How long a stopping node serves, and which requests it still takes.

Callers may be sent to a stopping node until its process ends, when too few
other nodes of its failure domain are ready. A request that might not end
before the process does is refused, so that none is cut.
"""

from __future__ import annotations

from cyclamendale import clocks

MIN_SERVING_S = 2.3
"""How long a stopping node serves at the least: callers are told to go
elsewhere after two missed looks at readiness, a second apart."""

ACCEPT_ALL_S = 2.7
"""How long it takes every request. Those that come later, up to the end of
the grace, are taken only if they end in time."""

EXIT_MARGIN_S = 0.6
"""Time before the end of the grace in which the node exits in any case."""

ANSWER_MARGIN_S = 0.4
"""Time between a request's deadline and the exit: its final answer comes
a quarter of a second late at the most, and has to reach the caller."""


class Shutdown:
    """The stop of one process, from its signal to its exit."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_s: float | None = None
        self._exit_by_s = 0.0

    @property
    def has_begun(self) -> bool:
        """Returns whether the node is stopping."""
        return self._started_s is not None

    def begin(self, grace_s: float) -> None:
        """Begins to stop.

        Args:
            grace_s: Time from now after which the process is killed.
        """
        self._started_s = self._clock.now_s()
        self._exit_by_s = self._started_s + grace_s - EXIT_MARGIN_S

    def accepts(self, deadline_s: float) -> bool:
        """Returns whether to serve a request that comes now.

        Args:
            deadline_s: Clock time of its final answer.
        """
        if self._started_s is None:
            return True
        if self._clock.now_s() - self._started_s <= ACCEPT_ALL_S:
            return True
        return deadline_s + ANSWER_MARGIN_S <= self._exit_by_s

    def should_exit(self, pending_requests: int) -> bool:
        """Returns whether to exit now.

        Args:
            pending_requests: Requests without an answer.
        """
        if self._started_s is None:
            return False
        now_s = self._clock.now_s()
        if now_s >= self._exit_by_s:
            return True
        return now_s - self._started_s >= MIN_SERVING_S and not pending_requests
