"""Passive ejection of targets whose calls fail."""

from __future__ import annotations

FAILURES_IN_A_ROW = 5
"""Consecutive failures after which a target is ejected."""

FIRST_EJECTION_S = 1.0
"""Length of a first ejection; doubled when it fails again."""

LONGEST_EJECTION_S = 30.0

MOST_EJECTED_SHARE = 0.5
"""Share of a service's targets that may be ejected together."""


class TargetHealth:
    """Outcome history of one target, as seen by this node."""

    __slots__ = ("_ejection_s", "_failures", "ejected_until_s", "probing")

    def __init__(self) -> None:
        self._failures = 0
        self._ejection_s = FIRST_EJECTION_S
        self.ejected_until_s = 0.0
        self.probing = False

    def is_ejected(self, now_s: float) -> bool:
        """Returns whether calls avoid the target, but for one probe."""
        return now_s < self.ejected_until_s or self.probing

    def succeeded(self) -> None:
        """Notes a call that the target answered."""
        self._failures = 0
        self._ejection_s = FIRST_EJECTION_S
        self.ejected_until_s = 0.0
        self.probing = False

    def failed(self) -> bool:
        """Notes a failed call; returns whether to eject the target."""
        self._failures += 1
        return self.probing or self._failures >= FAILURES_IN_A_ROW

    def eject(self, now_s: float) -> None:
        """Keeps calls away for a while."""
        self.ejected_until_s = now_s + self._ejection_s
        self._ejection_s = min(LONGEST_EJECTION_S, 2 * self._ejection_s)
        self.probing = False


def may_eject(ejected: int, targets: int) -> bool:
    """Returns whether one more of the targets may be ejected."""
    return ejected + 1 <= targets * MOST_EJECTED_SHARE
