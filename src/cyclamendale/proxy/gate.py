"""The only way to the host's own upstream.

The gate hands requests over while the upstream has room, lets others wait
and refuses what cannot be served. Only the gate knows whether a request
was handed over, so its "not run" is true by construction.
"""

from __future__ import annotations

from collections.abc import Callable
import enum
import math
from typing import Any

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.overload import gate_queue
from cyclamendale.overload import pressure
from cyclamendale.proxy import dialect as dialects
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages
from cyclamendale.proxy import upstream_connection as connections
from cyclamendale.proxy import upstream_pool

SWEEP_S = 0.1
"""Time between two looks at deadlines; a request is given up at most so
much late, and each look costs a wake-up of the process."""

ANSWER_GRACE_S = 0.25
"""How long behind the deadline the upstream's own answer is waited for
before the connection is given up; upstreams answer 504 at the deadline."""

LOST_IN_A_ROW = 4
"""Requests without any answer, one after the other, after which a silent
upstream is taken to be gone until it is heard of again."""

LEAST_HANDED_S = 0.002
"""Time left below which a request is not handed over any more."""

REFUSED_LIMIT_SHARE = 0.95
"""Factor on the slots used after the upstream refused for lack of room."""

FULL_SHARE = 0.7
"""Part of the slots in use from which a refusal is taken for lack of room;
an upstream that refuses with fewer in work does so at random."""

LEAST_SLOTS_SHARE = 0.5
"""Part of the announced slots that is always used."""


class Door(enum.Enum):
    """Whether the upstream gets new requests."""

    UNKNOWN = "unknown"
    OPEN = "open"
    LEAVING = "leaving"
    LOST = "lost"


class _Run(messages.Handle):
    """One request at the gate."""

    __slots__ = ("gate", "lease", "receiver", "ticket")

    def __init__(
        self,
        gate: Gate,
        ticket: gate_queue.Ticket,
        receiver: messages.OutcomeReceiver,
    ) -> None:
        self.gate = gate
        self.ticket = ticket
        self.receiver: messages.OutcomeReceiver | None = receiver
        self.lease: upstream_pool.Lease | None = None

    def cancel(self) -> None:
        """See base class."""
        self.receiver = None
        self.gate.cancelled(self)


class Gate(messages.Runner):
    """Queue and connections in front of one upstream process.

    Attributes:
        door: Whether the upstream gets new requests.
        upstream_id: Id of the upstream process; empty if unknown.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        dialect: dialects.Dialect,
        log: Any,
        on_door: Callable[[], None],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._dialect = dialect
        self._log = log
        self._on_door = on_door
        self._queue = gate_queue.make_gate_queue()
        self._pressure = pressure.PressureControl(clock.now_s())
        self._refused = pressure.RefusedShare()
        self._pool: upstream_pool.UpstreamPool | None = None
        self._runs: dict[gate_queue.Ticket, _Run] = {}
        self._lost_in_a_row = 0
        self._slots = 1.0
        self._announced_slots = 1
        self._sweep: clocks.DelayedCall | None = None
        self.door = Door.UNKNOWN
        self.upstream_id = ""
        self.on_run: Callable[[messages.Work], None] | None = None

    def start(self) -> None:
        """Begins to watch deadlines."""
        self._sweep = self._clock.call_later(SWEEP_S, self._look)

    def stop(self) -> None:
        """Closes the idle connections."""
        clocks.cancel(self._sweep)
        if self._pool is not None:
            self._pool.close()

    # What the announcements say.

    def open(self, upstream_id: str, address: str, slots: int) -> None:
        """Takes an upstream that is ready; a new one replaces the old.

        Args:
            upstream_id: Id of the upstream process.
            address: Where it listens, `ip:port`.
            slots: Requests that it runs at once.
        """
        if upstream_id != self.upstream_id or self._pool is None:
            self._replace(upstream_id, address)
        self._announced_slots = slots
        self._slots = float(slots)
        self._queue.set_slots(slots)
        if self.door is not Door.OPEN:
            self._lost_in_a_row = 0
            self._set_door(Door.OPEN)
            self._start_waiting()

    def close(self, door: Door) -> None:
        """Hands nothing over any more; what waits is refused."""
        if self.door is door:
            return
        self._set_door(door)
        for ticket in tuple(self._queue.drain()):
            self._refuse(ticket, self._closed_reason())

    # What others ask.

    def load(self) -> gate_queue.GateLoad:
        """Returns the state of the queue."""
        return self._queue.load()

    @property
    def pressure(self) -> float:
        """Returns how strongly roots should be refused."""
        return self._pressure.pressure

    @property
    def refused_share(self) -> float:
        """Returns what part the upstream refuses while it has room."""
        return self._refused.share

    @property
    def in_work(self) -> int:
        """Returns the number of requests without an outcome."""
        return len(self._runs)

    def run(
        self, work: messages.Work, receiver: messages.OutcomeReceiver
    ) -> messages.Handle | None:
        """See base class."""
        now_s = self._clock.now_s()
        if self.door is not Door.OPEN or (
            work.upstream_id and work.upstream_id != self.upstream_id
        ):
            receiver(refusals.Refusal(self._closed_reason()))
            return None
        ticket = gate_queue.Ticket(work, now_s)
        verdict = self._queue.submit(ticket, now_s)
        if verdict is gate_queue.Verdict.REFUSE:
            receiver(self._refusal(refusals.RefusalReason.QUEUE_FULL))
            return None
        run = _Run(self, ticket, receiver)
        self._runs[ticket] = run
        if verdict is gate_queue.Verdict.START:
            self._hand_over(run)
        return run

    def cancelled(self, run: _Run) -> None:
        """Gives up a request that nobody waits for."""
        ticket = run.ticket
        if self._queue.withdraw(ticket):
            self._runs.pop(ticket, None)
            return
        if not ticket.work.idempotent:
            # It runs to its end: half of it could not be taken back.
            return
        if run.lease is not None and ticket in self._runs:
            run.lease.cancel()
            self._end(run, counts=False)

    # Hand-over and outcome.

    def _hand_over(self, run: _Run) -> None:
        work = run.ticket.work
        pool = self._pool
        assert pool is not None
        if self.on_run is not None:
            self.on_run(work)
        method = work.head.partition(b" ")[0]
        run.lease = pool.send(
            lambda: self._encode(work),
            work.request_id.encode("latin-1"),
            method == b"HEAD",
            work.idempotent,
            lambda result: self._ended(run, result),
        )

    def _encode(self, work: messages.Work) -> bytes:
        dialect = self._dialect
        left_s = max(LEAST_HANDED_S, work.deadline_s - self._clock.now_s())
        parts = [
            work.head,
            heads.line(
                dialect.remaining_ms, b"%d" % max(1, math.floor(left_s * 1000))
            ),
            heads.line(dialect.expected_upstream, self.upstream_id.encode()),
        ]
        if work.body or not work.head.startswith((b"GET ", b"HEAD ")):
            parts.append(b"Content-Length: %d\r\n" % len(work.body))
        parts.append(heads.CRLF)
        parts.append(work.body)
        return b"".join(parts)

    def _ended(
        self,
        run: _Run,
        result: connections.UpstreamAnswer | connections.Failure,
    ) -> None:
        if isinstance(result, connections.UpstreamAnswer):
            self._lost_in_a_row = 0
            outcome = self._answered(run, result)
        else:
            outcome = self._failed(run, result)
        self._end(
            run,
            counts=isinstance(outcome, messages.Answer)
            and outcome.status < 500,
        )
        if run.receiver is not None:
            run.receiver(outcome)

    def _answered(
        self, run: _Run, answer: connections.UpstreamAnswer
    ) -> messages.Outcome:
        if not answer.not_run and answer.status != 421:
            self._refused.record(False)
            return answer
        if answer.status == 421:
            # Another process listens there; the announcements will tell.
            self.close(Door.UNKNOWN)
        elif answer.status == 503:
            self._refused_for_room()
        self._log.decision(
            "upstream-refused",
            run.ticket.work.request_id,
            status=answer.status,
            upstream=self.upstream_id,
        )
        return self._refusal(refusals.RefusalReason.UPSTREAM_REFUSED)

    def _refused_for_room(self) -> None:
        load = self._queue.load()
        if load.in_service < FULL_SHARE * load.capacity:
            self._refused.record(True)
            return
        least = LEAST_SLOTS_SHARE * self._announced_slots
        self._slots = max(1.0, least, self._slots * REFUSED_LIMIT_SHARE)
        self._queue.set_slots(int(self._slots))

    def _failed(
        self, run: _Run, reason: connections.Failure
    ) -> messages.Outcome:
        work = run.ticket.work
        self._log.decision(
            "upstream-failed",
            work.request_id,
            failure=reason.value,
            upstream=self.upstream_id,
            age_s=round(self._clock.now_s() - run.ticket.arrived_s, 3),
        )
        if reason is connections.Failure.NOT_CONNECTED:
            self.close(Door.LOST)
            return refusals.Refusal(refusals.RefusalReason.NO_TARGET)
        return refusals.Refusal(
            refusals.RefusalReason.UPSTREAM_FAILED,
            refusals.Execution.UNKNOWN,
        )

    def _end(self, run: _Run, counts: bool) -> None:
        if self._runs.pop(run.ticket, None) is None:
            return
        self._queue.finish(run.ticket, self._clock.now_s(), counts)
        self._start_waiting()

    def _start_waiting(self) -> None:
        if self.door is not Door.OPEN:
            return
        for ticket in self._queue.pop_startable(self._clock.now_s()):
            self._hand_over(self._runs[ticket])

    def _refuse(
        self, ticket: gate_queue.Ticket, reason: refusals.RefusalReason
    ) -> None:
        run = self._runs.pop(ticket, None)
        if run is not None and run.receiver is not None:
            run.receiver(self._refusal(reason))

    def _closed_reason(self) -> refusals.RefusalReason:
        if self.door is Door.LEAVING:
            return refusals.RefusalReason.LEAVING
        return refusals.RefusalReason.NO_TARGET

    def _refusal(self, reason: refusals.RefusalReason) -> refusals.Refusal:
        return refusals.Refusal(
            reason, retry_after_s=self._queue.expected_wait_s()
        )

    # Time.

    def _look(self) -> None:
        self.start()
        now_s = self._clock.now_s()
        for ticket in tuple(self._queue.pop_expired(now_s)):
            self._refuse(ticket, refusals.RefusalReason.QUEUE_FULL)
        for run in tuple(self._runs.values()):
            ticket = run.ticket
            if (
                ticket.started_s is not None
                and now_s > ticket.work.deadline_s + ANSWER_GRACE_S
            ):
                self._overdue(run)
        load = self._queue.load()
        self._pressure.update(load.wait_s, load.service_time_s, now_s)

    def _overdue(self, run: _Run) -> None:
        self._lost_in_a_row += 1
        self._log.decision(
            "upstream-silent",
            run.ticket.work.request_id,
            upstream=self.upstream_id,
            in_a_row=self._lost_in_a_row,
        )
        if run.lease is not None:
            run.lease.cancel()
        if self._lost_in_a_row >= LOST_IN_A_ROW and self.door is Door.OPEN:
            self.close(Door.LOST)
        self._end(run, counts=False)
        if run.receiver is not None:
            run.receiver(refusals.lost())

    def _replace(self, upstream_id: str, address: str) -> None:
        if self._pool is not None:
            self._pool.close()
        self.upstream_id = upstream_id
        self._refused = pressure.RefusedShare()
        self._pool = upstream_pool.make_upstream_pool(
            self._reactor, self._clock, self._dialect, address
        )

    def _set_door(self, door: Door) -> None:
        self._log.belief(
            "upstream-door",
            was=self.door.value,
            now=door.value,
            upstream=self.upstream_id,
        )
        self.door = door
        self._on_door()
