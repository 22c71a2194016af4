"""HTTP/1.1 server for callers."""

from __future__ import annotations

from typing import Any

from twisted.internet import protocol

from cyclamendale import _immediate_close
from cyclamendale import buffer_budget
from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.proxy import caller_connection
from cyclamendale.proxy import exchange as exchanges
from cyclamendale.proxy import header_names
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages

SWEEP_INTERVAL_S = 0.25
"""Interval of the check for idle and slow connections."""


class CallerServer(protocol.Factory):
    """Accepts the connections of callers.

    Attributes:
        header_handlers: Handlers of special headers, by lower-case name.
        connections: Open connections.
        budget: Memory for the bodies of requests.
        is_closing: Whether connections close after their next response.
    """

    noisy = False

    def __init__(
        self,
        clock: clocks.Clock,
        handler: exchanges.Handler,
        header_names: header_names.HeaderNames,
        log: Any,
        budget: buffer_budget.BufferBudget,
    ) -> None:
        self.budget = budget
        self.clock = clock
        self.handler = handler
        self.connections: set[caller_connection.CallerConnection] = set()
        self.is_closing = False
        self.header_handlers = _make_header_handlers(header_names)
        self._log = log
        self._timer: clocks.DelayedCall | None = None

    def buildProtocol(self, addr: Any) -> caller_connection.CallerConnection:
        """See base class."""
        return caller_connection.CallerConnection(self)

    def start(self) -> None:
        """Starts the check for idle and slow connections."""
        self._timer = clocks.call_at_tick(
            self.clock, SWEEP_INTERVAL_S, self._sweep
        )

    def stop(self) -> None:
        """Stops the check for idle and slow connections."""
        clocks.cancel(self._timer)

    def begin_close(self) -> None:
        """Lets each connection close after what is in flight on it.

        Idle connections stay open until `end_close`, and new ones are
        accepted: a request that crosses a close gets no response.
        """
        self.is_closing = True

    def accept_waiting(self, port: Any) -> None:
        """Accepts connections that wait in the queue of a listening port.

        Closing the port resets those that are left.
        """
        count = -1
        while count != len(self.connections):
            count = len(self.connections)
            port.doRead()

    def end_close(self) -> None:
        """Closes the connections on which no request is in flight.

        Each is read once more: a request that has arrived gets a response.
        """
        for connection in tuple(self.connections):
            if not connection.in_flight:
                _immediate_close.read_now(connection.transport)
            connection.end_close()

    @property
    def in_flight(self) -> int:
        """Returns the number of requests whose response is not sent yet."""
        return sum(connection.in_flight for connection in self.connections)

    @property
    def unsent_bytes(self) -> int:
        """Returns the size of the responses that are not sent yet."""
        return sum(connection.unsent_bytes for connection in self.connections)

    def log_malformed(self, detail: str) -> None:
        """Logs bytes of a caller that are not valid HTTP."""
        self._log.decision("malformed", "", detail=detail)

    def log_refused(self, request: messages.CallerRequest, status: int) -> None:
        """Logs a request that was refused before it was complete."""
        self._log.decision(
            "refused",
            request.request_id.decode("latin-1"),
            reason=(
                refusals.RefusalReason.QUEUE_FULL.value
                if status == 503
                else refusals.RefusalReason.BAD_REQUEST.value
            ),
            status=status,
        )

    def _sweep(self) -> None:
        self.start()
        now_s = self.clock.now_s()
        for connection in tuple(self.connections):
            connection.check_timeouts(now_s)


def _make_header_handlers(names: header_names.HeaderNames) -> dict[bytes, Any]:
    connection = caller_connection.CallerConnection
    handlers: dict[bytes, Any] = dict.fromkeys(
        heads.CONNECTION_HEADERS, connection.drop_header
    )
    handlers[b"connection"] = connection.add_connection_options
    handlers[b"content-length"] = connection.add_framing_line
    handlers[b"transfer-encoding"] = connection.add_framing_line
    handlers[b"expect"] = connection.handle_expect
    handlers[b"host"] = connection.set_host
    handlers[names.request_id.lower()] = connection.set_request_id
    handlers[names.remaining_ms.lower()] = connection.set_remaining
    handlers[names.key.lower()] = connection.set_key
    for name in (
        names.customer,
        names.caller_service,
        names.expected_upstream,
        names.not_run,
    ):
        handlers[name.lower()] = connection.drop_header
    return handlers


def make_caller_server(
    clock: clocks.Clock,
    handler: exchanges.Handler,
    header_names: header_names.HeaderNames,
    log: Any,
    budget: buffer_budget.BufferBudget | None = None,
) -> CallerServer:
    """Returns the server, which is a factory of caller connections.

    Args:
        clock: Clock of time-outs.
        handler: Handles complete requests.
        header_names: Header names of the platform.
        log: Log of decisions.
        budget: Memory for bodies; None for one of its own.
    """
    return CallerServer(
        clock,
        handler,
        header_names,
        log,
        budget or buffer_budget.BufferBudget(),
    )
