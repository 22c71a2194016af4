"""Clocks: monotonic time that includes suspension, and scheduling."""

from __future__ import annotations

import abc
from collections.abc import Callable
import time
from typing import Any, Protocol


class DelayedCall(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancels the call; raises if it already ran."""

    def active(self) -> bool:
        """Returns whether the call is still pending."""


def cancel(call: DelayedCall | None) -> None:
    """Cancels a call if it exists and is still pending."""
    if call is not None and call.active():
        call.cancel()


class ReactorTime(Protocol):
    """The part of Twisted's `IReactorTime` that the clocks use."""

    def seconds(self) -> float:
        """Returns the reactor's time in seconds."""

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Schedules a call after `delay` seconds."""


class Clock(abc.ABC):
    """Time source and scheduler of one process."""

    @abc.abstractmethod
    def now_s(self) -> float:
        """Returns monotonic seconds, which include time in suspension."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Returns seconds since the Unix epoch; for display only."""

    @abc.abstractmethod
    def call_later(
        self, delay_s: float, function: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """Schedules `function(*args)` after `delay_s` seconds."""


def call_at_tick(
    clock: Clock, interval_s: float, function: Callable[..., Any]
) -> DelayedCall:
    """Schedules a call at the next multiple of an interval.

    Periodic checks whose intervals have common multiples share wake-ups of
    the process this way. The delay is half the interval at least.
    """
    delay_s = interval_s - clock.now_s() % interval_s
    if delay_s < interval_s / 2:
        delay_s += interval_s
    return clock.call_later(delay_s, function)


class SystemClock(Clock):
    """Clock of the host, with the Twisted reactor as scheduler."""

    def __init__(self, reactor: ReactorTime) -> None:
        self._reactor = reactor

    def now_s(self) -> float:
        """See base class."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """See base class."""
        return time.time()

    def call_later(
        self, delay_s: float, function: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """See base class."""
        return self._reactor.callLater(delay_s, function, *args)


class ReactorClock(Clock):
    """Clock that reads a Twisted `IReactorTime`, such as `task.Clock`.

    Attributes:
        rate: Seconds that this clock advances per second of the reactor,
            to simulate a host whose clock runs fast or slow.
    """

    def __init__(self, reactor: ReactorTime, rate: float = 1.0) -> None:
        self._reactor = reactor
        self.rate = rate

    def now_s(self) -> float:
        """See base class."""
        return self._reactor.seconds() * self.rate

    def wall_s(self) -> float:
        """See base class."""
        return self.now_s()

    def call_later(
        self, delay_s: float, function: Callable[..., Any], *args: Any
    ) -> DelayedCall:
        """See base class."""
        return self._reactor.callLater(delay_s / self.rate, function, *args)
