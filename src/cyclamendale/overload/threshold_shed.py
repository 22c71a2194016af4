"""Load shedding at the entry node, by thresholds learned from answers."""

from __future__ import annotations

import bisect
import collections
from collections.abc import Iterable
import math
import random as random_module

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.overload import early_shed
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys

THRESHOLD_MAX_AGE_S = 1.0
"""Age at which a threshold expires."""

MAX_THRESHOLDS = 24
"""Recent thresholds kept for each route."""

REFRESH_INTERVAL_S = 0.05
"""Interval between two evaluations of the recent thresholds."""

RECENT_ARRIVALS = 256
"""Latest arrivals kept as a sample of the demand."""

RISE_PER_S = 2.3
"""Growth exponent of the admitted demand per second."""

MAX_GROWTH_EXPONENT = 10.0

PROBE_SHARE = 0.01
"""Share of the requests to shed that are admitted as probes."""

MAX_PROBE_INTERVAL_S = 0.5
"""Maximum time between probes while requests are shed."""

AGREEMENT_SHARE = 0.5
"""Share of the recent thresholds that must exclude a request."""


def combine(
    own: feedback.Feedback, onward_feedback: Iterable[feedback.Feedback]
) -> feedback.Feedback:
    """Combines the feedback of a gate with that of its onward calls.

    Args:
        own: Feedback of the gate that the request passed.
        onward_feedback: Feedback of the onward calls made for this request.
    """
    threshold = own.threshold
    for onward in onward_feedback:
        if onward.threshold < threshold:
            threshold = onward.threshold
    if threshold is own.threshold:
        return own
    return feedback.Feedback(threshold, own.load)


class _RouteThreshold:
    __slots__ = ("probed_s", "refreshed_s", "recent_thresholds", "threshold")

    def __init__(self, now_s: float) -> None:
        self.recent_thresholds: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=MAX_THRESHOLDS)
        )
        self.threshold: int = shed_keys.MAX_SHED_KEY
        self.refreshed_s = now_s
        self.probed_s = now_s

    def refresh(self, now_s: float, recent_keys: Iterable[int]) -> None:
        """Updates the threshold to the one on which enough answers agree.

        Args:
            now_s: Clock time.
            recent_keys: Sample of the shed keys of arriving requests.
        """
        recent_thresholds = self.recent_thresholds
        while (
            recent_thresholds
            and now_s - recent_thresholds[0][0] > THRESHOLD_MAX_AGE_S
        ):
            recent_thresholds.popleft()
        agreed: int = shed_keys.MAX_SHED_KEY
        if recent_thresholds:
            thresholds = sorted(threshold for _, threshold in recent_thresholds)
            agreed = thresholds[int(AGREEMENT_SHARE * (len(thresholds) - 1))]
            if agreed > self.threshold:
                limited = self._limit_rise(now_s, sorted(recent_keys))
                agreed = min(agreed, limited)
        self.threshold = agreed
        self.refreshed_s = now_s

    def _limit_rise(self, now_s: float, demand: list[int]) -> int:
        # Gates notice added load with a delay. A threshold that jumps up
        # would overload them until then.
        admitted = bisect.bisect_right(demand, self.threshold)
        elapsed_s = now_s - self.refreshed_s
        growth = math.exp(min(MAX_GROWTH_EXPONENT, RISE_PER_S * elapsed_s))
        admitted = max(admitted + 1, int(admitted * growth))
        if admitted >= len(demand):
            return shed_keys.MAX_SHED_KEY
        return demand[admitted]


class ThresholdShedder(early_shed.EarlyShedder):
    """Sheds roots above the threshold reported by their route's answers.

    An answer covers only the onward calls of its own request, so a gate
    that few requests of a route reach does not decide for all of them.
    """

    def __init__(
        self, clock: clocks.Clock, random: random_module.Random
    ) -> None:
        self._clock = clock
        self._random = random
        self._routes: dict[ids.RouteName, _RouteThreshold] = {}
        self._recent_keys: collections.deque[int] = collections.deque(
            maxlen=RECENT_ARRIVALS
        )

    def should_shed(
        self, route: ids.RouteName, shed_key: shed_keys.ShedKey
    ) -> bool:
        """See base class."""
        self._recent_keys.append(shed_key)
        state = self._routes.get(route)
        if state is None:
            return False
        now_s = self._clock.now_s()
        if now_s - state.refreshed_s >= REFRESH_INTERVAL_S:
            state.refresh(now_s, self._recent_keys)
        if shed_key <= state.threshold:
            return False
        if (
            now_s - state.probed_s >= MAX_PROBE_INTERVAL_S
            or self._random.random() < PROBE_SHARE
        ):
            state.probed_s = now_s
            return False
        return True

    def observe(
        self, route: ids.RouteName, answer_feedback: feedback.Feedback
    ) -> None:
        """See base class."""
        now_s = self._clock.now_s()
        state = self._routes.get(route)
        if state is None:
            state = self._routes[route] = _RouteThreshold(now_s)
        state.recent_thresholds.append((now_s, answer_feedback.threshold))


def make_early_shedder(
    clock: clocks.Clock, random: random_module.Random
) -> early_shed.EarlyShedder:
    """Returns the early shedder of one node."""
    return ThresholdShedder(clock, random)
