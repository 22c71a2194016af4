"""State of one attempt of a forwarded call at one target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cyclamendale import _http_constants
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.forwarding import exchange
from cyclamendale.overload import feedback as feedbacks

if TYPE_CHECKING:
    from cyclamendale.forwarding import forwarder

_TARGET_FAILURE_REASONS = frozenset(
    {
        refusals.RefusalReason.LOST,
        refusals.RefusalReason.NO_TARGET,
        refusals.RefusalReason.UPSTREAM_FAILED,
    }
)
"""Refusal reasons that count as a failure of the target itself.

A target that sheds or drains works as designed. If onward calls of a target
were late or failed, choosing another target does not help.
"""


class Attempt(exchange.Receiver):
    """One attempt at one target.

    Attributes:
        target: Node that the request is sent to.
        lent: Retries lent to the target.
        started_s: Clock time at which the attempt was sent.
        exchange: Handle of the attempt while it is in progress.
    """

    __slots__ = (
        "_answered",
        "_done",
        "_forwarding",
        "exchange",
        "lent",
        "started_s",
        "target",
    )

    def __init__(
        self,
        forwarding: forwarder.Forwarding,
        target: ids.NodeId,
        lent: int,
        started_s: float,
    ) -> None:
        self._forwarding = forwarding
        self._answered = False
        self._done = False
        self.target = target
        self.lent = lent
        self.started_s = started_s
        self.exchange: exchange.Exchange | None = None

    @property
    def is_done(self) -> bool:
        """Returns whether the attempt has ended."""
        return self._done

    def cancel(self, timed_out: bool = False) -> bool:
        """Abandons the attempt.

        The lent retries are not recovered unless the request certainly did
        not run.

        Args:
            timed_out: Whether to count the attempt as a failure of the
                target.

        Returns:
            Whether the request certainly was not and will not be run.
        """
        if self._done:
            return False
        handle = self._finish()
        not_run = handle is not None and handle.cancel()
        if not self._answered:
            self._forwarding.attempt_ended(
                self, self.lent if not_run else 0, not timed_out, None
            )
        return not_run

    def answered(self, answer: exchange.Answer) -> None:
        """See base class."""
        if self._done:
            return
        self._answered = True
        if not answer.more:
            self._finish()
        self._forwarding.attempt_ended(
            self, answer.unused_budget, True, answer.feedback
        )
        if answer.status < _http_constants.INTERNAL_SERVER_ERROR:
            self._forwarding.record_attempt_duration(self.started_s)
        self._forwarding.answered(self, answer)

    def refused(
        self,
        refusal: refusals.Refusal,
        answer_feedback: feedbacks.Feedback | None,
        unused_budget: int,
    ) -> None:
        """See base class."""
        if self._done:
            return
        self._finish()
        is_target_healthy = refusal.reason not in _TARGET_FAILURE_REASONS
        self._forwarding.attempt_ended(
            self, unused_budget, is_target_healthy, answer_feedback
        )
        self._forwarding.refused(self, refusal, answer_feedback)

    def chunk(self, data: bytes, last: bool, unused_budget: int) -> None:
        """See base class."""
        if self._done:
            return
        if last:
            self._finish()
            self._forwarding.return_unused_budget(self.lent, unused_budget)
        self._forwarding.chunk(self, data, last)

    def upload_requested(self) -> None:
        """See base class."""
        if not self._done:
            self._forwarding.upload_requested(self)

    def lost(self, sent: bool) -> None:
        """See base class."""
        if self._done:
            return
        self._finish()
        if self._answered:
            self._forwarding.answer_interrupted(self)
            return
        unused_budget = 0 if sent else self.lent
        self._forwarding.attempt_ended(self, unused_budget, False, None)
        reason = (
            refusals.RefusalReason.LOST
            if sent
            else refusals.RefusalReason.NO_TARGET
        )
        execution = (
            refusals.Execution.UNKNOWN if sent else refusals.Execution.NOT_RUN
        )
        self._forwarding.refused(
            self, refusals.Refusal(reason, execution), None
        )

    def _finish(self) -> exchange.Exchange | None:
        """Ends the attempt; drops the exchange to break the reference cycle."""
        self._done = True
        handle, self.exchange = self.exchange, None
        return handle
