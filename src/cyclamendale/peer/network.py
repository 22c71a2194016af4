"""Interface for requests between nodes."""

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
    """What is known after a request to a peer failed."""

    UNREACHABLE = "unreachable"
    """The request was certainly not sent."""
    LOST = "lost"
    """The request may have been received."""
    TIMEOUT = "timeout"
    """No answer came in time; the request may have been received."""
    REJECTED = "rejected"
    """The peer could not decode or handle the request."""


class PeerError(msgspec.Struct, frozen=True):
    """A failed request to a peer."""

    kind: PeerErrorKind
    peer: ids.PeerAddress


class PeerNetwork(abc.ABC):
    """Requests to other nodes and handlers for theirs."""

    @abc.abstractmethod
    def request(
        self,
        peer: ids.PeerAddress,
        kind: kinds.MessageKind,
        message: ThriftStruct,
        reply_type: type[ThriftStruct],
        timeout_s: float,
    ) -> defer.Deferred[Result[ThriftStruct, PeerError]]:
        """Sends a request; fires with the reply or a typed error.

        The Deferred fires with a `Result` and fails only on a defect.
        """

    @abc.abstractmethod
    def serve(
        self,
        kind: kinds.MessageKind,
        message_type: type[ThriftStruct],
        handler: Handler,
    ) -> None:
        """Registers the handler of one kind of request."""
