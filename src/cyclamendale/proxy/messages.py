"""Requests, responses and the interface of whatever runs requests."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TypeAlias

from cyclamendale import ids
from cyclamendale import refusals


class CallerRequest:
    """A complete request, as read from a caller or this host's upstream.

    Attributes:
        method: HTTP method.
        path: Path and query, as sent.
        host: Host header, as sent.
        request_id: Id of the caller's attempt; empty if it sent none.
        remaining_s: Time until the caller stops waiting, if it stated one.
        key: The caller's key, if it sent one.
        header_lines: Header lines to forward, each ended by CRLF.
        body: The body.
        arrived_s: Clock time at which the request was complete.
    """

    __slots__ = (
        "arrived_s",
        "body",
        "host",
        "key",
        "header_lines",
        "method",
        "path",
        "remaining_s",
        "request_id",
    )

    def __init__(self) -> None:
        self.method = b""
        self.path = b""
        self.host = b""
        self.request_id = b""
        self.remaining_s: float | None = None
        self.key: bytes | None = None
        self.header_lines = b""
        self.body = b""
        self.arrived_s = 0.0


NO_REQUEST = CallerRequest()
"""Stands for the request of a connection on which none has begun."""


class UpstreamRequest:
    """A request for an upstream.

    Attributes:
        request_id: Id of the caller's attempt.
        route: Route that the request matched.
        service: Service that is to run it.
        head: Request line and header lines, each ended by CRLF, without the
            headers that the upstream's node adds.
        body: The body.
        deadline_s: Clock time after which nobody waits for the response.
        aim_s: Clock time until which the response is worth most.
        rank: Rank in the order of shedding; the lowest is shed last.
        idempotent: Whether it may run more than once.
        onward: Whether an upstream sent it while running another request.
        upstream_id: Upstream process that is to run it, if chosen.
    """

    __slots__ = (
        "aim_s",
        "body",
        "deadline_s",
        "head",
        "idempotent",
        "onward",
        "rank",
        "request_id",
        "route",
        "service",
        "upstream_id",
    )

    def __init__(
        self,
        request_id: str,
        route: ids.RouteName,
        service: ids.ServiceName,
        head: bytes,
        body: bytes,
        deadline_s: float,
        aim_s: float,
        rank: int,
        idempotent: bool,
        onward: bool,
        upstream_id: str = "",
    ) -> None:
        self.request_id = request_id
        self.route = route
        self.service = service
        self.head = head
        self.body = body
        self.deadline_s = deadline_s
        self.aim_s = aim_s
        self.rank = rank
        self.idempotent = idempotent
        self.onward = onward
        self.upstream_id = upstream_id


class Response:
    """A complete response of an upstream.

    Attributes:
        status: HTTP status.
        header_lines: Header lines to forward, each ended by CRLF.
        body: The body.
    """

    __slots__ = ("body", "header_lines", "status")

    def __init__(self, status: int, header_lines: bytes, body: bytes) -> None:
        self.status = status
        self.header_lines = header_lines
        self.body = body


Outcome: TypeAlias = Response | refusals.Refusal

OutcomeReceiver: TypeAlias = Callable[[Outcome], None]
"""Callback that is called once with the outcome of a request."""


class Handle(abc.ABC):
    """A running request that has no outcome yet."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the request; its receiver is not called afterwards."""


class Runner(abc.ABC):
    """Runs requests on one upstream, directly or through other nodes."""

    @abc.abstractmethod
    def run(
        self, request: UpstreamRequest, receiver: OutcomeReceiver
    ) -> Handle | None:
        """Runs a request.

        Returns:
            A handle, or None if `receiver` was called already.
        """
