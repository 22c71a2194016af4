"""UDP transport of the membership datagrams."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.internet import protocol

from cyclamendale import ids

_RECEIVE_BUFFER_BYTES = 2_048
"""Exceeds the largest datagram, so that oversized ones are detected."""

_SEND_ERRORS = (
    OSError,
    OverflowError,
    ValueError,
    error.InvalidAddressError,
    error.MessageLengthError,
)
"""Errors of the reactor for an invalid address or size or a full buffer."""


class DatagramPort(abc.ABC):
    """Port through which a node sends and receives datagrams."""

    @abc.abstractmethod
    def open(self, receive: Callable[[bytes], None]) -> None:
        """Starts receiving; must be called only once."""

    @abc.abstractmethod
    def transmit(self, receiver: ids.PeerAddress, data: bytes) -> None:
        """Sends one datagram; a failure is treated as packet loss."""

    @abc.abstractmethod
    def close(self) -> defer.Deferred[None]:
        """Stops receiving; the Deferred fires when the port is released."""


class UdpPort(DatagramPort, protocol.DatagramProtocol):
    """UDP port of a Twisted reactor.

    Attributes:
        failures: Number of datagrams that could not be sent.
    """

    def __init__(
        self,
        reactor: Any,
        interface: str,
        port: int,
        buffer_bytes: int = _RECEIVE_BUFFER_BYTES,
    ) -> None:
        self._buffer_bytes = buffer_bytes
        self._reactor = reactor
        self._interface = interface
        self._port = port
        self._receive: Callable[[bytes], None] | None = None
        self._listening: Any = None
        self.failures = 0

    @property
    def port(self) -> int:
        """The bound port number, also if the kernel selected it."""
        return self._listening.getHost().port

    def open(self, receive: Callable[[bytes], None]) -> None:
        """See base class."""
        self._receive = receive
        self._listening = self._reactor.listenUDP(
            self._port,
            self,
            interface=self._interface,
            maxPacketSize=self._buffer_bytes,
        )

    def transmit(self, receiver: ids.PeerAddress, data: bytes) -> None:
        """See base class."""
        host, _, port = receiver.rpartition(":")
        transport: Any = self.transport
        if transport is None:
            return
        try:
            transport.write(data, (host.strip("[]"), int(port)))
        except _SEND_ERRORS:
            self.failures += 1

    def close(self) -> defer.Deferred[None]:
        """See base class."""
        if self._listening is None:
            return defer.succeed(None)
        return defer.maybeDeferred(self._listening.stopListening)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """See base class."""
        if self._receive is not None:
            self._receive(datagram)
