"""Interface of admission control at the gate of one upstream."""

from __future__ import annotations

import abc
from collections.abc import Callable
import enum

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys


class Ticket:
    """A request at the gate, from arrival to completion.

    Attributes:
        customer: Customer that sent the request.
        shed_key: Its position in the shedding order.
        deadline_s: Clock time after which an answer is of no use.
        start: Called once when the request may be sent to the upstream.
        refuse: Called once instead of `start` if the request is refused.
        arrived_s: Clock time of arrival, set by `submit`.
        started_s: Clock time of the start, or None.
    """

    __slots__ = (
        "arrived_s",
        "customer",
        "deadline_s",
        "refuse",
        "shed_key",
        "start",
        "started_s",
    )

    def __init__(
        self,
        customer: ids.CustomerId,
        shed_key: shed_keys.ShedKey,
        deadline_s: float,
        start: Callable[[], None],
        refuse: Callable[[refusals.Refusal], None],
    ) -> None:
        self.customer = customer
        self.shed_key = shed_key
        self.deadline_s = deadline_s
        self.start = start
        self.refuse = refuse
        self.arrived_s = 0.0
        self.started_s: float | None = None


class Completion(enum.Enum):
    """How a started request ended, as input to the concurrency limit."""

    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Admission(abc.ABC):
    """Decides whether and when requests are sent to the upstream."""

    @abc.abstractmethod
    def submit(self, ticket: Ticket) -> None:
        """Accepts a request; calls its `start` or `refuse`, now or later."""

    @abc.abstractmethod
    def pause(self, ticket: Ticket) -> None:
        """Marks a started request as waiting for its onward calls only."""

    @abc.abstractmethod
    def resume(self, ticket: Ticket) -> None:
        """Marks a paused request as running; also called before `finish`."""

    @abc.abstractmethod
    def finish(
        self, ticket: Ticket, own_time_s: float, completion: Completion
    ) -> None:
        """Ends a started request.

        Args:
            ticket: The request.
            own_time_s: Its time on the upstream, excluding onward calls.
            completion: How it ended.
        """

    @abc.abstractmethod
    def withdraw(self, ticket: Ticket) -> bool:
        """Removes a waiting request; returns False if it has started."""

    @abc.abstractmethod
    def set_capacity(self, slots: int, connections: int) -> None:
        """Sets the capacity that the upstream announced."""

    @abc.abstractmethod
    def set_service(self, service: model.Service) -> None:
        """Applies the service's limits from the current configuration."""

    @abc.abstractmethod
    def close(self) -> None:
        """Refuses waiting and new requests as not run; started ones finish."""

    @abc.abstractmethod
    def reopen(self, cold: bool) -> None:
        """Accepts requests again, with slow start if `cold`."""

    @property
    @abc.abstractmethod
    def queued(self) -> int:
        """Returns the number of waiting requests."""

    @abc.abstractmethod
    def feedback(self) -> feedback.Feedback:
        """Returns the current shedding threshold and load."""
