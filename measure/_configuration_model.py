"""Virtual clock and simulated network for simulations of many nodes."""

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
SAME_DOMAIN_DELAY_S = 0.0005
SAME_REGION_DELAY_S = 0.0015
CROSS_REGION_DELAY_S = 0.015
HANDLING_DELAY_S = 0.002
"""Time for queueing on a busy event loop and for handling a message."""

FRAME_OVERHEAD_BYTES = 16 + 40
"""Frame header (16), and TCP and IP headers (40), of each message."""


class Scheduler:
    """Reactor time with a virtual clock; a heap holds the pending calls."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, ScheduledCall]] = []
        self._sequence = itertools.count()

    def seconds(self) -> float:
        """Returns the virtual time."""
        return self.now_s

    def callLater(
        self, delay: float, callable: Callable[..., Any], *args: Any
    ) -> ScheduledCall:
        """Schedules a call; named as in Twisted's `IReactorTime`."""
        call = ScheduledCall(callable, args)
        due_s = self.now_s + delay
        heapq.heappush(self._heap, (due_s, next(self._sequence), call))
        return call

    def run_until(
        self, end_s: float, condition: Callable[[], bool] = lambda: False
    ) -> None:
        """Runs the calls due by `end_s`; stops early if `condition` is true."""
        while not condition() and self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, call = heapq.heappop(self._heap)
            call.run()
        if not condition():
            self.now_s = end_s


class ScheduledCall:
    """A pending call of the scheduler."""

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


class NetworkModel:
    """Delays of messages between nodes, and counters of their bytes."""

    def __init__(
        self, clock: clocks.Clock, domains: dict[ids.PeerAddress, int]
    ) -> None:
        self.clock = clock
        self.domains = domains
        self.peers: dict[ids.PeerAddress, ModelPeerNetwork] = {}
        self.sent_bytes = 0
        self.message_count = 0

    def delay_s(
        self, source: ids.PeerAddress, target: ids.PeerAddress
    ) -> float:
        """Returns the one-way delay of a message, including its handling."""
        source_domain, target_domain = (
            self.domains[source],
            self.domains[target],
        )
        if source_domain == target_domain:
            return SAME_DOMAIN_DELAY_S + HANDLING_DELAY_S
        is_same_region = (source_domain < FIRST_REGION_DOMAINS) == (
            target_domain < FIRST_REGION_DOMAINS
        )
        return HANDLING_DELAY_S + (
            SAME_REGION_DELAY_S if is_same_region else CROSS_REGION_DELAY_S
        )

    def count_message(self, message: network.ThriftStruct) -> None:
        """Counts a message and its bytes on the wire."""
        buffer = TTransport.TMemoryBuffer()
        message.write(TBinaryProtocol.TBinaryProtocolAccelerated(buffer))
        self.sent_bytes += len(buffer.getvalue()) + FRAME_OVERHEAD_BYTES
        self.message_count += 1


class ModelPeerNetwork(network.PeerNetwork):
    """Peer network of one node over the simulated network."""

    def __init__(
        self, network_model: NetworkModel, address: ids.PeerAddress
    ) -> None:
        self.network_model = network_model
        self.address = address
        self.handlers: dict[kinds.MessageKind, network.Handler] = {}
        network_model.peers[address] = self

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
        result: defer.Deferred[Any] = defer.Deferred()
        network_model = self.network_model
        delay_s = network_model.delay_s(self.address, peer)
        network_model.count_message(message)

        def handle() -> None:
            reply = network_model.peers[peer].handlers[kind](message)
            network_model.count_message(reply)
            network_model.clock.call_later(delay_s, result.callback, Ok(reply))

        network_model.clock.call_later(delay_s, handle)
        return result


class StaticDirectory(directories.Directory):
    """Directory with a fixed list of the members that a node knows."""

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
        """See base class; members never change."""
