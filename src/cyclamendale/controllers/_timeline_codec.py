"""Encoding of time line and status messages between nodes."""

from __future__ import annotations

import collections
from collections.abc import Callable
from typing import Any, TypeVar

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from cyclamendale import decoding
from cyclamendale import events
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.peer import network
from cyclamendale.peer.generated.timeline import ttypes

MAX_REPLY_BYTES = 256 * 1024

_Answer = TypeVar("_Answer")


class EventTail:
    """The newest encoded events that fit into a reply.

    Attributes:
        encoded_events: The events, oldest first.
        truncated: Whether older events were dropped.
    """

    def __init__(self, limit_events: int, limit_bytes: int) -> None:
        self._limit_events = limit_events
        self._limit_bytes = limit_bytes
        self._bytes = 0
        self.encoded_events: collections.deque[bytes] = collections.deque()
        self.truncated = False

    def add(self, encoded_event: bytes) -> None:
        """Appends an event; drops the oldest ones beyond the limits."""
        self.encoded_events.append(encoded_event)
        self._bytes += len(encoded_event) + 1
        while self.encoded_events and self._is_over_limit():
            self._bytes -= len(self.encoded_events.popleft()) + 1
            self.truncated = True

    def _is_over_limit(self) -> bool:
        return (
            len(self.encoded_events) > self._limit_events
            or self._bytes > self._limit_bytes
        )


def decode_reply(
    decode: Callable[[Any], _Answer], reply: Any, peer: ids.PeerAddress
) -> Result[_Answer, network.PeerError]:
    """Decodes a reply; an undecodable one counts as rejected."""
    # A node of another release may send a reply that this one cannot decode.
    try:
        return Ok(decode(reply))
    except decoding.ERRORS:
        return Error(network.PeerError(network.PeerErrorKind.REJECTED, peer))


def decode_timeline(
    reply: ttypes.TimelineReply,
) -> tuple[list[events.RecordedEvent], bool]:
    """Returns the events of a reply, and whether it was truncated."""
    recorded = msgspec.json.decode(
        reply.events or b"", type=list[events.RecordedEvent]
    )
    return recorded, bool(reply.truncated)


def decode_status(reply: ttypes.StatusReply) -> timeline.NodeStatus:
    """Returns the node status in a reply."""
    return msgspec.json.decode(reply.status or b"", type=timeline.NodeStatus)


def encode_query(query: timeline.TimelineQuery) -> ttypes.TimelineRequest:
    """Returns the Thrift request for a query."""
    return ttypes.TimelineRequest(
        request=query.request,
        customer=query.customer,
        file=query.file,
        since_ms=query.since_ms,
        limit_events=query.limit_events,
        limit_bytes=MAX_REPLY_BYTES,
    )


def decode_query(request: ttypes.TimelineRequest) -> timeline.TimelineQuery:
    """Returns the query of a Thrift request, clamped to this node's limits."""
    return timeline.TimelineQuery(
        request=request.request,
        customer=request.customer,
        file=request.file,
        since_ms=request.since_ms or 0,
        limit_events=max(
            1, min(request.limit_events or 0, timeline.MAX_LIMIT_EVENTS)
        ),
    )
