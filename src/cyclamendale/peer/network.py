"""Interface of request and reply messages between nodes."""

from __future__ import annotations

import abc
from collections.abc import Callable
import enum
from typing import Any, TypeAlias

from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import ids
from cyclamendale.peer import kinds

ThriftStruct: TypeAlias = Any
"""An instance of a generated thrift struct class."""

Handler: TypeAlias = Callable[
    [ThriftStruct], "ThriftStruct | defer.Deferred[ThriftStruct]"
]


class PeerErrorKind(enum.Enum):
    """Why a request to a peer failed and whether it may have arrived."""

    UNREACHABLE = "unreachable"
    """The request was certainly not sent."""
    LOST = "lost"
    """The request may have been received."""
    UNREAD = "unread"
    """The peer closed the connection and did not read the request."""
    TIMEOUT = "timeout"
    """No reply came in time; the request may have been received."""
    REJECTED = "rejected"
    """The peer could not decode or handle the request."""


class PeerError(msgspec.Struct, frozen=True):
    """A failed request to a peer."""

    kind: PeerErrorKind
    peer: ids.PeerAddress


class PeerNetwork(abc.ABC):
    """Sends requests to other nodes and dispatches theirs to handlers."""

    @abc.abstractmethod
    def request(
        self,
        peer: ids.PeerAddress,
        kind: kinds.MessageKind,
        message: ThriftStruct,
        reply_type: type[ThriftStruct],
        timeout_s: float,
    ) -> defer.Deferred[Result[ThriftStruct, PeerError]]:
        """Sends a request and returns the reply or a typed error.

        The Deferred fires with a `Result`. It fails only on a programming
        error.
        """

    @abc.abstractmethod
    def serve(
        self,
        kind: kinds.MessageKind,
        message_type: type[ThriftStruct],
        handler: Handler,
    ) -> None:
        """Registers the handler for requests of one kind."""
