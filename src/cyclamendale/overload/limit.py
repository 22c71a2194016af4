"""Adaptive limits on the requests in service at one upstream.

Both algorithms compare the upstream's recent own time, which excludes its
onward calls, with the own time it shows when it is not congested. A slow
service further down therefore leaves the limits above it alone.
"""

from __future__ import annotations

import abc
import math

from cyclamendale import clocks
from cyclamendale.overload import admission

WINDOW_S = 0.1
"""Shortest window over which own times are averaged."""

WINDOW_SAMPLES = 40
"""Fewest samples that end a window."""

BASELINE_FALL = 0.2
"""Share of the way that the baseline falls to a lower mean."""

BASELINE_RISE_PER_S = 0.005
"""Relative rise of the baseline per second, to follow slower work."""

BASELINE_CATCH_UP_PER_S = 0.5
"""Relative rise per second while even the lowest limit seems congested."""

TOLERANCE = 2.0
"""Own time over its baseline that counts as congestion."""

USED_SHARE = 0.8
"""Share of the limit that must be in use before it may grow."""

COLD_SHARE = 0.1
"""Share of the slots that a cold upstream starts with."""

DEFAULT_SLOTS = 64
"""Slots assumed until the upstream announces its own."""


class ConcurrencyLimit(abc.ABC):
    """How many requests an upstream may work on at once."""

    def __init__(self, clock: clocks.Clock, slow_start_s: float) -> None:
        self._clock = clock
        self._slow_start_s = slow_start_s
        self._ceiling = DEFAULT_SLOTS
        self._estimate = float(DEFAULT_SLOTS)
        self._cold_since_s: float | None = None

    @property
    def current(self) -> int:
        """Returns the limit in force, at least 1."""
        limit = min(self._estimate, self._ceiling)
        if self._cold_since_s is not None:
            limit = min(limit, self._ramp(self._cold_since_s))
        return max(1, int(limit))

    @property
    def slots(self) -> int:
        """Returns how many it may hold, waiting for onward calls too."""
        return self._ceiling

    @property
    def expected_own_time_s(self) -> float:
        """Returns the own time of a request without congestion."""
        return 0.0

    def set_slow_start(self, slow_start_s: float) -> None:
        """Sets the ramp-up time of a cold upstream."""
        self._slow_start_s = slow_start_s

    def set_capacity(self, slots: int, connections: int) -> None:
        """Sets the announced bounds; a raised bound is used at once."""
        ceiling = max(1, min(slots, connections))
        if ceiling > self._ceiling or self._estimate > ceiling:
            self._estimate = float(ceiling)
        self._ceiling = ceiling

    def start_cold(self) -> None:
        """Begins a slow start."""
        self._cold_since_s = self._clock.now_s()

    @abc.abstractmethod
    def observe(
        self,
        own_time_s: float,
        working: int,
        completion: admission.Completion,
    ) -> None:
        """Learns from the end of a request.

        Args:
            own_time_s: Its time on the upstream, less onward calls.
            working: Requests that were worked on, it included.
            completion: How it ended.
        """

    def _ramp(self, since_s: float) -> float:
        elapsed_s = self._clock.now_s() - since_s
        if elapsed_s >= self._slow_start_s:
            self._cold_since_s = None
            return self._ceiling
        share = COLD_SHARE + (1 - COLD_SHARE) * elapsed_s / self._slow_start_s
        return self._ceiling * share


class StaticLimit(ConcurrencyLimit):
    """The announced bounds alone; a baseline for measurements."""

    def observe(
        self,
        own_time_s: float,
        working: int,
        completion: admission.Completion,
    ) -> None:
        """See base class."""


class _WindowedLimit(ConcurrencyLimit):
    """Averages own times over windows and keeps their baseline."""

    def __init__(self, clock: clocks.Clock, slow_start_s: float) -> None:
        super().__init__(clock, slow_start_s)
        self._baseline_s = math.inf
        self._window_began_s = clock.now_s()
        self._sum_s = 0.0
        self._samples = 0
        self._most_working = 0

    @property
    def expected_own_time_s(self) -> float:
        """See base class."""
        return self._baseline_s if self._baseline_s < math.inf else 0.0

    def observe(
        self,
        own_time_s: float,
        working: int,
        completion: admission.Completion,
    ) -> None:
        """See base class."""
        if not self._counts(own_time_s, completion):
            return
        self._sum_s += own_time_s
        self._samples += 1
        if working > self._most_working:
            self._most_working = working
        if self._samples >= WINDOW_SAMPLES:
            now_s = self._clock.now_s()
            if now_s - self._window_began_s >= WINDOW_S:
                self._end_window(now_s)

    def _counts(
        self, own_time_s: float, completion: admission.Completion
    ) -> bool:
        # A failure may be quick, or caused further down. A cancelled
        # request gives a lower bound, which only counts when it is high.
        if completion is admission.Completion.ANSWERED:
            return True
        if completion is admission.Completion.CANCELLED:
            return own_time_s > TOLERANCE * self._baseline_s
        return False

    def _end_window(self, now_s: float) -> None:
        mean_s = self._sum_s / self._samples
        self._follow_baseline(mean_s, now_s - self._window_began_s)
        grown = self._most_working >= USED_SHARE * self.current
        self._estimate = min(
            float(self._ceiling), max(1.0, self._adjust(mean_s, grown))
        )
        self._window_began_s = now_s
        self._sum_s = 0.0
        self._samples = 0
        self._most_working = 0

    def _follow_baseline(self, mean_s: float, elapsed_s: float) -> None:
        if self._baseline_s == math.inf:
            self._baseline_s = mean_s
            return
        if mean_s <= self._baseline_s:
            # Smoothed: the lowest of many noisy means would be too low.
            self._baseline_s += BASELINE_FALL * (mean_s - self._baseline_s)
            return
        rise_per_s = BASELINE_RISE_PER_S
        if (
            self._estimate <= self._floor()
            and mean_s > TOLERANCE * self._baseline_s
        ):
            # With hardly a request beside it, slow is what it now is.
            rise_per_s = BASELINE_CATCH_UP_PER_S
        risen_s = self._baseline_s * (1 + rise_per_s * elapsed_s)
        self._baseline_s = min(mean_s, risen_s)

    def _floor(self) -> float:
        return max(1.0, math.sqrt(self._ceiling))

    @abc.abstractmethod
    def _adjust(self, mean_s: float, used: bool) -> float:
        """Returns the new estimate after a window."""


class AimdLimit(_WindowedLimit):
    """Additive increase, multiplicative decrease; kept for comparison."""

    _STRONGEST_DECREASE = 0.5
    _INCREASE_SHARE = 0.05

    def _adjust(self, mean_s: float, used: bool) -> float:
        wanted = TOLERANCE * self._baseline_s / mean_s
        if wanted < 1.0:
            decrease = max(self._STRONGEST_DECREASE, wanted)
            return max(self._floor(), self._estimate * decrease)
        if not used:
            return self._estimate
        return self._estimate + max(1.0, self._ceiling * self._INCREASE_SHARE)


class GradientLimit(_WindowedLimit):
    """Scales the limit by the ratio of baseline to recent own time."""

    _SMOOTHING = 0.4
    _LOWEST_GRADIENT = 0.5

    def _adjust(self, mean_s: float, used: bool) -> float:
        gradient = TOLERANCE * self._baseline_s / mean_s
        gradient = max(self._LOWEST_GRADIENT, min(1.0, gradient))
        if gradient == 1.0 and not used:
            return self._estimate
        target = self._estimate * gradient + math.sqrt(self._estimate)
        smoothed = self._estimate + self._SMOOTHING * (target - self._estimate)
        return max(self._floor(), smoothed)


def make_limit(clock: clocks.Clock, slow_start_s: float) -> ConcurrencyLimit:
    """Returns the limit that nodes use."""
    return GradientLimit(clock, slow_start_s)
