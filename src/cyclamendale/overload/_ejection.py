"""Outlier ejection of targets, based on the outcomes of their calls."""

from __future__ import annotations

CONSECUTIVE_FAILURES_TO_EJECT = 5
"""Consecutive failures after which a target is ejected."""

INITIAL_EJECTION_S = 1.0
"""Duration of the first ejection; doubles with each further one."""

MAX_EJECTION_S = 30.0

MAX_EJECTED_SHARE = 0.5
"""Share of a service's targets that may be ejected at the same time."""


class TargetHealth:
    """Outcome history of one target, as seen by this node."""

    __slots__ = (
        "_ejection_s",
        "_consecutive_failures",
        "ejected_until_s",
        "is_probing",
    )

    def __init__(self) -> None:
        self._consecutive_failures = 0
        self._ejection_s = INITIAL_EJECTION_S
        self.ejected_until_s = 0.0
        self.is_probing = False

    def is_ejected(self, now_s: float) -> bool:
        """Returns whether it is ejected, or its one probe is in flight."""
        return now_s < self.ejected_until_s or self.is_probing

    def record_success(self) -> None:
        """Records a successful call, which ends any ejection."""
        self._consecutive_failures = 0
        self._ejection_s = INITIAL_EJECTION_S
        self.ejected_until_s = 0.0
        self.is_probing = False

    def record_failure(self) -> bool:
        """Records a failed call; returns whether to eject the target."""
        self._consecutive_failures += 1
        return (
            self.is_probing
            or self._consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
        )

    def eject(self, now_s: float) -> None:
        """Ejects the target and doubles the duration of the next ejection."""
        self.ejected_until_s = now_s + self._ejection_s
        self._ejection_s = min(MAX_EJECTION_S, 2 * self._ejection_s)
        self.is_probing = False


def is_ejection_allowed(ejected_count: int, target_count: int) -> bool:
    """Returns whether one more target may be ejected."""
    return ejected_count + 1 <= target_count * MAX_EJECTED_SHARE
