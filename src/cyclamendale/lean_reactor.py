"""Twisted's epoll reactor, with a steady clock and fewer log contexts.

Twisted enters a logging context around every read and write, which costs
an eighth of a node's CPU time. No code of the node logs through that
context. The reactor still handles failures of a read or write itself.

Twisted's timers follow the time of day, which may step.

Twisted takes a connection that is reported as closed, without input, for one
that the peer closed cleanly. After a reset the kernel reports just that until
it has discarded the unsent data. Only a read tells how the connection ended.
"""

from __future__ import annotations

import errno
import time
from typing import Any

from twisted.internet import epollreactor
from twisted.internet import main


class LeanEpollReactor(epollreactor.EPollReactor):
    """Epoll reactor that calls readers and writers directly."""

    @staticmethod
    def seconds() -> float:
        """Returns the time of the timers, as `clocks.SystemClock` does."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def doPoll(self, timeout: float | None) -> None:
        """Polls for events and handles them.

        Args:
            timeout: Longest wait in seconds; None waits indefinitely.
        """
        # The stubs of the base class do not declare these attributes.
        base: Any = self
        try:
            events = base._poller.poll(
                -1 if timeout is None else timeout, len(base._selectables)
            )
        except OSError as error:
            if error.errno == errno.EINTR:
                return
            raise
        selectables = base._selectables
        closed = base._POLL_DISCONNECTED
        for descriptor, event in events:
            selectable = selectables.get(descriptor)
            if selectable is not None:
                if event & closed and descriptor in base._reads:
                    event |= base._POLL_IN
                base._doReadOrWrite(selectable, descriptor, event)

    doIteration = doPoll


def install() -> Any:
    """Installs and returns the reactor of this process.

    Must be called before anything imports `twisted.internet.reactor`.
    """
    reactor = LeanEpollReactor()
    main.installReactor(reactor)
    return reactor
