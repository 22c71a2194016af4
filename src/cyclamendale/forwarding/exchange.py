"""One attempt of a call at one target, local or over the network."""

from __future__ import annotations

import abc

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys

CHUNK_BYTES = 64 * 1024
"""Largest piece of a body that is moved at once."""

UNKNOWN_LENGTH = -1
"""Length of a body whose end is not known in advance."""


class Envelope:
    """A request as it is sent to a target.

    Attributes:
        request: Id of the root request.
        customer: Whose request it is.
        route: Name of its route.
        importance: Importance of the root request.
        shed_key: Its place in the order of shedding.
        depth: Depth in the call tree.
        budget: Retries lent to the target.
        deadline_s: This node's clock time after which it is useless.
        head: Request line and headers, each line ended by CRLF, without
            framing headers and the final empty line.
        body: The whole body, or its first chunk.
        more: Whether further chunks follow by `push`.
        body_bytes: Length of the whole body, or `UNKNOWN_LENGTH`.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "budget",
        "customer",
        "deadline_s",
        "depth",
        "head",
        "importance",
        "more",
        "request",
        "route",
        "shed_key",
    )

    def __init__(
        self,
        request: ids.RequestId,
        customer: ids.CustomerId,
        route: ids.RouteName,
        importance: model.Importance,
        shed_key: shed_keys.ShedKey,
        depth: int,
        budget: int,
        deadline_s: float,
        head: bytes,
        body: bytes,
        more: bool,
        body_bytes: int,
    ) -> None:
        self.request = request
        self.customer = customer
        self.route = route
        self.importance = importance
        self.shed_key = shed_key
        self.depth = depth
        self.budget = budget
        self.deadline_s = deadline_s
        self.head = head
        self.body = body
        self.more = more
        self.body_bytes = body_bytes


class Answer:
    """Start of an upstream's answer.

    Attributes:
        status: HTTP status code.
        head: Header lines, each ended by CRLF, without framing headers.
        body: The whole body, or its first chunk.
        more: Whether further chunks are to be pulled.
        body_bytes: Length of the whole body, or `UNKNOWN_LENGTH`.
        unused_budget: Lent retries that come back (when not `more`).
        feedback: Load information of the target and its onward calls.
    """

    __slots__ = (
        "body",
        "body_bytes",
        "feedback",
        "head",
        "more",
        "status",
        "unused_budget",
    )

    def __init__(
        self,
        status: int,
        head: bytes,
        body: bytes,
        more: bool,
        body_bytes: int,
        unused_budget: int,
        answer_feedback: feedback.Feedback,
    ) -> None:
        self.status = status
        self.head = head
        self.body = body
        self.more = more
        self.body_bytes = body_bytes
        self.unused_budget = unused_budget
        self.feedback = answer_feedback


class Receiver(abc.ABC):
    """Caller's side of an attempt: what the target sends back.

    Exactly one of `answered`, `refused` and `lost` comes first. After an
    answer with more to come, chunks follow until the last one or `lost`.
    """

    @abc.abstractmethod
    def answered(self, answer: Answer) -> None:
        """The upstream answered."""

    @abc.abstractmethod
    def refused(
        self,
        refusal: refusals.Refusal,
        answer_feedback: feedback.Feedback | None,
        unused_budget: int,
    ) -> None:
        """The target refused, saying whether the request ran."""

    @abc.abstractmethod
    def chunk(self, data: bytes, last: bool, unused_budget: int) -> None:
        """The next chunk of the answer's body, after a `pull`."""

    @abc.abstractmethod
    def upload_requested(self) -> None:
        """The target is ready for the next chunk, or the first one.

        A body is not asked for before the request is handed over, so a
        refusal costs no transfer.
        """

    @abc.abstractmethod
    def lost(self, sent: bool) -> None:
        """The attempt broke off.

        Args:
            sent: Whether the request may have reached the target.
        """


class Exchange(abc.ABC):
    """Handle of one attempt in progress."""

    @abc.abstractmethod
    def pull(self) -> None:
        """Asks for the next chunk of the answer's body."""

    @abc.abstractmethod
    def push(self, data: bytes, last: bool) -> None:
        """Sends the next chunk of the request's body."""

    @abc.abstractmethod
    def cancel(self) -> bool:
        """Abandons the attempt; the receiver hears no more of it.

        Returns:
            Whether the request certainly was not and will not be run.
        """


class CallTransport(abc.ABC):
    """Way to the gate of a target."""

    @abc.abstractmethod
    def open(self, envelope: Envelope, receiver: Receiver) -> Exchange:
        """Starts an attempt."""
