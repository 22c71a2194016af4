"""Interface through which the filter chain checks customer quotas."""

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
        """Spends one token of a customer.

        Args:
            customer: The customer whose token is spent.
            deadline_s: Clock time after which a token is of no more use.

        Returns:
            None if a token was spent, a refusal if none is available, or a
            Deferred of either if tokens must be fetched first.
        """
