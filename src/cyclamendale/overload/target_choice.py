"""Interface of load balancing among the targets of a service."""

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
        """Returns a target, or None if none is left."""

    @abc.abstractmethod
    def record_sent(self, target: ids.NodeId) -> None:
        """Records that a call was sent to `target`."""

    @abc.abstractmethod
    def record_answer(
        self,
        target: ids.NodeId,
        duration_s: float,
        succeeded: bool,
        answer_feedback: feedback.Feedback | None,
    ) -> None:
        """Records the end of a call that `record_sent` has recorded."""

    @abc.abstractmethod
    def record_leaving(self, target: ids.NodeId) -> None:
        """Records a refusal as leaving, before membership reports it."""
