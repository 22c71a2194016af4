"""When the own entry follows what the own upstream announces."""

from __future__ import annotations

from cyclamendale.membership import directory

BURST_CHANGES = 5.0
CHANGE_INTERVAL_S = 10.0
"""Mean time between two changes beyond the burst."""


class UpstreamDamper:
    """Holds back changes of an upstream that changes all the time.

    Every change is news for the whole cluster. That an upstream takes no
    more work is never held back.

    Attributes:
        announced: What the upstream announced last.
    """

    def __init__(
        self, announced: directory.Announcement | None, now_s: float
    ) -> None:
        self.announced = announced
        self._available_changes = BURST_CHANGES
        self._refilled_s = now_s

    def should_publish(
        self, published: directory.Announcement | None, now_s: float
    ) -> bool:
        """Returns whether to spread the announcement now.

        Args:
            published: What the own entry says at present.
            now_s: Clock time.
        """
        if self.announced == published:
            return False
        refill = (now_s - self._refilled_s) / CHANGE_INTERVAL_S
        self._available_changes = min(
            BURST_CHANGES, self._available_changes + refill
        )
        self._refilled_s = now_s
        if _is_ready(published) and not _is_ready(self.announced):
            return True
        if self._available_changes < 1:
            return False
        self._available_changes -= 1
        return True


def _is_ready(announced: directory.Announcement | None) -> bool:
    ready = directory.UpstreamState.READY
    return announced is not None and announced.state is ready
