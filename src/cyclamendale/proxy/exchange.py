"""One request of a caller and its answer."""

from __future__ import annotations

import abc
from typing import Any, Protocol

from cyclamendale.intents import model
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages


class Connection(Protocol):
    """What an exchange needs of the connection it came on."""

    is_closing: bool

    def flush(self) -> None:
        """Writes the answers whose turn it is."""


class Exchange:
    """One request of a caller, from whole to answered.

    Attributes:
        request: The request.
        cancel: Gives its work up; set by whoever handles it.
        is_over: Whether it was answered or the caller is gone.
    """

    __slots__ = ("_close", "_connection", "_output", "cancel", "is_over",
                 "request")  # fmt: skip

    def __init__(
        self,
        connection: Connection,
        request: messages.CallerRequest,
        close: bool,
    ) -> None:
        self.request = request
        self.cancel: Any = None
        self.is_over = False
        self._connection = connection
        self._close = close
        self._output: bytes | None = None

    def respond(self, status: int, header_lines: bytes, body: bytes) -> None:
        """Answers; does nothing if the caller is gone.

        Args:
            status: HTTP status.
            header_lines: Header lines, each ended by CRLF.
            body: The whole body.
        """
        if self.is_over:
            return
        self.is_over = True
        self.cancel = None
        close = self._close or self._connection.is_closing
        parts = [heads.status_line(status), header_lines]
        if heads.may_have_body(status):
            parts.append(b"Content-Length: %d\r\n" % len(body))
        if close:
            parts.append(b"Connection: close\r\n")
            self._close = True
        parts.append(heads.CRLF)
        if self.request.method != b"HEAD":
            parts.append(body)
        self._output = b"".join(parts)
        self._connection.flush()

    @property
    def output(self) -> bytes | None:
        """Returns the bytes of the answer once there is one."""
        return self._output

    @property
    def closes(self) -> bool:
        """Returns whether the connection ends behind the answer."""
        return self._close


class Handler(abc.ABC):
    """Takes the whole requests of callers."""

    @abc.abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Handles a request; calls its `respond` now or later."""

    @abc.abstractmethod
    def limits(self) -> model.RequestLimits:
        """Returns what callers may send at present."""
