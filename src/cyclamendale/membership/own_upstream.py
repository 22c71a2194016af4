"""Damping of frequent changes of the own upstream's announcement."""

from __future__ import annotations

from cyclamendale.membership import directory

BURST_CHANGES = 5.0
CHANGE_INTERVAL_S = 10.0
"""Mean time between published changes beyond the burst."""


class UpstreamDamper:
    """Limits how often changes of the own upstream are published.

    Each published change is gossiped to the whole cluster. The change of an
    upstream from ready to any other state is always published immediately.

    Attributes:
        announced: The latest announcement of the upstream.
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
        """Returns whether to publish the announcement now.

        Args:
            published: The announcement in the own entry.
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
