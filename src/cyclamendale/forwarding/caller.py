"""Interface of whoever waits for the answer of a call."""

from __future__ import annotations

import abc

from cyclamendale import refusals
from cyclamendale.forwarding import exchange


class Caller(abc.ABC):
    """Who waits for the answer: the HTTP request at the entry."""

    @abc.abstractmethod
    def filters_passed(self) -> None:
        """Forwards the call, which passed the filter chain."""

    @abc.abstractmethod
    def answer(self, answer: exchange.Answer) -> None:
        """Receives the start of the answer."""

    @abc.abstractmethod
    def chunk(self, data: bytes, last: bool) -> None:
        """Receives a further part of the answer's body.

        Unless it is the last, the caller asks for the next one through
        `Forwarding.pull` when it has room.
        """

    @abc.abstractmethod
    def refuse(self, refusal: refusals.Refusal) -> None:
        """Receives a refusal instead of an answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """The answer broke off midway; it must not look complete."""

    @abc.abstractmethod
    def request_upload(self) -> None:
        """Asks for the next part of the request's body.

        The caller sends it through `Forwarding.push`.
        """
