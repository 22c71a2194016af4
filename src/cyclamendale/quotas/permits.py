"""Interface through which requests draw on the quota of their customer."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TypeAlias

from cyclamendale import ids
from cyclamendale.quotas import bounds

PermitReceiver: TypeAlias = Callable[[float | None], None]
"""Callback that is called once: with None if the request is admitted, or with
the seconds after which to retry."""


class PermitSource(abc.ABC):
    """Source of permits for the requests of customers."""

    @abc.abstractmethod
    def request(self, name: ids.CustomerId, receiver: PermitReceiver) -> None:
        """Requests a permit for one request of a customer."""

    @abc.abstractmethod
    def refund(self, name: ids.CustomerId) -> None:
        """Returns the permit of a request that certainly did not run."""

    @abc.abstractmethod
    def get_state(self, name: ids.CustomerId) -> bounds.QuotaState | None:
        """Returns the quota for logging, if this host is a home of it."""
