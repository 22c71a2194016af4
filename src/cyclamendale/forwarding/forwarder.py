"""Caller-side forwarding of one call: target choice, retries, hedges."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.forwarding import _attempt
from cyclamendale.forwarding import caller as callers
from cyclamendale.forwarding import exchange
from cyclamendale.forwarding import policy
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.overload import early_shed
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.overload import target_choice

if TYPE_CHECKING:
    from cyclamendale.entry import call as calls

DEADLINE_GRACE_S = 0.02
"""Wait after the deadline for a target to report whether the call ran."""

TransportFactory = Callable[[directory.Member], exchange.CallTransport]


class Forwarder:
    """Creates forwardings and holds the dependencies that they share."""

    def __init__(
        self,
        clock: clocks.Clock,
        chooser: target_choice.TargetChooser,
        shed: early_shed.EarlyShedder,
        retry_policy: policy.RetryPolicy,
        transport_for: TransportFactory,
    ) -> None:
        self.clock = clock
        self.chooser = chooser
        self.shed = shed
        self.policy = retry_policy
        self.transport_for = transport_for

    def forward(self, call: calls.Call, caller: callers.Caller) -> Forwarding:
        """Forwards a call that passed the filter chain."""
        forwarding = Forwarding(self, call, caller)
        forwarding.start()
        return forwarding


class Forwarding:
    """One forwarded call with all its attempts."""

    __slots__ = (
        "_attempts",
        "_call",
        "_caller",
        "_deadline_timer",
        "_excluded",
        "_hedge_timer",
        "_may_have_run",
        "_route",
        "_forwarder",
        "_upload_started",
        "_winning_attempt",
    )

    def __init__(
        self, forwarder: Forwarder, call: calls.Call, caller: callers.Caller
    ) -> None:
        assert call.route is not None
        self._forwarder = forwarder
        self._call = call
        self._caller = caller
        self._route = call.route
        self._attempts: set[_attempt.Attempt] = set()
        self._excluded: set[ids.NodeId] = set()
        self._winning_attempt: _attempt.Attempt | None = None
        self._may_have_run = False
        self._upload_started = False
        self._deadline_timer: clocks.DelayedCall | None = None
        self._hedge_timer: clocks.DelayedCall | None = None

    def start(self) -> None:
        """Sends the first attempt."""
        call = self._call
        clock = self._forwarder.clock
        reason = self._find_refusal_reason()
        if reason is not None:
            # A filter took so long that no caller waits for the answer now.
            call.ended = True
            self._caller.refuse(refusals.Refusal(reason))
            return
        call.on_cancel = self.cancel
        if call.parent is not None:
            call.parent.onward_call_started(clock.now_s())
            call.parent.onward_cancellers.add(self._cancel_and_refuse)
        self._deadline_timer = clock.call_later(
            max(0.0, call.deadline_s - clock.now_s()) + DEADLINE_GRACE_S,
            self._deadline_passed,
        )
        hedge_delay_s = self._forwarder.policy.record_call(self._route)
        if not self._send_attempt():
            self._refuse(refusals.Refusal(refusals.RefusalReason.NO_TARGET))
        elif hedge_delay_s is not None and not (call.ended or call.more):
            self._hedge_timer = clock.call_later(hedge_delay_s, self._hedge)

    def pull(self) -> None:
        """Requests the next part of the answer's body."""
        if (
            self._winning_attempt is not None
            and self._winning_attempt.exchange is not None
        ):
            self._winning_attempt.exchange.pull()

    def push(self, data: bytes, last: bool) -> None:
        """Sends the next part of the request's body."""
        for attempt in self._attempts:
            if attempt.exchange is not None:
                attempt.exchange.push(data, last)

    def cancel(self, timed_out: bool = False) -> bool:
        """Abandons the call without telling the caller.

        Args:
            timed_out: Whether to count the attempts as failures of their
                targets.

        Returns:
            Whether the call certainly was not and will not be run.
        """
        self._end()
        for attempt in self._take_attempts():
            if not attempt.cancel(timed_out):
                self._may_have_run = True
        return not self._may_have_run

    def fail(self, refusal: refusals.Refusal, timed_out: bool = False) -> None:
        """Cancels all attempts and ends the call with a refusal.

        An answer that has already started is aborted instead.

        Args:
            refusal: Refusal for the caller. Its execution becomes unknown
                if an attempt may have run.
            timed_out: Whether to count the attempts as failures of their
                targets.
        """
        if self._winning_attempt is not None:
            self._winning_attempt.cancel()
            self.answer_interrupted(self._winning_attempt)
            return
        self.cancel(timed_out)
        self._refuse(refusal)

    # Events reported by the attempts.

    def answered(
        self, attempt: _attempt.Attempt, answer: exchange.Answer
    ) -> None:
        """Handles the start of an attempt's answer."""
        self._record_feedback(answer.feedback)
        self._attempts.discard(attempt)
        if (
            not answer.more
            and self._forwarder.policy.is_retryable_status(answer.status)
            and self._route.idempotent
        ):
            self._may_have_run = True
            if self._attempts or self._retry(self._may_send_retry):
                return
        self._winning_attempt = attempt
        for other in self._take_attempts():
            other.cancel()
            self.record_attempt_duration(other.started_s)
        if answer.more:
            self._attempts.add(attempt)
        else:
            self._end()
        clocks.cancel(self._hedge_timer)
        self._caller.answer(answer)

    def refused(
        self,
        attempt: _attempt.Attempt,
        refusal: refusals.Refusal,
        answer_feedback: feedbacks.Feedback | None,
    ) -> None:
        """Handles the refusal of an attempt."""
        if answer_feedback is not None:
            self._record_feedback(answer_feedback)
        self._attempts.discard(attempt)
        if refusal.reason is refusals.RefusalReason.LEAVING:
            self._forwarder.chooser.record_leaving(attempt.target)
        if refusal.execution is refusals.Execution.UNKNOWN:
            self._may_have_run = True
        if self._attempts:
            return
        if self._is_retryable(refusal) and self._retry(self._may_send_retry):
            return
        self._refuse(refusal)

    def chunk(self, attempt: _attempt.Attempt, data: bytes, last: bool) -> None:
        """Passes a part of the answer's body to the caller."""
        if last:
            self._attempts.discard(attempt)
            self._end()
        self._caller.chunk(data, last)

    def upload_requested(self, attempt: _attempt.Attempt) -> None:
        """Requests the next part of the request's body from the caller."""
        if self._winning_attempt in (None, attempt) and not self._call.ended:
            self._upload_started = True
            self._caller.request_upload()

    def answer_interrupted(self, attempt: _attempt.Attempt) -> None:
        """Aborts an answer that has already started."""
        self._attempts.discard(attempt)
        self._end()
        self._caller.abort()

    # Attempts, retries and hedges.

    def _send_attempt(self) -> bool:
        """Sends one attempt; returns False if there is no target."""
        forwarder = self._forwarder
        call = self._call
        target = forwarder.chooser.choose(self._route.service, self._excluded)
        if target is None:
            return False
        self._excluded.add(target.node)
        assert call.budget is not None
        lent = call.budget.lend(
            forwarder.policy.amount_to_lend(call.budget.remaining)
        )
        attempt = _attempt.Attempt(
            self, target.node, lent, forwarder.clock.now_s()
        )
        self._attempts.add(attempt)
        forwarder.chooser.record_sent(target.node)
        handle = forwarder.transport_for(target).open(
            self._make_envelope(lent), attempt
        )
        if not attempt.is_done:
            attempt.exchange = handle
        if call.ended and attempt in self._attempts:
            # A callback ended the call before the handle was known.
            handle.cancel()
        return True

    def _make_envelope(self, lent: int) -> exchange.Envelope:
        call = self._call
        return exchange.Envelope(
            call.request,
            call.customer,
            self._route.name,
            self._root_importance(),
            call.shed_key,
            call.depth,
            lent,
            call.deadline_s,
            call.encode_head(),
            call.body,
            call.more,
            call.body_bytes,
        )

    def _root_importance(self) -> model.Importance:
        """Returns the importance of the root request."""
        parent = self._call.parent
        return parent.importance if parent else self._route.importance

    def _may_send_retry(self) -> bool:
        return self._forwarder.policy.may_retry(self._root_importance())

    def _is_retryable(self, refusal: refusals.Refusal) -> bool:
        if refusal.execution is refusals.Execution.NOT_RUN:
            return self._forwarder.policy.is_retryable_refusal(refusal.reason)
        return (
            self._route.idempotent
            and refusal.reason is not refusals.RefusalReason.DEADLINE
        )

    def _retry(self, is_allowed: Callable[[], bool]) -> bool:
        """Sends another attempt if upload, budget and deadline allow it.

        Args:
            is_allowed: Checks the node-wide limit. It is called last
                because it also counts the attempt.
        """
        call = self._call
        assert call.budget is not None
        if (
            self._upload_started
            or call.deadline_s <= self._forwarder.clock.now_s()
        ):
            return False
        if call.budget.remaining <= 0 or not is_allowed():
            return False
        call.budget.spend()
        if self._send_attempt():
            return True
        call.budget.take_back(1, 1)
        return False

    def _hedge(self) -> None:
        self._hedge_timer = None
        if (
            self._winning_attempt is None
            and not self._call.ended
            and self._attempts
        ):
            self._retry(lambda: self._forwarder.policy.may_hedge(self._route))

    # End of the call.

    def _refuse(self, refusal: refusals.Refusal) -> None:
        self._end()
        if self._may_have_run:
            refusal = refusals.Refusal(
                refusal.reason,
                refusals.Execution.UNKNOWN,
                refusal.decider,
                refusal.retry_after_s,
            )
        self._caller.refuse(refusal)

    def _deadline_passed(self) -> None:
        self._deadline_timer = None
        self.fail(refusals.Refusal(refusals.RefusalReason.DEADLINE), True)

    def _cancel_and_refuse(self) -> None:
        """Ends an onward call after its parent request was cancelled."""
        self.fail(refusals.Refusal(refusals.RefusalReason.CANCELLED))

    def _find_refusal_reason(self) -> refusals.RefusalReason | None:
        call = self._call
        if call.parent is not None and call.parent.ended:
            return refusals.RefusalReason.CANCELLED
        if call.deadline_s <= self._forwarder.clock.now_s():
            return refusals.RefusalReason.DEADLINE
        return None

    def _end(self) -> None:
        call = self._call
        if call.ended:
            return
        call.ended = True
        call.on_cancel = None
        # Breaks the reference cycle with the attempt; see `Call.release`.
        self._winning_attempt = None
        clocks.cancel(self._deadline_timer)
        clocks.cancel(self._hedge_timer)
        if call.parent is not None:
            call.parent.onward_call_ended(self._forwarder.clock.now_s())
            call.parent.onward_cancellers.discard(self._cancel_and_refuse)

    def _take_attempts(self) -> list[_attempt.Attempt]:
        attempts = list(self._attempts)
        self._attempts.clear()
        return attempts

    def _record_feedback(self, answer_feedback: feedbacks.Feedback) -> None:
        if self._call.parent is None:
            self._forwarder.shed.observe(self._route.name, answer_feedback)
        else:
            self._call.parent.onward_feedback.append(answer_feedback)

    def return_unused_budget(self, lent: int, unused_budget: int) -> None:
        """Takes back the unused budget of a streamed answer."""
        assert self._call.budget is not None
        self._call.budget.take_back(lent, unused_budget)

    def attempt_ended(
        self,
        attempt: _attempt.Attempt,
        unused_budget: int,
        succeeded: bool,
        answer_feedback: feedbacks.Feedback | None,
    ) -> None:
        """Takes back unused budget and reports the result to the chooser."""
        forwarder = self._forwarder
        assert self._call.budget is not None
        self._call.budget.take_back(attempt.lent, unused_budget)
        duration_s = forwarder.clock.now_s() - attempt.started_s
        forwarder.chooser.record_answer(
            attempt.target, duration_s, succeeded, answer_feedback
        )

    def record_attempt_duration(self, started_s: float) -> None:
        """Records how long an attempt took that answered or was superseded."""
        forwarder = self._forwarder
        forwarder.policy.record_duration(
            self._route, forwarder.clock.now_s() - started_s
        )
