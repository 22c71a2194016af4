"""Interfaces and messages of one attempt at a local or remote target."""

from __future__ import annotations

import abc

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys

CHUNK_BYTES = 64 * 1024
"""Maximum size of a body chunk."""

UNKNOWN_LENGTH = -1
"""Value of `body_bytes` for a body of unknown length."""


class Envelope:
    """A request as it is sent to a target.

    Attributes:
        request: Id of the root request.
        customer: Customer on whose behalf the request runs.
        route: Name of its route.
        importance: Importance of the root request.
        shed_key: Position of the request in the shedding order.
        depth: Depth in the call tree.
        budget: Retries lent to the target.
        deadline_s: Time on this node's clock after which an answer is no
            longer of use.
        head: Request line and headers, each line ended by CRLF, without
            framing headers and the final empty line.
        body: The whole body, or its first chunk.
        more: Whether further chunks are sent with `push`.
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
    """Head and first body chunk of an upstream's answer.

    Attributes:
        status: HTTP status code.
        head: Header lines, each ended by CRLF, without framing headers.
        body: The whole body, or its first chunk.
        more: Whether further chunks are requested with `pull`.
        body_bytes: Length of the whole body, or `UNKNOWN_LENGTH`.
        unused_budget: Lent retries that were not used. Set when `more` is
            false; otherwise they come with the last chunk.
        feedback: Load reported by the target and by its onward calls.
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
    """Receives the events of one attempt on the caller's side.

    Exactly one of `answered`, `refused` and `lost` is called first. After an
    answer with `more` set, `chunk` is called until the last chunk, or `lost`.
    """

    @abc.abstractmethod
    def answered(self, answer: Answer) -> None:
        """Handles the start of the upstream's answer."""

    @abc.abstractmethod
    def refused(
        self,
        refusal: refusals.Refusal,
        answer_feedback: feedback.Feedback | None,
        unused_budget: int,
    ) -> None:
        """Handles a refusal, which states whether the request ran."""

    @abc.abstractmethod
    def chunk(self, data: bytes, last: bool, unused_budget: int) -> None:
        """Handles the chunk of the answer's body requested by `pull`."""

    @abc.abstractmethod
    def upload_requested(self) -> None:
        """Handles the target's request for the next chunk of the body.

        The target requests no chunk before it hands the request over to
        its upstream, so a refused request transfers no body beyond that in
        its envelope.
        """

    @abc.abstractmethod
    def lost(self, sent: bool) -> None:
        """Handles an attempt that broke off without a complete answer.

        Args:
            sent: Whether the request may have reached the target.
        """


class Exchange(abc.ABC):
    """Handle of one attempt in progress."""

    @abc.abstractmethod
    def pull(self) -> None:
        """Requests the next chunk of the answer's body."""

    @abc.abstractmethod
    def push(self, data: bytes, last: bool) -> None:
        """Sends the next chunk of the request's body."""

    @abc.abstractmethod
    def cancel(self) -> bool:
        """Abandons the attempt; the receiver is not called any more.

        Returns:
            Whether the request certainly was not and will not be run.
        """


class CallTransport(abc.ABC):
    """Opens exchanges with the gate of one target."""

    @abc.abstractmethod
    def open(self, envelope: Envelope, receiver: Receiver) -> Exchange:
        """Sends a request and returns the handle of the attempt."""
