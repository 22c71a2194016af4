"""Parses HTTP/1.1 requests and ignores offers to change the protocol.

A server may ignore `Upgrade` (RFC 9110, section 7.8). The parser of
`httptools` does not: it ends such a request after its head, without the body.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, Protocol

import httptools

from cyclamendale.proxy import heads


class Receiver(Protocol):
    """Callbacks of the parser and what it needs of the current head."""

    def on_message_begin(self) -> None:
        """Starts a request."""

    def on_url(self, url: bytes) -> None:
        """Receives a part of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receives a header."""

    def on_headers_complete(self) -> None:
        """Ends the head."""

    def on_body(self, data: bytes) -> None:
        """Receives a part of the body."""

    def on_message_complete(self) -> None:
        """Ends the request, unless `has_ignored_offer` is set."""

    def framing_lines(self) -> Sequence[bytes]:
        """Returns the header lines that state how long the body is."""

    def connection_values(self) -> Sequence[bytes]:
        """Returns the values of `Connection`."""


class RequestParser:
    """Parser of the requests of one connection."""

    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self._parser: Any = httptools.HttpRequestParser(receiver)

    def feed_data(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            httptools.HttpParserError: The bytes are not valid HTTP.
        """
        rest = memoryview(data)
        while True:
            try:
                self._parser.feed_data(rest)
                return
            except httptools.HttpParserUpgrade as offer:
                rest = rest[offer.args[0] :]
                self._continue_after_head()

    @property
    def has_ignored_offer(self) -> bool:
        """Returns whether the body and the end of the request are to come.

        True in the first `on_message_complete` of a request that offers
        another protocol; a second one follows the body.
        """
        return bool(self._parser.should_upgrade())

    def method(self) -> bytes:
        """Returns the method of the current request."""
        return bytes(self._parser.get_method())

    def should_keep_alive(self) -> bool:
        """Returns whether another request may follow the current one."""
        return bool(self._parser.should_keep_alive())

    def _continue_after_head(self) -> None:
        """Replaces the parser by one that expects the body."""
        receiver = self._receiver
        options = heads.connection_options(receiver.connection_values())
        head = b"%s / HTTP/%s\r\nConnection: %s\r\n%s\r\n" % (
            self.method(),
            self._parser.get_http_version().encode(),
            b", ".join(options - {b"upgrade"}),
            b"".join(receiver.framing_lines()),
        )
        self._parser = httptools.HttpRequestParser(_Continuation(receiver))
        self._parser.feed_data(head)


class _Continuation:
    """Passes on callbacks, but for the head of the first request."""

    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self._passes_heads = False

    def on_message_begin(self) -> None:
        if self._passes_heads:
            self._receiver.on_message_begin()

    def on_url(self, url: bytes) -> None:
        if self._passes_heads:
            self._receiver.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._passes_heads:
            self._receiver.on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._passes_heads:
            self._receiver.on_headers_complete()

    def on_body(self, data: bytes) -> None:
        self._receiver.on_body(data)

    def on_message_complete(self) -> None:
        self._passes_heads = True
        self._receiver.on_message_complete()
