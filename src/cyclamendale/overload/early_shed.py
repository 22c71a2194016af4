"""Interface of shedding at the entry, before any work is done."""

from __future__ import annotations

import abc

from cyclamendale import ids
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys


class EarlyShedder(abc.ABC):
    """Refuses root requests that an upstream would shed anyway."""

    @abc.abstractmethod
    def should_shed(
        self, route: ids.RouteName, shed_key: shed_keys.ShedKey
    ) -> bool:
        """Returns whether a root request is refused now."""

    @abc.abstractmethod
    def observe(
        self, route: ids.RouteName, answer_feedback: feedback.Feedback
    ) -> None:
        """Learns from the feedback of an answer or a refusal."""


class FairUseTracker(abc.ABC):
    """How far each customer is over its fair share of a service."""

    @abc.abstractmethod
    def record_request(
        self, customer: ids.CustomerId, route: ids.RouteName
    ) -> int:
        """Counts a root request; returns its over-share, 0 to 255."""
