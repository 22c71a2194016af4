"""Interface of the choice among the targets of a service."""

from __future__ import annotations

import abc
from collections.abc import Collection

from cyclamendale import ids
from cyclamendale.membership import directory
from cyclamendale.overload import feedback


class TargetChooser(abc.ABC):
    """Chooses the node and upstream that a call is sent to."""

    @abc.abstractmethod
    def choose(
        self,
        service: ids.ServiceName,
        excluded: Collection[ids.NodeId],
    ) -> directory.Member | None:
        """Returns a target, or None when there is none left."""

    @abc.abstractmethod
    def record_sent(self, target: ids.NodeId) -> None:
        """Notes that a call was sent to `target`."""

    @abc.abstractmethod
    def record_answer(
        self,
        target: ids.NodeId,
        duration_s: float,
        succeeded: bool,
        answer_feedback: feedback.Feedback | None,
    ) -> None:
        """Notes the end of a call that was `sent`."""

    @abc.abstractmethod
    def record_leaving(self, target: ids.NodeId) -> None:
        """Notes that `target` takes no new work, before others tell."""
