"""Filter that refuses requests while the node has no configuration."""

from __future__ import annotations

from collections.abc import Callable

from cyclamendale import refusals
from cyclamendale.entry import call as calls
from cyclamendale.filters import base

RETRY_AFTER_S = 1.0


class ReadinessFilter(base.Filter):
    """Refuses every request until the node is ready."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def apply(self, call: calls.Call) -> base.Verdict:
        """See base class."""
        if self._is_ready():
            return None
        return refusals.Refusal(
            refusals.RefusalReason.NOT_READY, retry_after_s=RETRY_AFTER_S
        )
