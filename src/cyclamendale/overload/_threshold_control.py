"""Control of the shed key above which a gate has no room."""

from __future__ import annotations

import collections
import itertools

from cyclamendale import clocks
from cyclamendale.overload import _demand
from cyclamendale.overload import shed_key as shed_keys

WINDOW_S = 0.05
"""Time between two changes of the threshold."""

LAG_WINDOWS = 6
"""Windows until all entries follow a changed threshold."""

RECENT_KEYS = 128
"""Latest arrivals that show up to which key the entries let through."""

VISIBLE_SHARE = 0.97
"""Share of the latest arrivals that are surely no probes."""

RATE_SMOOTHING = 0.2
"""Weight of the last window in the rate of service."""

TARGET_FILL = 0.4
"""Mean fill of the queue that the control aims at."""

GAIN = 0.03
"""Relative change of the admitted rate per window and fill."""

GROSS_REFUSED_SHARE = 0.1
"""Refused share from which the admitted rate is set, not moved."""

STRAY_SHARE = 0.03
"""Refused share of the arrivals that does not lower the threshold."""

EMPTY_FILL = 0.05
"""Mean fill of the queue below which the upstream has room."""

ACCELERATION = 1.5
"""Factor of the rise from window to window while there is room."""

LARGEST_RISE = 0.25
"""Largest relative rise of the admitted rate per window."""


class ThresholdControl:
    """Follows the shed key up to which requests find room.

    It controls the rate to admit, by how far the queue is from its
    target fill, and looks up the shed key to which the demand reaches
    that rate. When many requests are refused, the rate is set to the
    rate of service. While the queue is empty the rate rises faster with
    every window, so that the threshold is gone within a second or so
    after an overload.
    """

    __slots__ = (
        "_admit_per_s",
        "_clock",
        "_demand",
        "_fill_sum",
        "_finished",
        "_offered",
        "_offered_before",
        "_recent",
        "_refused_keys",
        "_rise",
        "_served_per_s",
        "_thresholds",
        "_window_began_s",
        "threshold",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._demand = _demand.DemandByKey()
        self._recent: collections.deque[int] = collections.deque(
            maxlen=RECENT_KEYS
        )
        self._thresholds: collections.deque[int] = collections.deque(
            [shed_keys.MAX_SHED_KEY], maxlen=LAG_WINDOWS
        )
        self._served_per_s = 0.0
        self._admit_per_s = 0.0
        self._rise = GAIN
        self._window_began_s = clock.now_s()
        self._offered = 0
        self._finished = 0
        self._refused_keys: collections.deque[list[int]] = collections.deque(
            [[]], maxlen=LAG_WINDOWS
        )
        self._offered_before: collections.deque[int] = collections.deque(
            [0], maxlen=LAG_WINDOWS
        )
        self._fill_sum = 0.0
        self.threshold = shed_keys.MAX_SHED_KEY

    def offered(self, shed_key: int, fill: float) -> None:
        """Counts a request that arrived when the queue was so full."""
        self._demand.arrived(shed_key)
        self._recent.append(shed_key)
        self._offered += 1
        self._offered_before[-1] += 1
        self._fill_sum += fill

    def finished(self) -> None:
        """Counts a request that the upstream ended."""
        self._finished += 1

    def refused(self, shed_key: int) -> None:
        """Counts a request for which there was no room."""
        self._refused_keys[-1].append(shed_key)

    def update(self) -> None:
        """Changes the threshold when a window is over."""
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._window_began_s
        if elapsed_s < WINDOW_S:
            return
        self._window_began_s = now_s
        self._learn(elapsed_s)
        self._control(elapsed_s / WINDOW_S)
        self._thresholds.append(self.threshold)
        self._offered = 0
        self._finished = 0
        self._refused_keys.append([])
        self._offered_before.append(0)
        self._fill_sum = 0.0

    def _learn(self, elapsed_s: float) -> None:
        weight = min(1.0, RATE_SMOOTHING * elapsed_s / WINDOW_S)
        finished_per_s = self._finished / elapsed_s
        self._served_per_s += weight * (finished_per_s - self._served_per_s)
        visible = min(self._thresholds)
        if visible != shed_keys.MAX_SHED_KEY:
            recent = sorted(self._recent)
            if recent:
                last = recent[int(VISIBLE_SHARE * (len(recent) - 1))]
                visible = min(visible, last)
        self._demand.end_window(elapsed_s, visible)

    def _control(self, windows: float) -> None:
        fill = self._fill_sum / self._offered if self._offered else 0.0
        limited = self.threshold != shed_keys.MAX_SHED_KEY
        refused = len(self._refused_keys[-1])
        if refused > GROSS_REFUSED_SHARE * self._offered:
            self._rise = GAIN
            if not limited or self._served_per_s < self._admit_per_s:
                self._admit_per_s = self._served_per_s
        elif limited:
            self._move(fill, windows, refused)
        else:
            return
        key = self._demand.key_at(self._admit_per_s)
        if key < self.threshold:
            key = max(key, min(self.threshold, self._lowest_refused()))
        self.threshold = shed_keys.ShedKey(key)

    def _lowest_refused(self) -> int:
        """Returns the key below which the gate itself refuses nothing."""
        refused = sorted(itertools.chain.from_iterable(self._refused_keys))
        if not refused:
            return shed_keys.MAX_SHED_KEY
        stray = int(STRAY_SHARE * sum(self._offered_before))
        return (
            refused[stray] if stray < len(refused) else shed_keys.MAX_SHED_KEY
        )

    def _move(self, fill: float, windows: float, refused: int) -> None:
        if fill < EMPTY_FILL and not refused:
            self._admit_per_s *= 1 + min(LARGEST_RISE, self._rise * windows)
            self._rise = min(LARGEST_RISE, self._rise * ACCELERATION)
            return
        self._rise = GAIN
        self._admit_per_s += GAIN * (TARGET_FILL - fill) * self._served_per_s
