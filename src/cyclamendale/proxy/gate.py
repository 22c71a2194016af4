"""Gate: the queue and connections in front of this host's upstream.

All requests to the upstream pass the gate. It forwards requests while the
upstream has free slots, queues others and refuses those that cannot be served
in time. Only the gate knows whether it forwarded a request, so a refusal that
states "not run" is reliable.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
from typing import Any

from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.overload import gate_queue
from cyclamendale.overload import pressure
from cyclamendale.overload import usable_slots
from cyclamendale.proxy import gate_run
from cyclamendale.proxy import header_names
from cyclamendale.proxy import limit_observer
from cyclamendale.proxy import messages
from cyclamendale.proxy import upstream_connection as connections
from cyclamendale.proxy import upstream_sender

SWEEP_INTERVAL_S = 0.1
"""Interval of the deadline check; it bounds how late a request times out."""

RESPONSE_GRACE_S = 0.25
"""How long after the deadline the gate waits for the upstream's response
before it closes the connection; upstreams respond with 504 at the deadline."""

MAX_CONSECUTIVE_TIMEOUTS = 4
"""Consecutive requests without a response after which the upstream is taken
to be lost until it announces itself again."""


class GateState(enum.Enum):
    """Whether the gate forwards requests, and if not, why."""

    UNKNOWN = "unknown"
    OPEN = "open"
    LEAVING = "leaving"
    LOST = "lost"


class Gate(messages.Runner):
    """Queue and connections in front of one upstream process.

    Attributes:
        state: Whether the gate forwards requests.
        on_run: Called with each request that is forwarded, if set.
        on_leaving: Called with the id of an upstream process that states in a
            response that it leaves.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        header_names: header_names.HeaderNames,
        log: Any,
        on_state_change: Callable[[], None],
        budget: buffer_budget.BufferBudget | None = None,
    ) -> None:
        self._clock = clock
        self._log = log
        self._on_state_change = on_state_change
        self._queue = gate_queue.make_gate_queue()
        self._limit_observer = limit_observer.LimitObserver(
            clock, self._queue, on_state_change, log
        )
        self._pressure = pressure.PressureControl(clock.now_s())
        self._refused_share = pressure.RefusedShare()
        self._sender = upstream_sender.UpstreamSender(
            reactor,
            clock,
            header_names,
            budget or buffer_budget.BufferBudget(),
        )
        self._runs: dict[gate_queue.Ticket, gate_run.GateRun] = {}
        self._consecutive_timeouts = 0
        self._slots = usable_slots.UsableSlots()
        self._timer: clocks.DelayedCall | None = None
        self._start_timer: clocks.DelayedCall | None = None
        self.state = GateState.UNKNOWN
        self.on_run: Callable[[messages.UpstreamRequest], None] | None = None
        self.on_leaving: Callable[[str], None] = lambda upstream_id: None

    def start(self) -> None:
        """Starts the deadline check."""
        self._timer = clocks.call_at_tick(
            self._clock, SWEEP_INTERVAL_S, self._sweep
        )

    def stop(self) -> None:
        """Refuses the queued requests and closes idle connections."""
        self.close(GateState.LEAVING)
        clocks.cancel(self._timer)
        clocks.cancel(self._start_timer)
        self._sender.close()

    # Changes that announcements cause.

    def open(
        self,
        upstream_id: str,
        service: ids.ServiceName,
        address: str,
        slots: int,
    ) -> None:
        """Opens the gate to a ready upstream; a new one replaces the old.

        Args:
            upstream_id: Id of the upstream process.
            service: Service that it runs.
            address: Address it listens on, `ip:port`.
            slots: Number of requests that it runs concurrently.
        """
        if self._sender.set_upstream(upstream_id, service, address):
            self._queue.replace_upstream()
            self._refused_share = pressure.RefusedShare()
            self._consecutive_timeouts = 0
        self._refuse_unsent_of_others()
        self._slots.announce(slots)
        self._queue.set_slots(slots)
        if self.state is not GateState.OPEN:
            self._consecutive_timeouts = 0
            self._set_state(GateState.OPEN)
            self._start_queued()

    def close(self, state: GateState) -> None:
        """Stops forwarding and refuses the queued requests."""
        if self.state is state:
            return
        self._set_state(state)
        for ticket in tuple(self._queue.drain()):
            self._refuse(ticket, self._closed_reason())

    # Queries and requests.

    @property
    def upstream_id(self) -> str:
        """Returns the id of the upstream process; empty if unknown."""
        return self._sender.upstream_id

    def load(self) -> gate_queue.GateLoad:
        """Returns the state of the queue."""
        return self._queue.load()

    @property
    def pressure(self) -> float:
        """Returns how strongly root requests should be shed."""
        return self._pressure.pressure

    @property
    def refused_share(self) -> float:
        """Returns the share of requests refused while slots were free."""
        return self._refused_share.share

    @property
    def in_flight(self) -> int:
        """Returns the number of requests without an outcome."""
        return len(self._runs)

    def run(
        self,
        request: messages.UpstreamRequest,
        receiver: messages.OutcomeReceiver,
    ) -> messages.Handle | None:
        """See base class."""
        now_s = self._clock.now_s()
        if (
            self.state is not GateState.OPEN
            or request.upstream_id not in ("", self.upstream_id)
            or request.service != self._sender.service
        ):
            receiver(refusals.Refusal(self._closed_reason()))
            return None
        ticket = gate_queue.Ticket(request, now_s)
        verdict = self._queue.submit(ticket, now_s)
        if verdict is gate_queue.Verdict.REFUSE:
            receiver(self._refusal(refusals.RefusalReason.QUEUE_FULL))
            return None
        run = gate_run.GateRun(
            self._cancel_run, ticket, self.upstream_id, receiver
        )
        self._runs[ticket] = run
        if verdict is gate_queue.Verdict.START:
            self._forward(run)
        else:
            self._schedule_start(now_s)
        return run

    def _cancel_run(self, run: gate_run.GateRun) -> None:
        """Cancels a request whose outcome is no longer needed."""
        ticket = run.ticket
        if self._queue.withdraw(ticket):
            self._runs.pop(ticket, None)
            return
        if not ticket.request.idempotent:
            # It runs to completion: a partial run could not be undone.
            return
        if run.lease is not None and ticket in self._runs:
            run.lease.cancel()
            self._finish_run(run, counts_service_time=False)

    # Forwarding and outcome.

    def _forward(self, run: gate_run.GateRun) -> None:
        if self.on_run is not None:
            self.on_run(run.ticket.request)
        self._sender.send(run, lambda result: self._on_result(run, result))

    def _on_result(
        self,
        run: gate_run.GateRun,
        result: connections.UpstreamResponse | connections.Failure,
    ) -> None:
        if isinstance(result, connections.UpstreamResponse):
            if self._sender.is_owner(run):
                self._observe(result)
            outcome = self._on_response(run, result)
        else:
            outcome = self._on_failure(run, result)
        self._finish_run(
            run,
            counts_service_time=isinstance(outcome, messages.Response)
            and outcome.status < 500,
        )
        if run.receiver is not None:
            run.receiver(outcome)

    def _on_response(
        self, run: gate_run.GateRun, response: connections.UpstreamResponse
    ) -> messages.Outcome:
        if not response.not_run and response.status != 421:
            return response
        self._log.decision(
            "upstream-refused",
            run.ticket.request.request_id,
            status=response.status,
            upstream=run.upstream_id,
        )
        return self._refusal(refusals.RefusalReason.UPSTREAM_REFUSED)

    def _observe(self, response: connections.UpstreamResponse) -> None:
        """Takes what a response tells of the current upstream process."""
        self._consecutive_timeouts = 0
        if response.status == 421:
            # Another process listens there; its announcement opens the gate.
            self.close(GateState.UNKNOWN)
            return
        self._limit_observer.observe(self.upstream_id, response)
        if response.is_leaving and self.state is GateState.OPEN:
            self.on_leaving(self.upstream_id)
        if not response.not_run:
            self._refused_share.record(False)
        elif response.status == 503:
            self._handle_overload_refusal()

    def _handle_overload_refusal(self) -> None:
        load = self._queue.load()
        if self._slots.back_off(load.in_service, load.capacity):
            self._queue.set_slots(self._slots.count)
        else:
            self._refused_share.record(True)

    def _on_failure(
        self, run: gate_run.GateRun, reason: connections.Failure
    ) -> messages.Outcome:
        request = run.ticket.request
        self._log.decision(
            "upstream-failed",
            request.request_id,
            failure=reason.value,
            upstream=run.upstream_id,
            age_s=round(self._clock.now_s() - run.ticket.arrived_s, 3),
        )
        if reason is connections.Failure.NOT_SENT:
            return refusals.Refusal(refusals.RefusalReason.NO_TARGET)
        if reason is connections.Failure.NOT_CONNECTED:
            if self._sender.is_owner(run):
                self.close(GateState.LOST)
            return refusals.Refusal(refusals.RefusalReason.NO_TARGET)
        return refusals.Refusal(
            refusals.RefusalReason.UPSTREAM_FAILED,
            refusals.Execution.UNKNOWN,
        )

    def _finish_run(
        self, run: gate_run.GateRun, counts_service_time: bool
    ) -> None:
        if self._runs.pop(run.ticket, None) is None:
            return
        self._queue.finish(run.ticket, self._clock.now_s(), counts_service_time)
        self._start_queued()

    def _start_queued(self) -> None:
        if self.state is not GateState.OPEN:
            return
        now_s = self._clock.now_s()
        for ticket in self._queue.pop_startable(now_s):
            self._forward(self._runs[ticket])
        self._schedule_start(now_s)

    def _schedule_start(self, now_s: float) -> None:
        """Starts the next request when the upstream's limit allows it."""
        delay_s = self._queue.next_start_in_s(now_s)
        if delay_s is None or self._start_timer is not None:
            return
        self._start_timer = self._clock.call_later(delay_s, self._start_due)

    def _start_due(self) -> None:
        self._start_timer = None
        self._start_queued()

    def _refuse(
        self, ticket: gate_queue.Ticket, reason: refusals.RefusalReason
    ) -> None:
        run = self._runs.pop(ticket, None)
        if run is not None and run.receiver is not None:
            run.receiver(self._refusal(reason))

    def _refuse_unsent_of_others(self) -> None:
        """Refuses requests that were admitted for an earlier upstream."""
        for run in tuple(self._runs.values()):
            if run.is_sent or self._sender.is_owner(run):
                continue
            reason = refusals.RefusalReason.NO_TARGET
            if run.lease is None:
                self._queue.withdraw(run.ticket)
                self._refuse(run.ticket, reason)
                continue
            run.lease.cancel()
            self._finish_run(run, counts_service_time=False)
            if run.receiver is not None:
                run.receiver(self._refusal(reason))

    def _closed_reason(self) -> refusals.RefusalReason:
        if self.state is GateState.LEAVING:
            return refusals.RefusalReason.LEAVING
        return refusals.RefusalReason.NO_TARGET

    def _refusal(self, reason: refusals.RefusalReason) -> refusals.Refusal:
        return refusals.Refusal(
            reason, retry_after_s=self._queue.expected_wait_s()
        )

    # Time-outs.

    def _sweep(self) -> None:
        self.start()
        now_s = self._clock.now_s()
        for ticket in tuple(self._queue.pop_expired(now_s)):
            self._refuse(ticket, refusals.RefusalReason.QUEUE_FULL)
        for run in tuple(self._runs.values()):
            ticket = run.ticket
            if (
                ticket.started_s is not None
                and now_s > ticket.request.deadline_s + RESPONSE_GRACE_S
            ):
                self._time_out(run)
        load = self._queue.load()
        self._pressure.update(load.wait_s, load.service_time_s, now_s)

    def _time_out(self, run: gate_run.GateRun) -> None:
        self._consecutive_timeouts += self._sender.is_owner(run)
        self._log.decision(
            "upstream-silent",
            run.ticket.request.request_id,
            upstream=run.upstream_id,
            in_a_row=self._consecutive_timeouts,
        )
        if run.lease is not None:
            run.lease.cancel()
        if (
            self._consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and self.state is GateState.OPEN
        ):
            self.close(GateState.LOST)
        self._finish_run(run, counts_service_time=False)
        if run.receiver is not None:
            run.receiver(refusals.make_lost_refusal())

    def _set_state(self, state: GateState) -> None:
        self._log.belief(
            "upstream-door",
            was=self.state.value,
            now=state.value,
            upstream=self.upstream_id,
        )
        self.state = state
        self._on_state_change()
