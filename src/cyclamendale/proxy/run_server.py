"""Runs the requests that other nodes forward at the gate of this host."""

from __future__ import annotations

from collections.abc import Callable

from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import shutdown as shutdowns
from cyclamendale.overload import gate_queue
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.proxy import links
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_codec


class _HeldRun(messages.Handle):
    """A run and the memory that the body of its request takes."""

    __slots__ = ("_handle", "_reservation")

    def __init__(
        self,
        handle: messages.Handle,
        reservation: buffer_budget.Reservation,
    ) -> None:
        self._handle = handle
        self._reservation = reservation

    def cancel(self) -> None:
        """See base class."""
        self._handle.cancel()
        self._reservation.release()


class RunServer:
    """Runs the requests of other nodes at this host's gate."""

    def __init__(
        self,
        peers: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        gate: messages.Runner,
        load: Callable[[], gate_queue.GateLoad],
        shutdown: shutdowns.Shutdown,
        budget: buffer_budget.BufferBudget | None = None,
    ) -> None:
        self._budget = budget or buffer_budget.BufferBudget()
        self._shutdown = shutdown
        self._clock = clock
        self._gate = gate
        self._load = load
        self._runs: dict[
            connections.PeerConnection, dict[int, messages.Handle]
        ] = {}
        peers.serve_raw(kinds.MessageKind.RUN, self._run)
        peers.serve_raw(kinds.MessageKind.RUN_CANCEL, self._cancel)
        peers.serve_raw(kinds.MessageKind.PING, self._ping)

    @property
    def in_flight(self) -> int:
        """Returns the number of requests without an outcome."""
        return sum(map(len, self._runs.values()))

    def stop(self) -> None:
        """Cancels the requests without an outcome, which may have run."""
        for connection, runs in tuple(self._runs.items()):
            while runs:
                call_id, handle = runs.popitem()
                handle.cancel()
                self._reply(connection, call_id, refusals.make_lost_refusal())

    def _reply(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        outcome: messages.Outcome,
    ) -> None:
        connection.reply(
            kinds.MessageKind.RUN,
            call_id,
            run_codec.encode_outcome(outcome, self._load()),
        )

    def _run(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        try:
            message = codec.decode(
                ttypes.RunRequest, payload, links.MAX_FRAME_BYTES
            )
        except codec.DecodeError:
            connection.reject(kinds.MessageKind.RUN, call_id)
            return
        runs = self._runs.get(connection)
        if runs is None:
            runs = self._runs[connection] = {}
            connection.lost_listeners.add(
                lambda: self._on_connection_lost(connection)
            )

        request = run_codec.decode_request(message, self._clock.now_s())
        reservation: buffer_budget.Reservation | None = None
        if request.body:
            # Its frame was within the budget and is dropped after this call.
            reservation = self._budget.make_reservation()
            reservation.hold(len(request.body))

        def on_outcome(outcome: messages.Outcome) -> None:
            if reservation is not None:
                reservation.release()
            runs.pop(call_id, None)
            self._reply(connection, call_id, outcome)

        if not self._shutdown.can_finish(request.deadline_s):
            on_outcome(refusals.Refusal(refusals.RefusalReason.LEAVING))
            return
        handle = self._gate.run(request, on_outcome)
        if handle is not None:
            runs[call_id] = (
                handle if reservation is None else _HeldRun(handle, reservation)
            )

    def _cancel(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        handle = self._runs.get(connection, {}).pop(call_id, None)
        if handle is not None:
            handle.cancel()

    def _ping(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        connection.reply(kinds.MessageKind.PING, call_id, b"")

    def _on_connection_lost(
        self, connection: connections.PeerConnection
    ) -> None:
        for handle in self._runs.pop(connection, {}).values():
            handle.cancel()
