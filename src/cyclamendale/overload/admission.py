"""Interface of the gate's admission decision at one upstream."""

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
    """One request at the gate, from arrival to its end.

    Attributes:
        customer: Whose request it is.
        shed_key: Its place in the order of shedding.
        deadline_s: Clock time after which its answer is useless.
        start: Called once when the request may be handed over.
        refuse: Called once instead of `start` when it may not.
        arrived_s: Clock time of arrival, set by `submit`.
        started_s: Clock time of hand-over, or None.
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
    """How a handed-over request ended, as the limit sees it."""

    ANSWERED = "answered"
    FAILED = "failed"
    CANCELLED = "cancelled"


class Admission(abc.ABC):
    """Decides when, and whether, requests are handed to the upstream."""

    @abc.abstractmethod
    def submit(self, ticket: Ticket) -> None:
        """Takes a request; calls its `start` or `refuse`, now or later."""

    @abc.abstractmethod
    def pause(self, ticket: Ticket) -> None:
        """Notes that a started request only waits for onward calls."""

    @abc.abstractmethod
    def resume(self, ticket: Ticket) -> None:
        """Notes that a paused request goes on; also before `finish`."""

    @abc.abstractmethod
    def finish(
        self, ticket: Ticket, own_time_s: float, completion: Completion
    ) -> None:
        """Ends a started request.

        Args:
            ticket: The request.
            own_time_s: Its time on the upstream, less onward calls.
            completion: How it ended.
        """

    @abc.abstractmethod
    def withdraw(self, ticket: Ticket) -> bool:
        """Takes a waiting request out; False when it already started."""

    @abc.abstractmethod
    def set_capacity(self, slots: int, connections: int) -> None:
        """Sets the announced bounds of the upstream."""

    @abc.abstractmethod
    def set_service(self, service: model.Service) -> None:
        """Takes the service's limits as the configuration now has them."""

    @abc.abstractmethod
    def close(self) -> None:
        """Refuses waiting and new requests as not run; others finish."""

    @abc.abstractmethod
    def reopen(self, cold: bool) -> None:
        """Takes requests again, with slow start when `cold`."""

    @property
    @abc.abstractmethod
    def queued(self) -> int:
        """Returns how many requests wait to be started."""

    @abc.abstractmethod
    def feedback(self) -> feedback.Feedback:
        """Returns the current threshold and load."""
