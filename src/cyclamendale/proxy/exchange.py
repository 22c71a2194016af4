"""One request of a caller and the response to it."""

from __future__ import annotations

import abc
from typing import Any, Protocol

from cyclamendale import buffer_budget
from cyclamendale.intents import model
from cyclamendale.proxy import heads
from cyclamendale.proxy import messages


class Connection(Protocol):
    """Interface of the connection that an exchange belongs to.

    Attributes:
        read_by_s: Clock time by which the caller is taken to have read all
            responses that it was sent.
    """

    read_by_s: float

    def closes_after(self, exchange: Exchange) -> bool:
        """Returns whether the response to this request is the last one."""

    def flush(self) -> None:
        """Writes the responses that are next in order."""


class Exchange:
    """One complete request of a caller, until its response.

    Attributes:
        request: The request.
        cancel: Cancels the processing; set by the handler.
        is_over: Whether a response was sent or the caller disconnected.
        reservation: Memory that the body of the request takes, if any.
    """

    __slots__ = ("_closes", "_connection", "_output", "cancel", "is_over",
                 "request", "reservation")  # fmt: skip

    def __init__(
        self,
        connection: Connection,
        request: messages.CallerRequest,
        closes: bool,
    ) -> None:
        self.request = request
        self.cancel: Any = None
        self.is_over = False
        self.reservation: buffer_budget.Reservation | None = None
        self._connection = connection
        self._closes = closes
        self._output: bytes | None = None

    def respond(self, status: int, header_lines: bytes, body: bytes) -> None:
        """Sends the response; does nothing if the caller disconnected.

        Args:
            status: HTTP status.
            header_lines: Header lines, each ended by CRLF.
            body: The complete body.
        """
        if self.is_over:
            return
        self.end()
        self.cancel = None
        parts = [heads.status_line(status), header_lines]
        if heads.may_have_body(status):
            parts.append(b"Content-Length: %d\r\n" % len(body))
        if self._closes or self._connection.closes_after(self):
            parts.append(b"Connection: close\r\n")
        parts.append(heads.CRLF)
        if self.request.method != b"HEAD":
            parts.append(body)
        self._output = b"".join(parts)
        self._connection.flush()

    def close_after(self) -> bool:
        """Lets the response close the connection.

        Returns:
            Whether it does; False if the response was encoded before.
        """
        if self._output is None:
            self._closes = True
        return self._closes

    def end(self) -> None:
        """Marks the request as over and releases its memory."""
        self.is_over = True
        if self.reservation is not None:
            self.reservation.release()
            self.reservation = None

    @property
    def earlier_read_by_s(self) -> float:
        """Returns when the caller is taken to have read what it was sent."""
        return self._connection.read_by_s

    @property
    def output(self) -> bytes | None:
        """Returns the encoded response, or None before there is one."""
        return self._output

    @property
    def closes(self) -> bool:
        """Returns whether the connection closes after the response."""
        return self._closes


class Handler(abc.ABC):
    """Handles the complete requests of callers."""

    @abc.abstractmethod
    def handle(self, exchange: Exchange) -> None:
        """Handles a request; calls `respond` at once or later."""

    @abc.abstractmethod
    def limits(self) -> model.RequestLimits:
        """Returns the limits on requests that are in force."""
