"""Serves this node's events and status, and gathers those of all nodes."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator
import itertools
import math
from typing import Any, cast, TypeVar

from expression import Result
import msgspec
from twisted.internet import defer
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.configuration import source
from cyclamendale.controllers import _lost_members
from cyclamendale.controllers import _timeline_codec
from cyclamendale.controllers import base
from cyclamendale.intents import explain
from cyclamendale.membership import directory
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer.generated.timeline import ttypes

MAX_CONCURRENT_REQUESTS = 32
PEER_TIMEOUT_S = 1.0
EVENTS_PER_SLICE = 32
"""Events processed before control returns to the reactor."""

_Answer = TypeVar("_Answer")
_StatusSource = Callable[[], timeline.NodeStatus]
_MemberResult = tuple[directory.Member, Result[Any, network.PeerError]]


class TimelineController(base.Controller):
    """Answers queries for the events and status of one or all nodes."""

    def __init__(
        self,
        clock: clocks.Clock,
        members: directory.Directory,
        peers: network.PeerNetwork,
        event_log: events.EventLog,
        status: _StatusSource,
        configuration: source.ConfigurationSource,
    ) -> None:
        self._members = members
        self._peers = peers
        self._event_log = event_log
        self._status = status
        self._configuration = configuration
        self._lost_members = _lost_members.LostMembers(clock)
        self._cooperator = task.Cooperator(
            # One slice per reactor turn, so that other work is not delayed.
            terminationPredicateFactory=lambda: lambda: True,
            scheduler=lambda step: cast(Any, clock.call_later(0.0, step)),
        )

    def start(self) -> None:
        """See base class."""
        self._members.subscribe(self._lost_members.update_member)
        self._peers.serve(
            kinds.MessageKind.TIMELINE,
            ttypes.TimelineRequest,
            self._serve_timeline,
        )
        self._peers.serve(
            kinds.MessageKind.STATUS, ttypes.StatusRequest, self._serve_status
        )

    def stop(self) -> defer.Deferred[None]:
        """See base class."""
        return defer.succeed(None)

    def own_status(self) -> timeline.NodeStatus:
        """Returns this node's status."""
        return self._status()

    def configuration_in_force(
        self, kind: str | None = None, name: str | None = None
    ) -> timeline.ConfigurationInForce:
        """Returns the configuration entries in force, with their files.

        Args:
            kind: Kind of the entries; any if None.
            name: Name of the entries; any if None.
        """
        configuration = self._configuration.current
        return timeline.ConfigurationInForce(
            self._members.own().node,
            configuration.version,
            finite_or_none(self._configuration.confirmed_age_s()),
            [
                entry
                for entry in explain.explain_entries(configuration)
                if kind in (None, entry.kind) and name in (None, entry.name)
            ],
        )

    @defer.inlineCallbacks
    def gather_timeline(
        self, query: timeline.TimelineQuery
    ) -> Generator[defer.Deferred[Any], Any, timeline.MergedTimeline]:
        """Merges the events of all nodes that answer."""
        merger = timeline.TimelineMerger(query.limit_events)
        request = _timeline_codec.encode_query(query)
        own_reply = yield self._serve_timeline(request)
        merger.add(*_timeline_codec.decode_timeline(own_reply))

        def merge(reply: ttypes.TimelineReply) -> None:
            merger.add(*_timeline_codec.decode_timeline(reply))

        results = yield self._request_all(
            kinds.MessageKind.TIMELINE, request, ttypes.TimelineReply, merge
        )
        return merger.merged(
            node for node, _ in self._iter_unreachable(results)
        )

    @defer.inlineCallbacks
    def gather_status(
        self, wanted: ids.ConfigVersion | None = None
    ) -> Generator[defer.Deferred[Any], Any, timeline.FleetStatus]:
        """Collects the status of all nodes that answer.

        Args:
            wanted: Configuration version that the failure domains are compared
                with; the highest one in force if None.
        """
        results = yield self._request_all(
            kinds.MessageKind.STATUS,
            ttypes.StatusRequest(),
            ttypes.StatusReply,
            _timeline_codec.decode_status,
        )
        answered = [result.ok for _, result in results if result.is_ok()]
        return timeline.summarize_fleet(
            [self._status(), *answered],
            self._iter_unreachable(results),
            tuple(self._configuration.current.failure_domains),
            wanted,
        )

    def _iter_unreachable(
        self, results: list[_MemberResult]
    ) -> Iterator[tuple[ids.NodeId, ids.FailureDomainName]]:
        for member, result in results:
            if result.is_error():
                yield member.node, member.failure_domain
        yield from self._lost_members.iter_nodes()

    def _request_all(
        self,
        kind: kinds.MessageKind,
        message: network.ThriftStruct,
        reply_type: type[network.ThriftStruct],
        decode: Callable[[Any], Any],
    ) -> defer.Deferred[list[_MemberResult]]:
        own_node = self._members.own().node
        semaphore = defer.DeferredSemaphore(MAX_CONCURRENT_REQUESTS)

        @defer.inlineCallbacks
        def ask(
            member: directory.Member,
        ) -> Generator[defer.Deferred[Any], Any, _MemberResult]:
            result = yield self._peers.request(
                member.address, kind, message, reply_type, PEER_TIMEOUT_S
            )
            return member, result.bind(
                lambda reply: _timeline_codec.decode_reply(
                    decode, reply, member.address
                )
            )

        return defer.gatherResults(
            semaphore.run(ask, member)
            for member in tuple(self._members.members())
            if member.node != own_node
        )

    def _serve_status(self, _: ttypes.StatusRequest) -> network.ThriftStruct:
        return ttypes.StatusReply(status=msgspec.json.encode(self._status()))

    def _serve_timeline(
        self, request: ttypes.TimelineRequest
    ) -> defer.Deferred[network.ThriftStruct]:
        query = _timeline_codec.decode_query(request)
        tail = _timeline_codec.EventTail(
            query.limit_events,
            max(
                0,
                min(request.limit_bytes or 0, _timeline_codec.MAX_REPLY_BYTES),
            ),
        )
        slices = self._encode_slices(query, tail)
        finished = self._cooperator.coiterate(slices)
        return finished.addCallback(lambda _: self._make_reply(tail))

    def _encode_slices(
        self, query: timeline.TimelineQuery, tail: _timeline_codec.EventTail
    ) -> Iterator[None]:
        recorded_events = self._event_log.recorded_events()
        while True:
            batch = tuple(itertools.islice(recorded_events, EVENTS_PER_SLICE))
            if not batch:
                return
            for event in timeline.filter_events(batch, query):
                tail.add(msgspec.json.encode(event))
            yield

    def _make_reply(
        self, tail: _timeline_codec.EventTail
    ) -> network.ThriftStruct:
        return ttypes.TimelineReply(
            node=self._members.own().node,
            events=b"[" + b",".join(tail.encoded_events) + b"]",
            truncated=tail.truncated,
        )


def make_timeline_controller(
    clock: clocks.Clock,
    members: directory.Directory,
    peers: network.PeerNetwork,
    event_log: events.EventLog,
    status: _StatusSource,
    configuration: source.ConfigurationSource,
) -> TimelineController:
    """Returns the controller of the time line and the fleet status.

    Args:
        clock: Time source and scheduler.
        members: The known members.
        peers: Sends requests to other nodes.
        event_log: This node's events.
        status: Returns this node's status.
        configuration: The configuration in force on this node.
    """
    return TimelineController(
        clock, members, peers, event_log, status, configuration
    )


def finite_or_none(age_s: float) -> float | None:
    """Returns an age, or None if JSON cannot represent it."""
    return age_s if math.isfinite(age_s) else None
