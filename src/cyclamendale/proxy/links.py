"""Requests from the caller's node to the node beside the upstream."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.overload import gate_queue
from cyclamendale.peer import codec
from cyclamendale.peer import connection as connections
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.proxy import messages
from cyclamendale.proxy import run_codec

MAX_FRAME_BYTES = 72 * 1024 * 1024
"""Longest frame: the longest body, its head and the struct around them."""

SILENCE_S = 0.3
"""Silence of a peer with requests in work after which it is pinged."""

PING_TIMEOUT_S = 0.6
"""Wait for the answer; behind it the connection is taken to be dead, since
it may go silent without a reset while a new one would work. A host that
runs several times slower still answers."""

CONNECT_PATIENCE_S = 0.35
"""How long a request waits for a connection to a host; many round trips,
and a part of the shortest time that routes allow. Behind it the request
certainly did not leave and is offered elsewhere."""

LoadListener = Callable[[ids.PeerAddress, int], None]
"""Called with a host and the number of requests at its gate."""


class _RemoteRun(messages.Handle):
    """A request at another host's gate."""

    __slots__ = (
        "_call_id",
        "_connection",
        "_link",
        "_receiver",
        "_work",
        "began_s",
    )

    def __init__(
        self,
        link: _Link,
        work: messages.Work,
        receiver: messages.OutcomeReceiver,
    ) -> None:
        self._link = link
        self._work = work
        self._receiver: messages.OutcomeReceiver | None = receiver
        self._connection: connections.PeerConnection | None = None
        self._call_id = 0
        self.began_s = link.clock.now_s()

    def give_up_connecting(self) -> None:
        """Ends a request that never left."""
        self._finish(refusals.Refusal(refusals.RefusalReason.NO_TARGET))

    def connected(self, connection: connections.PeerConnection | None) -> None:
        """Sends the request once there is a connection."""
        self._link.unsent.discard(self)
        if self._receiver is None:
            return
        if connection is None:
            self._finish(refusals.Refusal(refusals.RefusalReason.NO_TARGET))
            return
        self._connection = connection
        self._call_id = connection.next_call_id()
        self._link.sent(self)
        connection.request(
            kinds.MessageKind.RUN,
            self._call_id,
            run_codec.encode_work(self._work, self._link.clock.now_s()),
            self._replied,
        )

    def cancel(self) -> None:
        """See base class."""
        self._receiver = None
        self._link.unsent.discard(self)
        self._link.ended(self)
        connection = self._connection
        if connection is None:
            return
        connection.forget(kinds.MessageKind.RUN, self._call_id)
        if connection.is_open:
            connection.request(
                kinds.MessageKind.RUN_CANCEL, self._call_id, b"", None
            )

    def _replied(self, reply: bytes | network.PeerErrorKind) -> None:
        if isinstance(reply, network.PeerErrorKind):
            self._finish(refusals.lost())
            return
        self._link.heard()
        try:
            answer = codec.decode(ttypes.RunAnswer, reply, MAX_FRAME_BYTES)
        except codec.DecodeError:
            self._finish(refusals.lost())
            return
        self._link.load(answer.at_gate)
        self._finish(run_codec.decode_outcome(answer))

    def _finish(self, outcome: messages.Outcome) -> None:
        receiver, self._receiver = self._receiver, None
        self._link.unsent.discard(self)
        self._link.ended(self)
        if receiver is not None:
            receiver(outcome)


class _Link(messages.Runner):
    """The way to one other host's gate."""

    def __init__(
        self,
        peer: ids.PeerAddress,
        peers: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        on_load: LoadListener,
        log: Any,
    ) -> None:
        self.clock = clock
        self._peer = peer
        self._peers = peers
        self._on_load = on_load
        self._log = log
        self._in_work: set[_RemoteRun] = set()
        self.unsent: set[_RemoteRun] = set()
        self._heard_s = 0.0
        self._pinged_s: float | None = None

    def run(
        self, work: messages.Work, receiver: messages.OutcomeReceiver
    ) -> messages.Handle | None:
        """See base class."""
        run = _RemoteRun(self, work, receiver)
        self.unsent.add(run)
        self._peers.with_connection(self._peer, run.connected)
        return run

    def sent(self, run: _RemoteRun) -> None:
        """Notes a request that is in work from now on."""
        if not self._in_work:
            self._heard_s = self.clock.now_s()
        self._in_work.add(run)

    def ended(self, run: _RemoteRun) -> None:
        """Notes a request that has an outcome or was given up."""
        self._in_work.discard(run)

    def heard(self) -> None:
        """Notes a sign of life."""
        self._heard_s = self.clock.now_s()
        self._pinged_s = None

    def load(self, at_gate: int) -> None:
        """Passes on how many requests are at the gate."""
        self._on_load(self._peer, at_gate)

    def check(self, now_s: float) -> None:
        """Pings a silent peer; ends a connection that stays silent."""
        for run in tuple(self.unsent):
            if now_s - run.began_s > CONNECT_PATIENCE_S:
                run.give_up_connecting()
        if not self._in_work:
            self._pinged_s = None
        elif self._pinged_s is not None:
            if now_s - self._pinged_s > PING_TIMEOUT_S:
                self._give_up()
        elif now_s - self._heard_s > SILENCE_S:
            self._pinged_s = now_s
            self._peers.with_connection(self._peer, self._ping)

    def _ping(self, connection: connections.PeerConnection | None) -> None:
        if connection is not None:
            connection.request(
                kinds.MessageKind.PING,
                connection.next_call_id(),
                b"",
                self._ponged,
            )

    def _ponged(self, reply: bytes | network.PeerErrorKind) -> None:
        if not isinstance(reply, network.PeerErrorKind):
            self.heard()

    def _give_up(self) -> None:
        self._pinged_s = None
        self._log.belief(
            "link-silent", peer=self._peer, in_work=len(self._in_work)
        )
        self._peers.with_connection(
            self._peer,
            lambda connection: connection.abort() if connection else None,
        )


class Links:
    """Ways to all other hosts."""

    CHECK_S = 0.15
    """Time between two looks for silent connections."""

    def __init__(
        self,
        peers: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        on_load: LoadListener,
        log: Any,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._on_load = on_load
        self._log = log
        self._links: dict[ids.PeerAddress, _Link] = {}
        self._check: clocks.DelayedCall | None = None

    def start(self) -> None:
        """Begins to look for silent connections."""
        self._check = self._clock.call_later(self.CHECK_S, self._look)

    def stop(self) -> None:
        """Ends the looks."""
        clocks.cancel(self._check)

    def runner(self, peer: ids.PeerAddress) -> messages.Runner:
        """Returns the way to a host's gate."""
        link = self._links.get(peer)
        if link is None:
            link = self._links[peer] = _Link(
                peer, self._peers, self._clock, self._on_load, self._log
            )
        return link

    def _look(self) -> None:
        self.start()
        now_s = self._clock.now_s()
        for link in self._links.values():
            link.check(now_s)


class LocalRunner(messages.Runner):
    """The way to the own gate, which tells its load like the others."""

    def __init__(
        self,
        own: ids.PeerAddress,
        gate: messages.Runner,
        load: Callable[[], gate_queue.GateLoad],
        on_load: LoadListener,
    ) -> None:
        self._own = own
        self._gate = gate
        self._load = load
        self._on_load = on_load

    def run(
        self, work: messages.Work, receiver: messages.OutcomeReceiver
    ) -> messages.Handle | None:
        """See base class."""

        def ended(outcome: messages.Outcome) -> None:
            self._on_load(self._own, self._load().at_gate)
            receiver(outcome)

        return self._gate.run(work, ended)


class RunServer:
    """Runs the requests of other nodes at the own gate."""

    def __init__(
        self,
        peers: thrift_network.ThriftPeerNetwork,
        clock: clocks.Clock,
        gate: messages.Runner,
        load: Callable[[], gate_queue.GateLoad],
    ) -> None:
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
    def in_work(self) -> int:
        """Returns the number of requests without an outcome."""
        return sum(map(len, self._runs.values()))

    def _run(
        self,
        connection: connections.PeerConnection,
        call_id: int,
        payload: bytes,
    ) -> None:
        try:
            message = codec.decode(ttypes.RunRequest, payload, MAX_FRAME_BYTES)
        except codec.DecodeError:
            connection.reject(kinds.MessageKind.RUN, call_id)
            return
        runs = self._runs.get(connection)
        if runs is None:
            runs = self._runs[connection] = {}
            connection.lost_listeners.add(lambda: self._lost(connection))

        def ended(outcome: messages.Outcome) -> None:
            runs.pop(call_id, None)
            connection.reply(
                kinds.MessageKind.RUN,
                call_id,
                run_codec.encode_outcome(outcome, self._load()),
            )

        work = run_codec.decode_work(message, self._clock.now_s())
        handle = self._gate.run(work, ended)
        if handle is not None:
            runs[call_id] = handle

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

    def _lost(self, connection: connections.PeerConnection) -> None:
        for handle in self._runs.pop(connection, {}).values():
            handle.cancel()
