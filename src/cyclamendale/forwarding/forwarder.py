"""Caller-side forwarding of one call: targets, retries and hedges."""

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
"""Wait beyond the deadline for a target's word on whether it ran."""

TransportFor = Callable[[directory.Member], exchange.CallTransport]


class Forwarder:
    """Starts forwardings; holds what they share."""

    def __init__(
        self,
        clock: clocks.Clock,
        chooser: target_choice.TargetChooser,
        shed: early_shed.EarlyShedder,
        retry_policy: policy.RetryPolicy,
        transport_for: TransportFor,
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
    """One call on its way to a target, with all its attempts."""

    __slots__ = (
        "_attempts",
        "_call",
        "_caller",
        "_deadline_timer",
        "_excluded",
        "_hedge_timer",
        "_maybe_run",
        "_route",
        "_shared",
        "_upload_begun",
        "_winner",
    )

    def __init__(
        self, shared: Forwarder, call: calls.Call, caller: callers.Caller
    ) -> None:
        assert call.route is not None
        self._shared = shared
        self._call = call
        self._caller = caller
        self._route = call.route
        self._attempts: set[_attempt.Attempt] = set()
        self._excluded: set[ids.NodeId] = set()
        self._winner: _attempt.Attempt | None = None
        self._maybe_run = False
        self._upload_begun = False
        self._deadline_timer: clocks.DelayedCall | None = None
        self._hedge_timer: clocks.DelayedCall | None = None

    def start(self) -> None:
        """Sends the first attempt."""
        call = self._call
        clock = self._shared.clock
        reason = self._useless_because()
        if reason is not None:
            # A filter took long: nobody waits for the answer any more.
            call.ended = True
            self._caller.refuse(refusals.Refusal(reason))
            return
        call.on_cancel = self.cancel
        if call.parent is not None:
            call.parent.onward_began(clock.now_s())
            call.parent.cancel_onward.add(self._cancel_and_refuse)
        self._deadline_timer = clock.call_later(
            max(0.0, call.deadline_s - clock.now_s()) + DEADLINE_GRACE_S,
            self._deadline_passed,
        )
        hedge_delay_s = self._shared.policy.call_sent(self._route)
        if not self._send_attempt():
            self._refuse(refusals.Refusal(refusals.RefusalReason.NO_TARGET))
        elif hedge_delay_s is not None and not (call.ended or call.more):
            self._hedge_timer = clock.call_later(hedge_delay_s, self._hedge)

    def pull(self) -> None:
        """Asks for the next part of the answer's body."""
        if self._winner is not None and self._winner.exchange is not None:
            self._winner.exchange.pull()

    def push(self, data: bytes, last: bool) -> None:
        """Sends the next part of the request's body."""
        for attempt in self._attempts:
            if attempt.exchange is not None:
                attempt.exchange.push(data, last)

    def cancel(self, timed_out: bool = False) -> bool:
        """Abandons the call: the caller is gone.

        Args:
            timed_out: Whether the targets are to blame.

        Returns:
            Whether the call certainly was not and will not be run.
        """
        self._end()
        for attempt in self._take_attempts():
            if not attempt.cancel(timed_out):
                self._maybe_run = True
        return not self._maybe_run

    def fail(self, refusal: refusals.Refusal, timed_out: bool = False) -> None:
        """Ends the call from this side.

        Args:
            refusal: What the caller is told, unless an answer has begun;
                whether the call ran is added.
            timed_out: Whether the targets are to blame.
        """
        if self._winner is not None:
            self._winner.cancel()
            self.broken(self._winner)
            return
        self.cancel(timed_out)
        self._refuse(refusal)

    # What attempts report.

    def answered(
        self, attempt: _attempt.Attempt, answer: exchange.Answer
    ) -> None:
        """Handles an answer of one attempt."""
        self._note_feedback(answer.feedback)
        self._attempts.discard(attempt)
        if (
            not answer.more
            and self._shared.policy.is_retryable_status(answer.status)
            and self._route.idempotent
        ):
            self._maybe_run = True
            if self._attempts or self._retry(self._may_retry_now):
                return
        self._winner = attempt
        for other in self._take_attempts():
            other.cancel()
            self.answer_took(other.started_s)
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
        """Handles a refusal of one attempt."""
        if answer_feedback is not None:
            self._note_feedback(answer_feedback)
        self._attempts.discard(attempt)
        if refusal.reason is refusals.RefusalReason.LEAVING:
            self._shared.chooser.record_leaving(attempt.target)
        if refusal.execution is refusals.Execution.UNKNOWN:
            self._maybe_run = True
        if self._attempts:
            return
        if self._may_retry(refusal) and self._retry(self._may_retry_now):
            return
        self._refuse(refusal)

    def chunk(self, attempt: _attempt.Attempt, data: bytes, last: bool) -> None:
        """Passes a part of the answer's body on."""
        if last:
            self._attempts.discard(attempt)
            self._end()
        self._caller.chunk(data, last)

    def pushed(self, attempt: _attempt.Attempt) -> None:
        """Asks the caller for the next part of the request's body."""
        if self._winner in (None, attempt) and not self._call.ended:
            self._upload_begun = True
            self._caller.next_upload()

    def broken(self, attempt: _attempt.Attempt) -> None:
        """Breaks an answer off that had already begun."""
        self._attempts.discard(attempt)
        self._end()
        self._caller.abort()

    # Attempts, retries and hedges.

    def _send_attempt(self) -> bool:
        """Sends one attempt; False when there is no target."""
        shared = self._shared
        call = self._call
        target = shared.chooser.choose(self._route.service, self._excluded)
        if target is None:
            return False
        self._excluded.add(target.node)
        assert call.budget is not None
        lent = call.budget.lend(
            shared.policy.amount_to_lend(call.budget.remaining)
        )
        attempt = _attempt.Attempt(
            self, target.node, lent, shared.clock.now_s()
        )
        self._attempts.add(attempt)
        shared.chooser.record_sent(target.node)
        handle = shared.transport_for(target).open(
            self._envelope(lent), attempt
        )
        if not attempt.is_done:
            attempt.exchange = handle
        if call.ended and attempt in self._attempts:
            # Ended by a callback before there was a handle to cancel.
            handle.cancel()
        return True

    def _envelope(self, lent: int) -> exchange.Envelope:
        call = self._call
        return exchange.Envelope(
            call.request,
            call.customer,
            self._route.name,
            self._importance(),
            call.shed_key,
            call.depth,
            lent,
            call.deadline_s,
            call.head_bytes(),
            call.body,
            call.more,
            call.body_bytes,
        )

    def _importance(self) -> model.Importance:
        """Returns the importance of the root request."""
        parent = self._call.parent
        return parent.importance if parent else self._route.importance

    def _may_retry_now(self) -> bool:
        return self._shared.policy.may_retry(self._importance())

    def _may_retry(self, refusal: refusals.Refusal) -> bool:
        if refusal.execution is refusals.Execution.NOT_RUN:
            return self._shared.policy.is_retryable_refusal(refusal.reason)
        return (
            self._route.idempotent
            and refusal.reason is not refusals.RefusalReason.DEADLINE
        )

    def _retry(self, is_allowed: Callable[[], bool]) -> bool:
        """Sends a further attempt if body, budget and time allow it.

        Args:
            is_allowed: Node-wide permission, asked last.
        """
        call = self._call
        assert call.budget is not None
        if self._upload_begun or call.deadline_s <= self._shared.clock.now_s():
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
        if self._winner is None and not self._call.ended and self._attempts:
            self._retry(lambda: self._shared.policy.may_hedge(self._route))

    # The end.

    def _refuse(self, refusal: refusals.Refusal) -> None:
        self._end()
        if self._maybe_run:
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
        """Ends an onward call whose parent request was cancelled."""
        self.fail(refusals.Refusal(refusals.RefusalReason.CANCELLED))

    def _useless_because(self) -> refusals.RefusalReason | None:
        call = self._call
        if call.parent is not None and call.parent.ended:
            return refusals.RefusalReason.CANCELLED
        if call.deadline_s <= self._shared.clock.now_s():
            return refusals.RefusalReason.DEADLINE
        return None

    def _end(self) -> None:
        call = self._call
        if call.ended:
            return
        call.ended = True
        call.on_cancel = None
        # Attempts refer to this object; see `Call.release`.
        self._winner = None
        clocks.cancel(self._deadline_timer)
        clocks.cancel(self._hedge_timer)
        if call.parent is not None:
            call.parent.onward_ended(self._shared.clock.now_s())
            call.parent.cancel_onward.discard(self._cancel_and_refuse)

    def _take_attempts(self) -> list[_attempt.Attempt]:
        attempts = list(self._attempts)
        self._attempts.clear()
        return attempts

    def _note_feedback(self, answer_feedback: feedbacks.Feedback) -> None:
        if self._call.parent is None:
            self._shared.shed.observe(self._route.name, answer_feedback)
        else:
            self._call.parent.met.append(answer_feedback)

    def give_back(self, lent: int, unused_budget: int) -> None:
        """Takes unused budget of a streamed answer back."""
        assert self._call.budget is not None
        self._call.budget.take_back(lent, unused_budget)

    def attempt_ended(
        self,
        attempt: _attempt.Attempt,
        unused_budget: int,
        succeeded: bool,
        answer_feedback: feedbacks.Feedback | None,
    ) -> None:
        """Takes unused budget back and tells the target choice."""
        shared = self._shared
        assert self._call.budget is not None
        self._call.budget.take_back(attempt.lent, unused_budget)
        duration_s = shared.clock.now_s() - attempt.started_s
        shared.chooser.record_answer(
            attempt.target, duration_s, succeeded, answer_feedback
        )

    def answer_took(self, started_s: float) -> None:
        """Learns how long an attempt took that answered or lost."""
        shared = self._shared
        shared.policy.took(self._route, shared.clock.now_s() - started_s)
