"""Adaptive concurrency limits for one upstream.

Both algorithms compare the upstream's recent own time, which excludes its
onward calls, with its own time without congestion. A slow service further
down the call path therefore does not lower the limits above it.
"""

from __future__ import annotations

import abc
import math

from cyclamendale import clocks
from cyclamendale.overload import admission

MIN_WINDOW_S = 0.1
"""Minimum length of a window over which own times are averaged."""

MIN_WINDOW_SAMPLES = 40
"""Minimum number of samples in a window."""

BASELINE_FALL_WEIGHT = 0.2
"""Weight of a lower window mean in the baseline."""

BASELINE_RISE_PER_S = 0.005
"""Relative rise of the baseline per second, to adapt to slower work."""

BASELINE_CATCH_UP_PER_S = 0.5
"""Relative rise per second while even the minimum limit seems congested."""

CONGESTION_RATIO = 2.0
"""Ratio of own time to baseline above which there is congestion."""

MIN_USED_SHARE = 0.8
"""Share of the limit that must be in use before it may grow."""

COLD_SHARE = 0.1
"""Share of the slots that a cold upstream starts with."""

DEFAULT_SLOTS = 64
"""Slots assumed until the upstream announces its own."""


class ConcurrencyLimit(abc.ABC):
    """Limit on the requests that an upstream works on concurrently."""

    def __init__(self, clock: clocks.Clock, slow_start_s: float) -> None:
        self._clock = clock
        self._slow_start_s = slow_start_s
        self._ceiling = DEFAULT_SLOTS
        self._estimate = float(DEFAULT_SLOTS)
        self._cold_since_s: float | None = None

    @property
    def current(self) -> int:
        """Returns the current limit, at least 1."""
        limit = min(self._estimate, self._ceiling)
        if self._cold_since_s is not None:
            limit = min(limit, self._slow_start_limit(self._cold_since_s))
        return max(1, int(limit))

    @property
    def slots(self) -> int:
        """Returns the limit including requests that wait for onward calls."""
        return self._ceiling

    @property
    def expected_own_time_s(self) -> float:
        """Returns the own time of a request without congestion."""
        return 0.0

    def set_slow_start(self, slow_start_s: float) -> None:
        """Sets the ramp-up time of a cold upstream."""
        self._slow_start_s = slow_start_s

    def set_capacity(self, slots: int, connections: int) -> None:
        """Sets the announced capacity; an increase takes effect at once."""
        ceiling = max(1, min(slots, connections))
        if ceiling > self._ceiling or self._estimate > ceiling:
            self._estimate = float(ceiling)
        self._ceiling = ceiling

    def start_cold(self) -> None:
        """Starts the slow-start ramp."""
        self._cold_since_s = self._clock.now_s()

    @abc.abstractmethod
    def observe(
        self,
        own_time_s: float,
        active: int,
        completion: admission.Completion,
    ) -> None:
        """Updates the limit with the outcome of a request.

        Args:
            own_time_s: Its time on the upstream, excluding onward calls.
            active: Requests being worked on, including this one.
            completion: How it ended.
        """

    def _slow_start_limit(self, since_s: float) -> float:
        elapsed_s = self._clock.now_s() - since_s
        if elapsed_s >= self._slow_start_s:
            self._cold_since_s = None
            return self._ceiling
        share = COLD_SHARE + (1 - COLD_SHARE) * elapsed_s / self._slow_start_s
        return self._ceiling * share


class StaticLimit(ConcurrencyLimit):
    """Uses the announced capacity only; a baseline for measurements."""

    def observe(
        self,
        own_time_s: float,
        active: int,
        completion: admission.Completion,
    ) -> None:
        """See base class."""


class _WindowedLimit(ConcurrencyLimit):
    """Averages own times over windows and tracks their baseline."""

    def __init__(self, clock: clocks.Clock, slow_start_s: float) -> None:
        super().__init__(clock, slow_start_s)
        self._baseline_s = math.inf
        self._window_start_s = clock.now_s()
        self._sum_s = 0.0
        self._samples = 0
        self._max_active = 0

    @property
    def expected_own_time_s(self) -> float:
        """See base class."""
        return self._baseline_s if self._baseline_s < math.inf else 0.0

    def observe(
        self,
        own_time_s: float,
        active: int,
        completion: admission.Completion,
    ) -> None:
        """See base class."""
        if not self._is_sample(own_time_s, completion):
            return
        self._sum_s += own_time_s
        self._samples += 1
        if active > self._max_active:
            self._max_active = active
        if self._samples >= MIN_WINDOW_SAMPLES:
            now_s = self._clock.now_s()
            if now_s - self._window_start_s >= MIN_WINDOW_S:
                self._end_window(now_s)

    def _is_sample(
        self, own_time_s: float, completion: admission.Completion
    ) -> bool:
        # A failure may be quick, or caused by an onward call. The time of a
        # cancelled request is a lower bound and counts only when it is high.
        if completion is admission.Completion.ANSWERED:
            return True
        if completion is admission.Completion.CANCELLED:
            return own_time_s > CONGESTION_RATIO * self._baseline_s
        return False

    def _end_window(self, now_s: float) -> None:
        mean_s = self._sum_s / self._samples
        self._update_baseline(mean_s, now_s - self._window_start_s)
        is_used = self._max_active >= MIN_USED_SHARE * self.current
        self._estimate = min(
            float(self._ceiling), max(1.0, self._adjust(mean_s, is_used))
        )
        self._window_start_s = now_s
        self._sum_s = 0.0
        self._samples = 0
        self._max_active = 0

    def _update_baseline(self, mean_s: float, elapsed_s: float) -> None:
        if self._baseline_s == math.inf:
            self._baseline_s = mean_s
            return
        if mean_s <= self._baseline_s:
            # Smoothed, since the minimum of many noisy means is too low.
            self._baseline_s += BASELINE_FALL_WEIGHT * (
                mean_s - self._baseline_s
            )
            return
        rise_per_s = BASELINE_RISE_PER_S
        if (
            self._estimate <= self._min_limit()
            and mean_s > CONGESTION_RATIO * self._baseline_s
        ):
            # At the minimum limit, the slowness is not due to congestion.
            rise_per_s = BASELINE_CATCH_UP_PER_S
        risen_s = self._baseline_s * (1 + rise_per_s * elapsed_s)
        self._baseline_s = min(mean_s, risen_s)

    def _min_limit(self) -> float:
        return max(1.0, math.sqrt(self._ceiling))

    @abc.abstractmethod
    def _adjust(self, mean_s: float, is_used: bool) -> float:
        """Returns the new limit estimate after a window."""


class AimdLimit(_WindowedLimit):
    """Additive increase, multiplicative decrease; used for comparison."""

    _MIN_DECREASE_FACTOR = 0.5
    _INCREASE_SHARE = 0.05

    def _adjust(self, mean_s: float, is_used: bool) -> float:
        factor = CONGESTION_RATIO * self._baseline_s / mean_s
        if factor < 1.0:
            decrease = max(self._MIN_DECREASE_FACTOR, factor)
            return max(self._min_limit(), self._estimate * decrease)
        if not is_used:
            return self._estimate
        return self._estimate + max(1.0, self._ceiling * self._INCREASE_SHARE)


class GradientLimit(_WindowedLimit):
    """Scales the limit by the ratio of baseline to recent own time."""

    _SMOOTHING = 0.4
    _MIN_GRADIENT = 0.5

    def _adjust(self, mean_s: float, is_used: bool) -> float:
        gradient = CONGESTION_RATIO * self._baseline_s / mean_s
        gradient = max(self._MIN_GRADIENT, min(1.0, gradient))
        if gradient == 1.0 and not is_used:
            return self._estimate
        target = self._estimate * gradient + math.sqrt(self._estimate)
        smoothed = self._estimate + self._SMOOTHING * (target - self._estimate)
        return max(self._min_limit(), smoothed)


def make_limit(clock: clocks.Clock, slow_start_s: float) -> ConcurrencyLimit:
    """Returns the default concurrency limit."""
    return GradientLimit(clock, slow_start_s)
