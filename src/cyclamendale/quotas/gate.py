"""Interface through which the filter chain asks for quota."""

from __future__ import annotations

import abc

from twisted.internet import defer

from cyclamendale import ids
from cyclamendale import refusals


class QuotaGate(abc.ABC):
    """Admits root requests within their customer's rate and burst."""

    @abc.abstractmethod
    def admit(
        self, customer: ids.CustomerId, deadline_s: float
    ) -> refusals.Refusal | None | defer.Deferred[refusals.Refusal | None]:
        """Spends one token of `customer`.

        Args:
            customer: Whose token to spend.
            deadline_s: Clock time until which waiting for a token helps.

        Returns:
            None when a token was spent, a refusal when there is none, or
            a Deferred of either when tokens must be fetched first.
        """
