"""HTTP entry for requests of callers and onward calls of the upstream.

Uses the HTTP channel of twisted.web without its resource tree. Each request
passes the filter chain, and the head and body of a short answer are sent in
one write.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet import protocol

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.configuration import source
from cyclamendale.entry import _channel
from cyclamendale.entry import _request
from cyclamendale.entry import call as calls
from cyclamendale.filters import base
from cyclamendale.forwarding import forwarder

IDLE_TIMEOUT_S = 60.0
HEAD_TIMEOUT_S = 10.0
"""Time within which a caller must send the head of a request."""

CallObserver = Callable[[calls.Call, "refusals.Refusal | int"], None]
"""Called for each ended call with its refusal or HTTP status."""


class Entry:
    """State and dependencies shared by all requests at one listener."""

    def __init__(
        self,
        clock: clocks.Clock,
        configuration: source.ConfigurationSource,
        forward: forwarder.Forwarder,
        observer: CallObserver,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        head_timeout_s: float = HEAD_TIMEOUT_S,
    ) -> None:
        self.clock = clock
        self.configuration = configuration
        self.forwarder = forward
        self.observer = observer
        self.idle_timeout_s = idle_timeout_s
        self.head_timeout_s = head_timeout_s
        self.filter_chain: base.FilterChain | None = None
        self.closing = False
        self.active_requests: set[_request.EntryRequest] = set()
        self.channels: set[_channel.EntryChannel] = set()
        self._drain_callbacks: list[Callable[[], None]] = []

    def set_filters(self, filters: list[base.Filter]) -> None:
        """Sets the filters that each request passes, in this order."""
        self.filter_chain = base.FilterChain(
            filters,
            _passed,
            _refused,
        )

    def make_factory(self) -> protocol.ServerFactory:
        """Returns the factory for a listening port."""
        return _EntryFactory(self)

    def begin_close(self) -> None:
        """Makes each connection close after its next answer."""
        self.closing = True

    def close(self, drained: Callable[[], None]) -> None:
        """Closes idle connections; calls `drained` when none is left."""
        self.closing = True
        self._drain_callbacks.append(drained)
        self._close_idle_connections()
        self.notify_if_drained()

    def _close_idle_connections(self) -> None:
        """Closes connections on which no request is in progress."""
        for channel in tuple(self.channels):
            if not channel.requests:
                channel.transport.loseConnection()

    def notify_if_drained(self) -> None:
        """Calls the drain callbacks if no request or connection is left.

        A connection closes only after its caller has received the complete
        answer, so neither a request that is still arriving nor an answer to
        a slow reader is truncated.
        """
        if (
            self._drain_callbacks
            and not self.active_requests
            and not self.channels
        ):
            drained, self._drain_callbacks = self._drain_callbacks, []
            for notify in drained:
                notify()


class _EntryFactory(protocol.ServerFactory):
    noisy = False

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    def buildProtocol(self, addr: Any) -> _channel.EntryChannel:
        return _channel.EntryChannel(self._entry)


def _passed(call: calls.Call) -> None:
    assert call.caller is not None
    call.caller.filters_passed()


def _refused(call: calls.Call, refusal: refusals.Refusal) -> None:
    assert call.caller is not None
    call.caller.refuse(refusal)
