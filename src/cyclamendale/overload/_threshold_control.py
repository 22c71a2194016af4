"""Feedback control of the shed key above which a gate lacks capacity."""

from __future__ import annotations

import collections
import itertools

from cyclamendale import clocks
from cyclamendale.overload import _demand
from cyclamendale.overload import shed_key as shed_keys

WINDOW_S = 0.05
"""Interval between two updates of the threshold."""

PROPAGATION_WINDOWS = 6
"""Windows until all entry nodes apply a changed threshold."""

RECENT_ARRIVALS = 128
"""Latest arrivals, which show the threshold that entry nodes apply."""

VISIBLE_QUANTILE = 0.97
"""Quantile of the latest arrivals that leaves probes out."""

SERVICE_RATE_WEIGHT = 0.2
"""Weight of the last window in the average service rate."""

TARGET_OCCUPANCY = 0.4
"""Set point of the mean queue occupancy."""

GAIN = 0.03
"""Relative change of the admitted rate per window and unit of error."""

OVERLOAD_REFUSED_SHARE = 0.1
"""Refused share above which the admitted rate is set to the service rate."""

TOLERATED_REFUSED_SHARE = 0.03
"""Refused share of the arrivals that does not lower the threshold."""

EMPTY_OCCUPANCY = 0.05
"""Mean queue occupancy below which the upstream has spare capacity."""

RISE_ACCELERATION = 1.5
"""Factor by which the rise grows per window of spare capacity."""

MAX_RISE = 0.25
"""Maximum relative rise of the admitted rate per window."""


class ThresholdControl:
    """Controls the shed key up to which the gate admits requests.

    The admitted rate is adjusted by the error of the queue occupancy, and
    the demand histogram gives the shed key up to which demand reaches
    that rate. When many requests are refused, the admitted rate is set to
    the service rate. While the queue is empty, the rise grows with every
    window, so that the threshold is lifted within about one second after
    an overload.
    """

    __slots__ = (
        "_admitted_per_s",
        "_clock",
        "_demand",
        "_occupancy_sum",
        "_finished",
        "_offered",
        "_offered_by_window",
        "_recent_keys",
        "_refused_keys_by_window",
        "_rise",
        "_served_per_s",
        "_recent_thresholds",
        "_window_start_s",
        "threshold",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._demand = _demand.DemandHistogram()
        self._recent_keys: collections.deque[int] = collections.deque(
            maxlen=RECENT_ARRIVALS
        )
        self._recent_thresholds: collections.deque[int] = collections.deque(
            [shed_keys.MAX_SHED_KEY], maxlen=PROPAGATION_WINDOWS
        )
        self._served_per_s = 0.0
        self._admitted_per_s = 0.0
        self._rise = GAIN
        self._window_start_s = clock.now_s()
        self._offered = 0
        self._finished = 0
        self._refused_keys_by_window: collections.deque[list[int]] = (
            collections.deque([[]], maxlen=PROPAGATION_WINDOWS)
        )
        self._offered_by_window: collections.deque[int] = collections.deque(
            [0], maxlen=PROPAGATION_WINDOWS
        )
        self._occupancy_sum = 0.0
        self.threshold = shed_keys.MAX_SHED_KEY

    def record_offered(self, shed_key: int, occupancy: float) -> None:
        """Records an arrival and the queue occupancy at that time."""
        self._demand.record_arrival(shed_key)
        self._recent_keys.append(shed_key)
        self._offered += 1
        self._offered_by_window[-1] += 1
        self._occupancy_sum += occupancy

    def record_finished(self) -> None:
        """Records a request that the upstream completed."""
        self._finished += 1

    def record_refused(self, shed_key: int) -> None:
        """Records a request that was refused for lack of capacity."""
        self._refused_keys_by_window[-1].append(shed_key)

    def update(self) -> None:
        """Updates the threshold if the current window has ended."""
        now_s = self._clock.now_s()
        elapsed_s = now_s - self._window_start_s
        if elapsed_s < WINDOW_S:
            return
        self._window_start_s = now_s
        self._update_estimates(elapsed_s)
        self._update_threshold(elapsed_s / WINDOW_S)
        self._recent_thresholds.append(self.threshold)
        self._offered = 0
        self._finished = 0
        self._refused_keys_by_window.append([])
        self._offered_by_window.append(0)
        self._occupancy_sum = 0.0

    def _update_estimates(self, elapsed_s: float) -> None:
        weight = min(1.0, SERVICE_RATE_WEIGHT * elapsed_s / WINDOW_S)
        finished_per_s = self._finished / elapsed_s
        self._served_per_s += weight * (finished_per_s - self._served_per_s)
        visible_key = min(self._recent_thresholds)
        if visible_key != shed_keys.MAX_SHED_KEY:
            recent = sorted(self._recent_keys)
            if recent:
                last = recent[int(VISIBLE_QUANTILE * (len(recent) - 1))]
                visible_key = min(visible_key, last)
        self._demand.end_window(elapsed_s, visible_key)

    def _update_threshold(self, windows: float) -> None:
        occupancy = (
            self._occupancy_sum / self._offered if self._offered else 0.0
        )
        is_limited = self.threshold != shed_keys.MAX_SHED_KEY
        refused = len(self._refused_keys_by_window[-1])
        if refused > OVERLOAD_REFUSED_SHARE * self._offered:
            self._rise = GAIN
            if not is_limited or self._served_per_s < self._admitted_per_s:
                self._admitted_per_s = self._served_per_s
        elif is_limited:
            self._adjust_admitted_rate(occupancy, windows, refused)
        else:
            return
        key = self._demand.key_at_rate(self._admitted_per_s)
        if key < self.threshold:
            key = max(key, min(self.threshold, self._lowest_refused_key()))
        self.threshold = shed_keys.ShedKey(key)

    def _lowest_refused_key(self) -> int:
        """Returns the key below which the gate refuses almost nothing."""
        refused = sorted(
            itertools.chain.from_iterable(self._refused_keys_by_window)
        )
        if not refused:
            return shed_keys.MAX_SHED_KEY
        tolerated = int(TOLERATED_REFUSED_SHARE * sum(self._offered_by_window))
        return (
            refused[tolerated]
            if tolerated < len(refused)
            else shed_keys.MAX_SHED_KEY
        )

    def _adjust_admitted_rate(
        self, occupancy: float, windows: float, refused: int
    ) -> None:
        if occupancy < EMPTY_OCCUPANCY and not refused:
            self._admitted_per_s *= 1 + min(MAX_RISE, self._rise * windows)
            self._rise = min(MAX_RISE, self._rise * RISE_ACCELERATION)
            return
        self._rise = GAIN
        self._admitted_per_s += (
            GAIN * (TARGET_OCCUPANCY - occupancy) * self._served_per_s
        )
