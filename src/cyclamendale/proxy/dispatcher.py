"""Dispatching of caller requests: admission, target choice and retries.

A complete request passes the admission steps and is sent to the gate of a
chosen upstream. It is retried where a retry is allowed and can still succeed.
"""

from __future__ import annotations

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import routing
from cyclamendale.intents import model
from cyclamendale.overload import placement
from cyclamendale.proxy import dispatch_state
from cyclamendale.proxy import exchange as exchanges
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages
from cyclamendale.proxy import steps

SWEEP_INTERVAL_S = 0.1
"""Interval of the deadline check. It bounds how late a time-out response
is; the platform allows a quarter of a second."""

MAX_OFFERS = 3
"""Maximum number of gates that a request is offered to while none forwards
it. A refusal by a gate sends nothing to an upstream, so offering the request
again costs no retry budget."""

MAX_HELD_SHARE = 0.2
"""Share of its time after which a root that found a full queue is refused
rather than offered to another gate; its caller may still come back."""

MAX_SENDS = 10
"""Maximum number of sends of one request that reach an upstream. If they
refuse half of the requests at random, one in a thousand still fails."""

MIN_RETRY_TIME_S = 0.02
"""Remaining time below which a retry cannot succeed."""

ROOT_RETRY_RESERVE = 0.4
"""Share of the retry budget that root requests leave to onward calls. A
caller retries a root request by itself, but nobody else retries an onward
call, and one retry at the end of a call chain saves retries of the whole
chain."""

NOT_READY_RETRY_S = 0.5
"""Retry-After of a node that has no configuration yet."""

RETRY_AFTER_JITTER = (0.75, 1.25)
"""Range of the random factor on a Retry-After; it spreads the returns."""

MIN_RETRY_AFTER_S = 0.05


class Dispatcher(exchanges.Handler):
    """Handles the requests of callers and of this host's upstream."""

    def __init__(
        self, dependencies: dispatch_state.DispatcherDependencies
    ) -> None:
        self._dependencies = dependencies
        self._clock = dependencies.clock
        self._routing: routing.RoutingTable | None = None
        self._steps = steps.make_steps(dependencies)
        self._pending: set[dispatch_state.PendingRequest] = set()
        self._timer: clocks.DelayedCall | None = None

    def start(self) -> None:
        """Starts the deadline check."""
        self._timer = clocks.call_at_tick(
            self._clock, SWEEP_INTERVAL_S, self._sweep
        )

    def stop(self) -> None:
        """Stops the deadline check and answers all that is still pending."""
        clocks.cancel(self._timer)
        for pending in tuple(self._pending):
            if not pending.is_over:
                self._give_up(pending)

    def configure(self, table: routing.RoutingTable) -> None:
        """Replaces the routing table."""
        self._routing = table

    def limits(self) -> model.RequestLimits:
        """See base class."""
        if self._routing is None:
            return model.RequestLimits()
        return self._routing.configuration.limits

    def handle(self, exchange: exchanges.Exchange) -> None:
        """See base class."""
        pending = dispatch_state.PendingRequest(exchange)
        table = self._routing
        if table is None:
            self._refuse(
                pending,
                refusals.Refusal(
                    refusals.RefusalReason.NOT_READY,
                    retry_after_s=NOT_READY_RETRY_S,
                ),
            )
            return
        for step in self._steps:
            refusal = step.apply(pending, table)
            if refusal is not None:
                self._refuse(pending, refusal)
                return
        self._pending.add(pending)
        exchange.cancel = lambda: self._on_caller_disconnected(pending)
        if pending.customer is None:
            self._send(pending)
            return
        # After all other steps: no quota is spent on what they refuse.
        self._dependencies.quotas.request(
            pending.customer.name,
            lambda wait_s: self._on_permit(pending, wait_s),
        )

    def _on_permit(
        self, pending: dispatch_state.PendingRequest, wait_s: float | None
    ) -> None:
        assert pending.customer is not None
        name, quotas = pending.customer.name, self._dependencies.quotas
        if pending.is_over:
            if wait_s is None:
                quotas.refund(name)
        elif wait_s is None:
            self._send(pending)
        else:
            self._dependencies.observer.record_over_quota(
                pending.upstream_request, name, wait_s, quotas.get_state(name)
            )
            self._complete(pending)
            self._refuse(
                pending,
                refusals.Refusal(
                    refusals.RefusalReason.QUOTA, retry_after_s=wait_s
                ),
            )

    # Sending and retrying.

    def _send(self, pending: dispatch_state.PendingRequest) -> None:
        now_s = self._clock.now_s()
        upstream_request = pending.upstream_request
        candidate = self._choose(pending, now_s)
        if candidate is None:
            self._fail(
                pending, refusals.Refusal(refusals.RefusalReason.NO_TARGET)
            )
            return
        pending.candidate = candidate
        pending.tried = (*pending.tried, candidate.host)
        upstream_request.upstream_id = candidate.upstream_id
        candidate.in_flight += 1
        runner = self._dependencies.runner_for(candidate.host)
        handle = runner.run(
            upstream_request, lambda outcome: self._on_outcome(pending, outcome)
        )
        # The outcome may have arrived during the call and caused another send.
        if handle is not None and pending.candidate is candidate:
            pending.handle = handle

    def _choose(
        self, pending: dispatch_state.PendingRequest, now_s: float
    ) -> placement.Candidate | None:
        """Returns an untried host, or else one whose upstream refused."""
        limit_s = pending.deadline_s - now_s
        choose, service = (
            self._dependencies.placement.choose,
            pending.upstream_request.service,
        )
        chosen = None
        if len(pending.reached) < pending.route.max_attempts:
            chosen = choose(service, pending.tried, limit_s, now_s)
        if chosen is None and pending.refused_by:
            chosen = choose(service, (), limit_s, now_s, pending.refused_by)
        return chosen

    def _on_outcome(
        self, pending: dispatch_state.PendingRequest, outcome: messages.Outcome
    ) -> None:
        candidate = pending.candidate
        assert candidate is not None
        candidate.record_end()
        if pending.is_over:
            return
        pending.handle = None
        if isinstance(outcome, messages.Response):
            self._on_response(pending, candidate, outcome)
        else:
            self._on_refusal(pending, candidate, outcome)

    def _on_response(
        self,
        pending: dispatch_state.PendingRequest,
        candidate: placement.Candidate,
        response: messages.Response,
    ) -> None:
        pending.record_reached(candidate.host)
        pending.may_have_run = True
        is_server_error = response.status >= 500
        candidate.record_outcome(is_server_error, self._clock.now_s())
        if is_server_error and self._should_retry(pending):
            self._dependencies.log.decision(
                "repeat",
                pending.upstream_request.request_id,
                after_status=response.status,
                host=candidate.host,
            )
            self._send(pending)
            return
        self._complete(pending)
        self._dependencies.observer.record_answer(
            pending.upstream_request,
            response.status,
            pending.exchange.request.arrived_s,
        )
        pending.exchange.respond(
            response.status, response.header_lines, response.body
        )

    def _on_refusal(
        self,
        pending: dispatch_state.PendingRequest,
        candidate: placement.Candidate,
        refusal: refusals.Refusal,
    ) -> None:
        now_s = self._clock.now_s()
        host = candidate.host
        if refusal.execution is not refusals.Execution.NOT_RUN:
            pending.record_reached(host)
            pending.may_have_run = True
            candidate.record_outcome(True, now_s)
            should_retry = self._should_retry(pending)
        elif refusal.reason is refusals.RefusalReason.UPSTREAM_REFUSED:
            pending.record_reached(host)
            pending.refused_by = (*pending.refused_by, host)
            candidate.penalty_until_s = now_s + _PENALTY_S[refusal.reason]
            candidate.record_outcome(True, now_s)
            should_retry = self._should_retry(pending)
        else:
            pending.offers += 1
            candidate.penalty_until_s = now_s + _PENALTY_S[refusal.reason]
            should_retry = self._may_offer_again(pending) and not (
                refusal.reason is refusals.RefusalReason.QUEUE_FULL
                and self._was_held(pending, now_s)
            )
        self._dependencies.log.decision(
            "repeat" if should_retry else "gave-up",
            pending.upstream_request.request_id,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            host=candidate.host,
            offers=pending.offers,
            sends=pending.sends,
        )
        if should_retry:
            self._send(pending)
        else:
            self._fail(pending, refusal)

    def _may_offer_again(self, pending: dispatch_state.PendingRequest) -> bool:
        return (
            pending.offers < MAX_OFFERS
            and not self._dependencies.shutdown.has_ended
            and pending.deadline_s - self._clock.now_s() > MIN_RETRY_TIME_S
        )

    def _was_held(
        self, pending: dispatch_state.PendingRequest, now_s: float
    ) -> bool:
        arrived_s = pending.exchange.request.arrived_s
        max_held_s = MAX_HELD_SHARE * (pending.deadline_s - arrived_s)
        return (
            not pending.upstream_request.onward
            and now_s - arrived_s > max_held_s
        )

    def _should_retry(self, pending: dispatch_state.PendingRequest) -> bool:
        upstream_request = pending.upstream_request
        if pending.may_have_run and not upstream_request.idempotent:
            return False
        if pending.sends >= MAX_SENDS or not self._may_offer_again(pending):
            return False
        if self._choose(pending, self._clock.now_s()) is None:
            return False
        expected_calls = self._dependencies.expected_calls(
            upstream_request.route
        )
        reserve = (
            ROOT_RETRY_RESERVE
            if expected_calls and not upstream_request.onward
            else 0.0
        )
        return self._dependencies.retries.try_acquire(
            upstream_request.service, expected_calls, reserve
        )

    # Completion.

    def _fail(
        self, pending: dispatch_state.PendingRequest, refusal: refusals.Refusal
    ) -> None:
        """Responds with a refusal that holds for all sends of the request."""
        self._complete(pending)
        if pending.may_have_run and (
            refusal.execution is refusals.Execution.NOT_RUN
        ):
            refusal = refusals.make_lost_refusal()
        if pending.customer is not None and not pending.may_have_run:
            self._dependencies.quotas.refund(pending.customer.name)
        self._refuse(pending, refusal)

    def _refuse(
        self, pending: dispatch_state.PendingRequest, refusal: refusals.Refusal
    ) -> None:
        status = refusal.http_status
        header_lines = b""
        if status in (429, 503):
            header_lines = heads.line(
                b"Retry-After", b"%.3f" % self._retry_after_s(refusal)
            )
        request = pending.exchange.request
        table = self._routing
        self._dependencies.observer.record_refusal(
            request,
            pending.route.name if pending.route else "",
            pending.customer.name if pending.customer else "",
            refusal,
            table.configuration.version if table else 0,
        )
        header_lines += heads.line(
            self._dependencies.header_names.request_id, request.request_id
        )
        pending.exchange.respond(status, header_lines, b"")

    def _retry_after_s(self, refusal: refusals.Refusal) -> float:
        wait_s = refusal.retry_after_s
        if wait_s is None or wait_s <= 0:
            wait_s = MIN_RETRY_AFTER_S * 2
        spread = self._dependencies.random.uniform(*RETRY_AFTER_JITTER)
        return max(MIN_RETRY_AFTER_S, wait_s * spread)

    def _complete(self, pending: dispatch_state.PendingRequest) -> None:
        pending.is_over = True
        self._pending.discard(pending)
        pending.exchange.cancel = None

    def _give_up(self, pending: dispatch_state.PendingRequest) -> None:
        """Answers a request whose outcome this process will not learn."""
        pending.may_have_run |= pending.handle is not None
        self._cancel(pending)
        self._fail(pending, refusals.Refusal(refusals.RefusalReason.LEAVING))

    def _on_caller_disconnected(
        self, pending: dispatch_state.PendingRequest
    ) -> None:
        if pending.is_over:
            return
        self._complete(pending)
        self._dependencies.observer.record_caller_left(pending.upstream_request)
        self._cancel(pending)

    def _cancel(self, pending: dispatch_state.PendingRequest) -> None:
        if pending.handle is not None and pending.candidate is not None:
            pending.candidate.record_end()
            pending.handle.cancel()
            pending.handle = None

    def _sweep(self) -> None:
        self.start()
        now_s = self._clock.now_s()
        for pending in tuple(self._pending):
            if now_s >= pending.deadline_s and not pending.is_over:
                self._time_out(pending)

    def _time_out(self, pending: dispatch_state.PendingRequest) -> None:
        # The gate times out by itself. Whether the upstream ran it is unknown.
        self._complete(pending)
        if pending.handle is not None and pending.candidate is not None:
            pending.candidate.record_outcome(True, self._clock.now_s())
        pending.handle = None
        self._refuse(
            pending,
            refusals.Refusal(
                refusals.RefusalReason.DEADLINE, refusals.Execution.UNKNOWN
            ),
        )


_PENALTY_S = {reason: 0.3 for reason in refusals.RefusalReason} | {
    refusals.RefusalReason.LEAVING: 2.0,
    refusals.RefusalReason.NO_TARGET: 1.0,
    refusals.RefusalReason.QUEUE_FULL: 0.1,
}
"""How long a host is tried last after a refusal; reports of the other
hosts correct this sooner."""
