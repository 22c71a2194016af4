"""Gate through which all requests reach the upstream on the node's host.

Because every request passes the gate, the gate knows whether a request was
handed over to the upstream. A refusal before that point is reliably "not
run".
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.forwarding import exchange
from cyclamendale.intents import model
from cyclamendale.membership import directory
from cyclamendale.overload import admission as admissions
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.upstream import _gate_exchange
from cyclamendale.upstream import connection_pool
from cyclamendale.upstream import contexts

LEAVING_RETRY_AFTER_S = 1.0

AdmissionFactory = Callable[[directory.Announcement], admissions.Admission]
CombineFeedback = Callable[
    [feedbacks.Feedback, contexts.Context], feedbacks.Feedback
]


class Gate(exchange.CallTransport):
    """Admits, queues, hands over, cancels and drains requests.

    Attributes:
        contexts: Contexts of the requests that run on the upstream.
        running: Admitted requests whose answer is not yet sent completely.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        random_source: random.Random,
        make_admission: AdmissionFactory,
        combine_feedback: CombineFeedback,
    ) -> None:
        self._reactor = reactor
        self.clock = clock
        self._random = random_source
        self._make_admission = make_admission
        self.combine_feedback = combine_feedback
        self.contexts = contexts.ContextTable()
        self._announced: directory.Announcement | None = None
        self._pool: connection_pool.ConnectionPool | None = None
        self._admission: admissions.Admission | None = None
        self._accepting = False
        self._closing = False
        self.running: set[_gate_exchange.GateExchange] = set()
        self._drain_callbacks: list[Callable[[], None]] = []

    @property
    def is_accepting(self) -> bool:
        """Returns whether the gate accepts new requests."""
        return self._accepting and not self._closing

    @property
    def queued(self) -> int:
        """Returns the number of requests that wait for admission."""
        return self._admission.queued if self._admission else 0

    @property
    def feedback(self) -> feedbacks.Feedback:
        """Returns the shedding threshold and the load of the upstream."""
        if self._admission is None:
            return feedbacks.Feedback()
        return self._admission.feedback()

    def has_connect_failed(self) -> bool:
        """Returns whether the last connect attempt to the upstream failed."""
        return (
            self._pool is not None
            and self._pool.consecutive_connect_failures > 0
        )

    def set_upstream(self, announced: directory.Announcement | None) -> None:
        """Applies an announcement of the upstream; None means no upstream."""
        previous = self._announced
        self._announced = announced
        if announced is None:
            self._stop_accepting()
            return
        is_replaced = previous is None or (
            (previous.service, previous.address)
            != (announced.service, announced.address)
        )
        if is_replaced:
            self._connect_to(announced)
        assert self._admission is not None
        self._admission.set_capacity(announced.slots, announced.connections)
        if announced.state is directory.UpstreamState.READY:
            if not self._accepting:
                self._accepting = True
                cold = previous is None or (
                    previous.state is directory.UpstreamState.STARTING
                )
                self._admission.reopen(cold)
        else:
            self._stop_accepting()

    def set_service(self, service: model.Service) -> None:
        """Applies changed limits if the upstream runs this service."""
        announced = self._announced
        if announced is not None and announced.service == service.name:
            assert self._admission is not None
            self._admission.set_service(service)

    def close_connections(self) -> None:
        """Closes connections to the upstream, those in use on their release."""
        if self._pool is not None:
            self._pool.close()

    def close(self, drained: Callable[[], None]) -> None:
        """Refuses new requests; calls `drained` when none is running."""
        self._closing = True
        self._stop_accepting()
        self._drain_callbacks.append(drained)
        self._notify_if_drained()

    def open(
        self, envelope: exchange.Envelope, receiver: exchange.Receiver
    ) -> exchange.Exchange:
        """See base class."""
        handle = _gate_exchange.GateExchange(self, envelope, receiver)
        if (
            not self.is_accepting
            or self._admission is None
            or self._pool is None
        ):
            handle.refuse_as_leaving()
            return handle
        handle.request_admission(self._admission, self._pool)
        return handle

    def make_leaving_refusal(self) -> refusals.Refusal:
        """Returns the refusal of a gate that accepts no new requests."""
        return refusals.Refusal(
            refusals.RefusalReason.LEAVING,
            retry_after_s=LEAVING_RETRY_AFTER_S
            * self._random.uniform(0.5, 1.5),
        )

    def exchange_ended(self, handle: _gate_exchange.GateExchange) -> None:
        """Removes an ended exchange from the running ones."""
        self.running.discard(handle)
        self._notify_if_drained()

    def _connect_to(self, announced: directory.Announcement) -> None:
        self._stop_accepting()
        if self._pool is not None:
            self._pool.close()
        self._pool = connection_pool.ConnectionPool(
            self._reactor, announced.address
        )
        self._admission = self._make_admission(announced)

    def _stop_accepting(self) -> None:
        self._accepting = False
        if self._admission is not None:
            self._admission.close()

    def _notify_if_drained(self) -> None:
        if self._closing and not self.running:
            drained, self._drain_callbacks = self._drain_callbacks, []
            for notify in drained:
                notify()
