"""Interface of the caller that waits for the answer of a call."""

from __future__ import annotations

import abc

from cyclamendale import refusals
from cyclamendale.forwarding import exchange


class Caller(abc.ABC):
    """Receives the answer of a call; implemented by the HTTP entry."""

    @abc.abstractmethod
    def filters_passed(self) -> None:
        """Forwards the call after all filters let it pass."""

    @abc.abstractmethod
    def answer(self, answer: exchange.Answer) -> None:
        """Receives the head and the first body part of the answer."""

    @abc.abstractmethod
    def chunk(self, data: bytes, last: bool) -> None:
        """Receives a further part of the answer's body.

        Unless it is the last part, the caller requests the next one with
        `Forwarding.pull` when its connection can take more data.
        """

    @abc.abstractmethod
    def refuse(self, refusal: refusals.Refusal) -> None:
        """Receives a refusal instead of an answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Aborts an incomplete answer, so that it cannot look complete."""

    @abc.abstractmethod
    def request_upload(self) -> None:
        """Requests the next part of the request's body.

        The caller sends it with `Forwarding.push`.
        """
