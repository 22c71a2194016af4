"""Decides how long a stopping node serves and which requests it accepts.

If too few other nodes of its failure domain are ready, callers may be routed
to a stopping node until its process exits. A request that might not finish
before the exit is refused, so that no accepted request is cut off.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale.store import load_limit

MIN_SERVING_S = 2.3
"""Minimum time for which a stopping node serves: callers are routed elsewhere
after two failed readiness checks, one second apart."""

ACCEPT_ALL_S = 2.7
"""Time for which a stopping node accepts every request. Later ones, up to the
end of the grace period, are accepted only if they finish in time."""

EXIT_MARGIN_S = 0.6
"""Time before the end of the grace period at which serving always ends."""

CLOSE_MARGIN_S = 0.4
"""Time before the end of the grace period at which the node exits, whatever is
still to be closed or read."""

POLL_INTERVAL_S = 0.05
"""Interval at which a stopping node checks what it still waits for."""

ANSWER_MARGIN_S = 0.4
"""Minimum time between a request's deadline and the exit: the final response
is at most a quarter of a second late and must still reach the caller."""


class Shutdown:
    """Shutdown of one process, from the signal to the exit."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_s: float | None = None
        self._exit_by_s = 0.0
        self._closed_by_s = 0.0
        self._has_ended = False

    @property
    def has_begun(self) -> bool:
        """Returns whether the node is stopping."""
        return self._started_s is not None

    @property
    def has_ended(self) -> bool:
        """Returns whether the node has stopped serving."""
        return self._has_ended

    @property
    def exit_by_s(self) -> float:
        """Returns the clock time at which serving always ends."""
        return self._exit_by_s

    def begin(self, grace_s: float) -> None:
        """Starts the shutdown.

        Args:
            grace_s: Time from now until the process is killed.
        """
        self._started_s = self._clock.now_s()
        self._exit_by_s = self._started_s + grace_s - EXIT_MARGIN_S
        self._closed_by_s = self._started_s + grace_s - CLOSE_MARGIN_S

    def end(self) -> None:
        """Ends the serving; no request is accepted any more.

        Closing the connections to other nodes takes a while, in which callers
        may still send requests.
        """
        self._has_ended = True

    @defer.inlineCallbacks
    def wait_while_closing(self, is_closing: Callable[[], object]) -> Any:
        """Waits for a condition to end, but not beyond the grace period."""
        while is_closing() and self._clock.now_s() < self._closed_by_s:
            yield load_limit.sleep(self._clock, POLL_INTERVAL_S)

    @defer.inlineCallbacks
    def wait_for_reads(self) -> Any:
        """Waits until the reactor has read what has arrived.

        It accepts connections in one iteration and reads them in the next, also
        if the process stood still until it had to end.
        """
        for _ in range(2):
            yield load_limit.sleep(self._clock, 0.0)

    def accepts(self, deadline_s: float, read_from_s: float = 0.0) -> bool:
        """Returns whether to serve a request that arrives now.

        Args:
            deadline_s: Clock time of its final response.
            read_from_s: Clock time at which its caller begins to read it.
        """
        if self._started_s is None:
            return True
        if self._has_ended or read_from_s + ANSWER_MARGIN_S > self._exit_by_s:
            return False
        if self._clock.now_s() - self._started_s <= ACCEPT_ALL_S:
            return True
        return self.can_finish(deadline_s)

    def can_finish(self, deadline_s: float) -> bool:
        """Returns whether a request with a deadline ends before the exit.

        A request that another node forwards has to, at any time: it can run
        elsewhere at no cost.

        Args:
            deadline_s: Clock time of its final response.
        """
        if self._started_s is None:
            return True
        if self._has_ended:
            return False
        return deadline_s + ANSWER_MARGIN_S <= self._exit_by_s

    def should_exit(self, pending_requests: int) -> bool:
        """Returns whether to exit now.

        Args:
            pending_requests: Requests without a response.
        """
        if self._started_s is None:
            return False
        now_s = self._clock.now_s()
        if now_s >= self._exit_by_s:
            return True
        return now_s - self._started_s >= MIN_SERVING_S and not pending_requests

    @defer.inlineCallbacks
    def wait_while_serving(self, count_pending: Callable[[], int]) -> Any:
        """Waits until it is time to exit; see `should_exit`."""
        while not self.should_exit(count_pending()):
            yield load_limit.sleep(self._clock, POLL_INTERVAL_S)
