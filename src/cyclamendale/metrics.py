"""Metrics, aggregated in memory and sent to statsd once per interval."""

from __future__ import annotations

import abc
import collections
from typing import Protocol

import statsd
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale.controllers import base

MAX_METRIC_NAMES = 1000
"""Limit on the number of names of each metric type.

Counters beyond it are added to `OVERFLOW_NAME`; gauges and timings beyond
it are dropped.
"""

OVERFLOW_NAME = "metrics.overflow"


class Metrics(base.Controller):
    """Counters, gauges and timings; cheap enough to call per request."""

    @abc.abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""

    @abc.abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge; the last value of an interval is sent."""

    @abc.abstractmethod
    def timing(self, name: str, duration_ms: float) -> None:
        """Records a duration; mean and maximum of an interval are sent."""


class NullMetrics(Metrics):
    """Discards all metrics."""

    def start(self) -> None:
        """See base class."""

    def stop(self) -> defer.Deferred[None]:
        """See base class."""
        return defer.succeed(None)

    def count(self, name: str, amount: int = 1) -> None:
        """See base class."""

    def gauge(self, name: str, value: float) -> None:
        """See base class."""

    def timing(self, name: str, duration_ms: float) -> None:
        """See base class."""


class StatsdPipeline(Protocol):
    """The part of the statsd library's pipeline that is used."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Adds to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Sets a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Records a duration in milliseconds."""

    def send(self) -> None:
        """Sends the recorded values, batched into few datagrams."""


class StatsdClient(Protocol):
    """The part of the statsd library's client that is used."""

    def pipeline(self) -> StatsdPipeline:
        """Returns a pipeline that sends several values at once."""


class _DurationSummary:
    """Count, sum and maximum of one timing within one interval."""

    __slots__ = ("count", "max_ms", "sum_ms")

    def __init__(self) -> None:
        self.count = 0
        self.sum_ms = 0.0
        self.max_ms = 0.0

    def add(self, duration_ms: float) -> None:
        self.count += 1
        self.sum_ms += duration_ms
        self.max_ms = max(self.max_ms, duration_ms)


class StatsdMetrics(Metrics):
    """Aggregates metrics and sends them once per interval."""

    def __init__(
        self, clock: clocks.Clock, client: StatsdClient, interval_s: float
    ) -> None:
        self._clock = clock
        self._client = client
        self._interval_s = interval_s
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._durations: dict[str, _DurationSummary] = {}
        self._next_send: clocks.DelayedCall | None = None

    def count(self, name: str, amount: int = 1) -> None:
        """See base class."""
        if (
            name not in self._counters
            and len(self._counters) >= MAX_METRIC_NAMES
        ):
            name = OVERFLOW_NAME
        self._counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """See base class."""
        if name in self._gauges or len(self._gauges) < MAX_METRIC_NAMES:
            self._gauges[name] = value

    def timing(self, name: str, duration_ms: float) -> None:
        """See base class."""
        durations = self._durations.get(name)
        if durations is None:
            if len(self._durations) >= MAX_METRIC_NAMES:
                return
            durations = self._durations[name] = _DurationSummary()
        durations.add(duration_ms)

    def start(self) -> None:
        """See base class."""
        self._next_send = self._clock.call_later(
            self._interval_s, self._send_and_reschedule
        )

    def stop(self) -> defer.Deferred[None]:
        """See base class."""
        clocks.cancel(self._next_send)
        self._send()
        return defer.succeed(None)

    def _send_and_reschedule(self) -> None:
        self._send()
        self.start()

    def _send(self) -> None:
        pipeline = self._client.pipeline()
        for name, amount in self._counters.items():
            pipeline.incr(name, amount)
        for name, value in self._gauges.items():
            pipeline.gauge(name, value)
        for name, durations in self._durations.items():
            mean_ms = durations.sum_ms / durations.count
            pipeline.timing(f"{name}.mean", mean_ms)
            pipeline.timing(f"{name}.max", durations.max_ms)
        pipeline.send()
        self._counters.clear()
        self._gauges.clear()
        self._durations.clear()


def make_statsd_metrics(
    clock: clocks.Clock,
    host: str,
    port: int,
    prefix: str,
    interval_s: float,
) -> StatsdMetrics:
    """Returns metrics that are sent to a statsd server by UDP."""
    client = statsd.StatsClient(host, port, prefix=prefix, ipv6=":" in host)
    return StatsdMetrics(clock, client, interval_s)
