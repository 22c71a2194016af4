"""Forwarding of requests between nodes, from the caller's to the upstream's.

A connection may fail silently, without a reset, or its peer may only be paused,
so links ping peers that have requests in flight. A connection whose ping is not
answered soon is used for no further request; once it counts as silent, its
idempotent requests may run elsewhere. The others wait on it, since the peer may
be running them, and so do all requests of a node that stops.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale import response_heads
from cyclamendale.fleet import shutdown as shutdowns
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_codec

MAX_FRAME_BYTES = 72 * 1024 * 1024
"""Maximum frame size: the largest body, its head and the struct's overhead."""

SILENCE_BEFORE_PING_S = 0.3
"""Silence after which a peer with requests in flight is pinged."""

SUSPICION_S = 0.15
"""Time without an answer to a ping after which later requests use a new
connection. If the peer is only slow, that costs one handshake."""

MIN_SUSPICION_INTERVAL_S = 2.0
"""Minimum time between two such handshakes with one peer."""

PING_TIMEOUT_S = 0.6
"""Time-out of a ping, after which requests on the connection are given up. A
connection may go silent without a reset while a new one would work. A host that
runs several times slower than usual still answers in time."""

CONNECT_TIMEOUT_S = 0.35
"""How long a request waits for a connection to a host: many round trips, but
only a fraction of the shortest route deadline. A request that times out here
was certainly not sent, so it is offered to another host."""

LoadListener = Callable[[ids.PeerAddress, int], None]
"""Callback that takes a host and the number of requests at its gate."""


class _RemoteRun(messages.Handle):
    """A request that is forwarded to another host's gate."""

    __slots__ = (
        "_call_id",
        "_connection",
        "_link",
        "_receiver",
        "_request",
        "started_s",
    )

    def __init__(
        self,
        link: _Link,
        request: messages.UpstreamRequest,
        receiver: messages.OutcomeReceiver,
    ) -> None:
        self._link = link
        self._request = request
        self._receiver: messages.OutcomeReceiver | None = receiver
        self._connection: connections.PeerConnection | None = None
        self._call_id = 0
        self.started_s = link.clock.now_s()

    @property
    def connection(self) -> connections.PeerConnection | None:
        """Returns the connection that the request was sent on, if any."""
        return self._connection

    @property
    def may_run_elsewhere(self) -> bool:
        """Returns whether another run of the request does no harm."""
        return self._request.idempotent

    def fail_connect(self) -> None:
        """Refuses a request that was never sent."""
        self._finish(refusals.Refusal(refusals.RefusalReason.NO_TARGET))

    def on_connected(
        self, connection: connections.PeerConnection | None
    ) -> None:
        """Sends the request, or refuses it if there is no connection."""
        self._link.unsent.discard(self)
        if self._receiver is None:
            return
        if connection is None:
            self._finish(refusals.Refusal(refusals.RefusalReason.NO_TARGET))
            return
        self._connection = connection
        self._call_id = connection.next_call_id()
        self._link.record_sent(self)
        connection.request(
            kinds.MessageKind.RUN,
            self._call_id,
            run_codec.encode_request(self._request, self._link.clock.now_s()),
            self._on_reply,
        )

    def cancel(self) -> None:
        """See base class."""
        self._receiver = None
        self._cancel_at_peer()
        self._link.unsent.discard(self)
        self._link.record_finished(self)

    def give_up(self) -> None:
        """Cancels the request and reports that its outcome is unknown."""
        self._cancel_at_peer()
        self._finish(refusals.make_lost_refusal())

    def _cancel_at_peer(self) -> None:
        connection = self._connection
        if connection is None:
            return
        connection.ignore_reply(kinds.MessageKind.RUN, self._call_id)
        if connection.is_open:
            connection.request(
                kinds.MessageKind.RUN_CANCEL, self._call_id, b"", None
            )

    def _on_reply(self, reply: bytes | network.PeerErrorKind) -> None:
        if reply is network.PeerErrorKind.UNREAD:
            self._finish(refusals.Refusal(refusals.RefusalReason.LEAVING))
            return
        if isinstance(reply, network.PeerErrorKind):
            self._finish(refusals.make_lost_refusal())
            return
        assert self._connection is not None
        self._link.record_received(self._connection)
        try:
            response = codec.decode(ttypes.RunAnswer, reply, MAX_FRAME_BYTES)
            outcome = run_codec.decode_outcome(response)
        except (codec.DecodeError, response_heads.MalformedHeadError):
            self._finish(refusals.make_lost_refusal())
            return
        self._link.report_load(response.at_gate)
        self._finish(outcome)

    def _finish(self, outcome: messages.Outcome) -> None:
        receiver, self._receiver = self._receiver, None
        self._link.unsent.discard(self)
        self._link.record_finished(self)
        if receiver is not None:
            receiver(outcome)


class _Detached:
    """A connection that is used for no further request.

    Attributes:
        runs: Requests that wait on it.
        pinged_s: When its unanswered ping was sent; None once it is known
            whether it is silent.
    """

    __slots__ = ("pinged_s", "runs")

    def __init__(self, runs: set[_RemoteRun], pinged_s: float) -> None:
        self.runs = runs
        self.pinged_s: float | None = pinged_s


class _Link(messages.Runner):
    """Forwards requests to one other host's gate."""

    def __init__(
        self,
        peer: ids.PeerAddress,
        peers: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        on_load: LoadListener,
        on_active: Callable[[_Link], None],
        shutdown: shutdowns.Shutdown,
        log: Any,
    ) -> None:
        self.clock = clock
        self._peer = peer
        self._peers = peers
        self._on_load = on_load
        self._on_active = on_active
        self._shutdown = shutdown
        self._log = log
        self._in_flight: set[_RemoteRun] = set()
        self._detached: dict[connections.PeerConnection, _Detached] = {}
        self._suspected_s = -MIN_SUSPICION_INTERVAL_S
        self.unsent: set[_RemoteRun] = set()
        self._last_received_s = 0.0
        self._ping_sent_s: float | None = None

    def run(
        self,
        request: messages.UpstreamRequest,
        receiver: messages.OutcomeReceiver,
    ) -> messages.Handle | None:
        """See base class."""
        run = _RemoteRun(self, request, receiver)
        if not self.is_active:
            self._on_active(self)
        self.unsent.add(run)
        self._peers.with_connection(self._peer, run.on_connected)
        return run

    @property
    def is_active(self) -> bool:
        """Returns whether any request is unsent or its silence is checked."""
        return bool(
            self.unsent
            or self._in_flight
            or any(
                detached.pinged_s is not None
                for detached in self._detached.values()
            )
        )

    def record_sent(self, run: _RemoteRun) -> None:
        """Records a request as in flight."""
        if not self._in_flight:
            self._last_received_s = self.clock.now_s()
        self._in_flight.add(run)

    def record_finished(self, run: _RemoteRun) -> None:
        """Removes a request that has an outcome or was cancelled.

        A detached connection is closed after its last request.
        """
        self._in_flight.discard(run)
        connection = run.connection
        if connection is None or connection not in self._detached:
            return
        runs = self._detached[connection].runs
        runs.discard(run)
        if not runs:
            del self._detached[connection]
            # Later, since this may be called while the connection is read.
            self.clock.call_later(0.0, connection.abort)

    def record_received(self, connection: connections.PeerConnection) -> None:
        """Records that the peer answered on a connection."""
        detached = self._detached.get(connection)
        if detached is not None:
            detached.pinged_s = None
            return
        self._last_received_s = self.clock.now_s()
        self._ping_sent_s = None

    def report_load(self, at_gate: int) -> None:
        """Reports the number of requests at the peer's gate."""
        self._on_load(self._peer, at_gate)

    def check(self, now_s: float) -> None:
        """Pings a silent peer; detaches a connection that stays silent."""
        for run in tuple(self.unsent):
            if now_s - run.started_s > CONNECT_TIMEOUT_S:
                run.fail_connect()
        for detached in tuple(self._detached.values()):
            if (
                detached.pinged_s is not None
                and now_s - detached.pinged_s > PING_TIMEOUT_S
            ):
                self._give_up(detached)
        if not self._in_flight:
            self._ping_sent_s = None
        elif self._ping_sent_s is not None:
            if now_s - self._ping_sent_s > self._patience_s(now_s):
                self._detach_connection(now_s)
        elif now_s - self._last_received_s > SILENCE_BEFORE_PING_S:
            self._ping_sent_s = now_s
            self._peers.with_connection(self._peer, self._ping)

    def _patience_s(self, now_s: float) -> float:
        if now_s - self._suspected_s >= MIN_SUSPICION_INTERVAL_S:
            return SUSPICION_S
        return PING_TIMEOUT_S

    def _ping(self, connection: connections.PeerConnection | None) -> None:
        if connection is not None:
            connection.request(
                kinds.MessageKind.PING,
                connection.next_call_id(),
                b"",
                lambda reply: self._on_pong(connection, reply),
            )

    def _on_pong(
        self,
        connection: connections.PeerConnection,
        reply: bytes | network.PeerErrorKind,
    ) -> None:
        if not isinstance(reply, network.PeerErrorKind):
            self.record_received(connection)

    def _detach_connection(self, now_s: float) -> None:
        pinged_s = self._ping_sent_s
        assert pinged_s is not None
        detached = _Detached(self._in_flight, pinged_s)
        self._in_flight, self._ping_sent_s = set(), None
        self._suspected_s = now_s
        connection = self._peers.detach_connection(self._peer)
        if connection is None:
            self._give_up(detached)
            return
        self._detached[connection] = detached
        if now_s - pinged_s > PING_TIMEOUT_S:
            self._give_up(detached)

    def _give_up(self, detached: _Detached) -> None:
        """Gives up the requests that may run elsewhere.

        A stopping node gives up none: the peer may be running them, and what
        can't be repeated would get an answer of the node in place of its own.
        """
        detached.pinged_s = None
        runs = tuple(detached.runs)
        self._log.belief("link-silent", peer=self._peer, in_work=len(runs))
        if self._shutdown.has_begun:
            return
        for run in runs:
            if run.may_run_elsewhere:
                run.give_up()


class Links:
    """Links to all other hosts."""

    CHECK_INTERVAL_S = 0.1
    """Interval of the check for silent connections."""

    def __init__(
        self,
        peers: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        on_load: LoadListener,
        shutdown: shutdowns.Shutdown,
        log: Any,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._on_load = on_load
        self._shutdown = shutdown
        self._log = log
        self._links: dict[ids.PeerAddress, _Link] = {}
        self._active: set[_Link] = set()
        self._timer: clocks.DelayedCall | None = None

    def start(self) -> None:
        """Starts the check for silent connections."""
        self._timer = clocks.call_at_tick(
            self._clock, self.CHECK_INTERVAL_S, self._check_links
        )

    def stop(self) -> None:
        """Stops the check for silent connections."""
        clocks.cancel(self._timer)

    def runner(self, peer: ids.PeerAddress) -> messages.Runner:
        """Returns the runner that forwards to a host's gate."""
        link = self._links.get(peer)
        if link is None:
            link = self._links[peer] = _Link(
                peer,
                self._peers,
                self._clock,
                self._on_load,
                self._active.add,
                self._shutdown,
                self._log,
            )
        return link

    def _check_links(self) -> None:
        self.start()
        now_s = self._clock.now_s()
        # A check may refuse requests, which then go to links of other hosts.
        for link in tuple(self._active):
            link.check(now_s)
            if not link.is_active:
                self._active.discard(link)
