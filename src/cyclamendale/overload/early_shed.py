"""Interfaces of load shedding at the entry node, before any work is done."""

from __future__ import annotations

import abc

from cyclamendale import ids
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys


class EarlyShedder(abc.ABC):
    """Refuses root requests that an upstream further down would shed."""

    @abc.abstractmethod
    def should_shed(
        self, route: ids.RouteName, shed_key: shed_keys.ShedKey
    ) -> bool:
        """Returns whether to refuse a root request."""

    @abc.abstractmethod
    def observe(
        self, route: ids.RouteName, answer_feedback: feedback.Feedback
    ) -> None:
        """Processes the feedback of an answer or a refusal."""


class FairUseTracker(abc.ABC):
    """Tracks how far each customer exceeds its fair share of a service."""

    @abc.abstractmethod
    def record_request(
        self, customer: ids.CustomerId, route: ids.RouteName
    ) -> int:
        """Records a root request; returns its over-share, 0 to 255."""
