"""Virtual time and modelled network for rigs with many nodes."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools
from typing import Any

from expression import Ok
from expression import Result
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.membership import directory as directories
from cyclamendale.peer import kinds
from cyclamendale.peer import network

FIRST_REGION_DOMAINS = 4
NEAR_DELAY_S = 0.0005
DOMAIN_DELAY_S = 0.0015
REGION_DELAY_S = 0.015
NODE_DELAY_S = 0.002
"""Time that a message waits on a busy loop and is handled."""

FRAME_OVERHEAD_BYTES = 16 + 40
"""Frame header, and TCP and IP headers, of each message."""


class Scheduler:
    """Virtual time with a heap, for many pending calls."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Call]] = []
        self._order = itertools.count()

    def seconds(self) -> float:
        """Returns the virtual time."""
        return self.now_s

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> Call:
        """Schedules a call."""
        call = Call(callable, args)
        due_s = self.now_s + delay
        heapq.heappush(self._heap, (due_s, next(self._order), call))
        return call

    def run_until(
        self, end_s: float, condition: Callable[[], bool] = lambda: False
    ) -> None:
        """Runs the calls until a time, or until a condition holds."""
        while not condition() and self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._heap)
            call.run()
        if not condition():
            self.now_s = end_s


class Call:
    """One pending call."""

    __slots__ = ("_args", "_function")

    def __init__(
        self, function: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        self._function: Callable[..., Any] | None = function
        self._args = args

    def run(self) -> None:
        """Runs the call unless it was cancelled."""
        function, self._function = self._function, None
        if function is not None:
            function(*self._args)

    def cancel(self) -> None:
        """See `clocks.DelayedCall`."""
        self._function = None

    def active(self) -> bool:
        """See `clocks.DelayedCall`."""
        return self._function is not None


class Wires:
    """Delays of messages between nodes, and a count of their bytes."""

    def __init__(
        self, clock: clocks.Clock, domains: dict[ids.PeerAddress, int]
    ) -> None:
        self.clock = clock
        self.domains = domains
        self.peers: dict[ids.PeerAddress, Peer] = {}
        self.sent_bytes = 0
        self.messages = 0

    def delay_s(
        self, source: ids.PeerAddress, target: ids.PeerAddress
    ) -> float:
        """Returns the time from one node to another."""
        first, second = self.domains[source], self.domains[target]
        if first == second:
            return NEAR_DELAY_S + NODE_DELAY_S
        one_region = (first < FIRST_REGION_DOMAINS) == (
            second < FIRST_REGION_DOMAINS
        )
        return NODE_DELAY_S + (DOMAIN_DELAY_S if one_region else REGION_DELAY_S)

    def count(self, message: network.ThriftStruct) -> None:
        """Counts the bytes of a message on the wire."""
        buffer = TTransport.TMemoryBuffer()
        message.write(TBinaryProtocol.TBinaryProtocolAccelerated(buffer))
        self.sent_bytes += len(buffer.getvalue()) + FRAME_OVERHEAD_BYTES
        self.messages += 1


class Peer(network.PeerNetwork):
    """One node's requests over the wires."""

    def __init__(self, wires: Wires, address: ids.PeerAddress) -> None:
        self.wires = wires
        self.address = address
        self.handlers: dict[kinds.MessageKind, network.Handler] = {}
        wires.peers[address] = self

    def serve(
        self,
        kind: kinds.MessageKind,
        message_type: type[network.ThriftStruct],
        handler: network.Handler,
    ) -> None:
        """See base class."""
        self.handlers[kind] = handler

    def request(
        self,
        peer: ids.PeerAddress,
        kind: kinds.MessageKind,
        message: network.ThriftStruct,
        reply_type: type[network.ThriftStruct],
        timeout_s: float,
    ) -> defer.Deferred[Result[network.ThriftStruct, network.PeerError]]:
        """See base class."""
        answer: defer.Deferred[Any] = defer.Deferred()
        wires = self.wires
        delay_s = wires.delay_s(self.address, peer)
        wires.count(message)

        def handle() -> None:
            reply = wires.peers[peer].handlers[kind](message)
            wires.count(reply)
            wires.clock.call_later(delay_s, answer.callback, Ok(reply))

        wires.clock.call_later(delay_s, handle)
        return answer


class Members(directories.Directory):
    """Members that a node knows of."""

    def __init__(
        self,
        own: directories.Member,
        members: list[directories.Member],
    ) -> None:
        self._own, self._members = own, members

    def own(self) -> directories.Member:
        """See base class."""
        return self._own

    def members(self) -> list[directories.Member]:
        """See base class."""
        return self._members

    def targets(
        self, service: ids.ServiceName
    ) -> tuple[directories.Member, ...]:
        """See base class."""
        return ()

    def subscribe(self, listener: Callable[[directories.Member], None]) -> None:
        """See base class; no member changes here."""
