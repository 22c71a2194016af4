"""The caller's side of a node: from a whole request to its answer.

A request passes the chain of steps, is sent to the gate of a chosen
upstream, and is sent again where that is allowed and of use.
"""

from __future__ import annotations

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import routing
from cyclamendale.intents import model
from cyclamendale.overload import placement
from cyclamendale.proxy import calls
from cyclamendale.proxy import exchange as exchanges
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages
from cyclamendale.proxy import steps

SWEEP_S = 0.1
"""Time between two looks at deadlines; final answers are at most so late,
of the quarter of a second that the platform allows."""

MOST_OFFERS = 3
"""Gates that a request is offered to while none ran it. A refusal by a
gate sends nothing to an upstream, so it costs no retry budget."""

MOST_SENDS = 10
"""Sends of one request that reach an upstream, if all refuse it at random
without running it: where half are refused, one in a thousand is left."""

LEAST_LEFT_S = 0.02
"""Time left below which sending again is of no use."""

ROOT_RESERVE = 0.4
"""Part of the retry allowance that roots leave to onward calls: a caller
repeats a root by itself, but nobody else repeats an onward call, and one
repeat at the end of a chain saves those of the whole chain."""

NOT_READY_RETRY_S = 0.5
"""Retry-After of a node that does not know any configuration yet."""

RETRY_AFTER_SPREAD = (0.75, 1.25)
"""Factors on a computed Retry-After, against callers returning together."""

LEAST_RETRY_AFTER_S = 0.05


class Dispatcher(exchanges.Handler):
    """Handles the requests of callers and of the host's upstream."""

    def __init__(self, parts: calls.DispatcherParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._routing: routing.RoutingTable | None = None
        self._steps = steps.make_steps(parts)
        self._calls: set[calls.Call] = set()
        self._sweep: clocks.DelayedCall | None = None

    def start(self) -> None:
        """Begins to watch deadlines."""
        self._sweep = self._clock.call_later(SWEEP_S, self._look)

    def stop(self) -> None:
        """Ends the watch."""
        clocks.cancel(self._sweep)

    def configure(self, table: routing.RoutingTable) -> None:
        """Puts another configuration into force."""
        self._routing = table

    def limits(self) -> model.RequestLimits:
        """See base class."""
        if self._routing is None:
            return model.RequestLimits()
        return self._routing.configuration.limits

    def handle(self, exchange: exchanges.Exchange) -> None:
        """See base class."""
        call = calls.Call(exchange)
        table = self._routing
        if table is None:
            self._refuse(
                call,
                refusals.Refusal(
                    refusals.RefusalReason.NOT_READY,
                    retry_after_s=NOT_READY_RETRY_S,
                ),
            )
            return
        for step in self._steps:
            refusal = step.apply(call, table)
            if refusal is not None:
                self._refuse(call, refusal)
                return
        self._calls.add(call)
        exchange.cancel = lambda: self._caller_left(call)
        self._send(call)

    # Sending, and sending again.

    def _send(self, call: calls.Call) -> None:
        now_s = self._clock.now_s()
        work = call.work
        candidate = self._choose(call, now_s)
        if candidate is None:
            self._give_up(
                call, refusals.Refusal(refusals.RefusalReason.NO_TARGET)
            )
            return
        call.candidate = candidate
        call.tried = (*call.tried, candidate.host)
        work.upstream_id = candidate.upstream_id
        candidate.in_flight += 1
        runner = self._parts.runner(candidate.host)
        handle = runner.run(work, lambda outcome: self._ended(call, outcome))
        # The outcome may have come already, and with it another send.
        if handle is not None and call.candidate is candidate:
            call.handle = handle

    def _choose(
        self, call: calls.Call, now_s: float
    ) -> placement.Candidate | None:
        """Returns a host that was not tried, or else one that refused."""
        limit_s = call.deadline_s - now_s
        choose, service = self._parts.placement.choose, call.work.service
        found = None
        if len(call.reached) < call.route.max_attempts:
            found = choose(service, call.tried, limit_s, now_s)
        if found is None and call.refusing:
            found = choose(service, (), limit_s, now_s, call.refusing)
        return found

    def _ended(self, call: calls.Call, outcome: messages.Outcome) -> None:
        candidate = call.candidate
        assert candidate is not None
        candidate.ended()
        if call.is_over:
            return
        call.handle = None
        if isinstance(outcome, messages.Answer):
            self._answered(call, candidate, outcome)
        else:
            self._refused(call, candidate, outcome)

    def _answered(
        self,
        call: calls.Call,
        candidate: placement.Candidate,
        answer: messages.Answer,
    ) -> None:
        call.has_reached(candidate.host)
        call.may_have_run = True
        has_failed = answer.status >= 500
        candidate.outcome(has_failed, self._clock.now_s())
        if has_failed and self._should_repeat(call):
            self._parts.log.decision(
                "repeat",
                call.work.request_id,
                after_status=answer.status,
                host=candidate.host,
            )
            self._send(call)
            return
        self._finish(call)
        self._parts.observer.record_answer(
            call.work, answer.status, call.exchange.request.arrived_s
        )
        call.exchange.respond(answer.status, answer.lines, answer.body)

    def _refused(
        self,
        call: calls.Call,
        candidate: placement.Candidate,
        refusal: refusals.Refusal,
    ) -> None:
        now_s = self._clock.now_s()
        host = candidate.host
        if refusal.execution is not refusals.Execution.NOT_RUN:
            call.has_reached(host)
            call.may_have_run = True
            candidate.outcome(True, now_s)
            again = self._should_repeat(call)
        elif refusal.reason is refusals.RefusalReason.UPSTREAM_REFUSED:
            call.has_reached(host)
            call.refusing = (*call.refusing, host)
            candidate.penalty_until_s = now_s + _PENALTY_S[refusal.reason]
            candidate.outcome(True, now_s)
            again = self._should_repeat(call)
        else:
            call.offers += 1
            candidate.penalty_until_s = now_s + _PENALTY_S[refusal.reason]
            again = self._may_offer_again(call)
        self._parts.log.decision(
            "repeat" if again else "gave-up",
            call.work.request_id,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            host=candidate.host,
            offers=call.offers,
            sends=call.sends,
        )
        if again:
            self._send(call)
        else:
            self._give_up(call, refusal)

    def _may_offer_again(self, call: calls.Call) -> bool:
        return (
            call.offers < MOST_OFFERS
            and call.deadline_s - self._clock.now_s() > LEAST_LEFT_S
        )

    def _should_repeat(self, call: calls.Call) -> bool:
        work = call.work
        if call.may_have_run and not work.idempotent:
            return False
        if call.sends >= MOST_SENDS or not self._may_offer_again(call):
            return False
        if self._choose(call, self._clock.now_s()) is None:
            return False
        chain = self._parts.chain_of(work.route)
        reserve = ROOT_RESERVE if chain and not work.onward else 0.0
        return self._parts.retries.may_repeat(work.service, chain, reserve)

    # The end of a request.

    def _give_up(self, call: calls.Call, refusal: refusals.Refusal) -> None:
        """Answers with a refusal that is true of all sends together."""
        self._finish(call)
        if call.may_have_run and (
            refusal.execution is refusals.Execution.NOT_RUN
        ):
            refusal = refusals.lost()
        if call.customer is not None and not call.may_have_run:
            self._parts.quotas.refund(call.customer.name)
        self._refuse(call, refusal)

    def _refuse(self, call: calls.Call, refusal: refusals.Refusal) -> None:
        status = refusal.http_status
        lines = b""
        if status in (429, 503):
            lines = heads.line(
                b"Retry-After", b"%.3f" % self._retry_after_s(refusal)
            )
        request = call.exchange.request
        table = self._routing
        self._parts.observer.record_refusal(
            request,
            call.route.name if call.route else "",
            call.customer.name if call.customer else "",
            refusal,
            table.configuration.version if table else 0,
        )
        lines += heads.line(self._parts.dialect.request_id, request.request_id)
        call.exchange.respond(status, lines, b"")

    def _retry_after_s(self, refusal: refusals.Refusal) -> float:
        wait_s = refusal.retry_after_s
        if wait_s is None or wait_s <= 0:
            wait_s = LEAST_RETRY_AFTER_S * 2
        spread = self._parts.random.uniform(*RETRY_AFTER_SPREAD)
        return max(LEAST_RETRY_AFTER_S, wait_s * spread)

    def _finish(self, call: calls.Call) -> None:
        call.is_over = True
        self._calls.discard(call)
        call.exchange.cancel = None

    def _caller_left(self, call: calls.Call) -> None:
        if call.is_over:
            return
        self._finish(call)
        self._parts.observer.record_caller_left(call.work)
        if call.handle is not None and call.candidate is not None:
            call.candidate.ended()
            call.handle.cancel()
            call.handle = None

    def _look(self) -> None:
        self.start()
        now_s = self._clock.now_s()
        for call in tuple(self._calls):
            if now_s >= call.deadline_s and not call.is_over:
                self._time_out(call)

    def _time_out(self, call: calls.Call) -> None:
        # The gate gives up by itself at the same time; whether the
        # upstream had begun is not known here.
        self._finish(call)
        if call.handle is not None and call.candidate is not None:
            call.candidate.outcome(True, self._clock.now_s())
        self._refuse(
            call,
            refusals.Refusal(
                refusals.RefusalReason.DEADLINE, refusals.Execution.UNKNOWN
            ),
        )


_PENALTY_S = {reason: 0.3 for reason in refusals.RefusalReason} | {
    refusals.RefusalReason.LEAVING: 2.0,
    refusals.RefusalReason.NO_TARGET: 1.0,
    refusals.RefusalReason.QUEUE_FULL: 0.1,
}
"""How long a host is tried last after it refused; reports of the other
hosts correct it sooner."""
