"""Attempts that stay open until the test answers them."""

from __future__ import annotations

from cyclamendale import refusals
from cyclamendale.forwarding import exchange
from cyclamendale.overload import feedback


class HeldTransport(exchange.CallTransport):
    """Transport that opens attempts with the given function."""

    def __init__(self, open_):
        self.open = open_

    def open(self, envelope, receiver):
        """See base class; the constructor replaces this method."""


class HeldExchange(exchange.Exchange):
    """Attempt that stays open until the test answers it.

    Attributes:
        never_sent: What `cancel` returns: whether nothing was sent.
        pushes: Data pushed and whether it was the last, in order.
        pulls: Number of pulls.
    """

    def __init__(self, envelope, receiver, never_sent):
        self.envelope = envelope
        self.receiver = receiver
        self.never_sent = never_sent
        self.cancelled = False
        self.pushes = []
        self.pulls = 0

    def pull(self):
        self.pulls += 1

    def push(self, data, last):
        self.pushes.append((data, last))

    def cancel(self):
        self.cancelled = True
        return self.never_sent

    def answer(self, status=200, more=False, unused=0, body=b"", body_bytes=-1):
        self.receiver.answered(
            exchange.Answer(
                status,
                b"",
                body,
                more,
                body_bytes,
                unused,
                feedback.Feedback(),
            )
        )

    def refuse(
        self,
        reason=refusals.RefusalReason.LEAVING,
        execution=refusals.Execution.NOT_RUN,
    ):
        self.receiver.refused(
            refusals.Refusal(reason, execution), None, self.envelope.budget
        )
