"""HTTP client of a node's control listener."""

from __future__ import annotations

from collections.abc import Generator, Mapping
from typing import Any, TypeVar
import urllib.parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer
from twisted.internet import error
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers

from cyclamendale import http_pool
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.cli import faults
from cyclamendale.cli import services

CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024

T = TypeVar("T")
_NodeResult = Result[T, faults.NodeFailed]


class HttpNodeClient(services.NodeClient):
    """Queries a node over HTTP."""

    def __init__(self, reactor: Any, url: str, timeout_s: float) -> None:
        self._reactor = reactor
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._agent = client.Agent(
            reactor,
            connectTimeout=CONNECT_TIMEOUT_S,
            pool=http_pool.make_http_pool(reactor, persistent=False),
        )

    def status(
        self, version: ids.ConfigVersion | None = None
    ) -> defer.Deferred[_NodeResult[timeline.FleetStatus]]:
        """See base class."""
        return self._get("/status", {"version": version}, timeline.FleetStatus)

    def merged_timeline(
        self, query: timeline.TimelineQuery
    ) -> defer.Deferred[_NodeResult[timeline.MergedTimeline]]:
        """See base class."""
        parameters = {
            "request": query.request,
            "customer": query.customer,
            "file": query.file,
            "since_ms": query.since_ms,
            "limit": query.limit_events,
        }
        return self._get("/timeline", parameters, timeline.MergedTimeline)

    def configuration(
        self, kind: str | None, name: str | None
    ) -> defer.Deferred[_NodeResult[timeline.ConfigurationInForce]]:
        """See base class."""
        parameters = {"kind": kind, "name": name}
        return self._get(
            "/configuration", parameters, timeline.ConfigurationInForce
        )

    def _get(
        self, path: str, parameters: Mapping[str, Any], answer_type: type[T]
    ) -> defer.Deferred[_NodeResult[T]]:
        query = {
            name: value
            for name, value in parameters.items()
            if value is not None
        }
        url = f"{self._url}{path}?{urllib.parse.urlencode(query)}"
        pending = self._fetch(url.encode(), answer_type)
        pending.addTimeout(
            self._timeout_s,
            self._reactor,
            # Twisted reports a cancelled request in several ways.
            lambda _, __: self._make_error(faults.NodeProblem.TIMEOUT),
        )
        return pending.addErrback(self._handle_failure)

    @defer.inlineCallbacks
    def _fetch(
        self, url: bytes, answer_type: type[T]
    ) -> Generator[defer.Deferred[Any], Any, _NodeResult[T]]:
        headers = http_headers.Headers({b"accept": [b"application/json"]})
        response = yield self._agent.request(b"GET", url, headers)
        if response.code != http.OK:
            return self._make_error(faults.NodeProblem.REJECTED, response.code)
        # A node always sends a content length; other servers may not.
        if not 0 < _content_length(response) <= MAX_ANSWER_BYTES:
            return self._make_error(faults.NodeProblem.UNREADABLE)
        body = yield client.readBody(response)
        try:
            return Ok(msgspec.json.decode(body, type=answer_type))
        except msgspec.DecodeError:
            return self._make_error(faults.NodeProblem.UNREADABLE)

    def _make_error(
        self, problem: faults.NodeProblem, status: int | None = None
    ) -> Result[Any, faults.NodeFailed]:
        return Error(faults.NodeFailed(problem, self._url, status))

    def _handle_failure(self, reason: Any) -> Result[Any, faults.NodeFailed]:
        if reason.check(error.ConnectError, error.ConnectionLost):
            return self._make_error(faults.NodeProblem.UNREACHABLE)
        reason.trap(
            client.ResponseFailed,
            client.RequestTransmissionFailed,
            http.PotentialDataLoss,
            error.ConnectionDone,
        )
        return self._make_error(faults.NodeProblem.UNREADABLE)


def _content_length(response: Any) -> int:
    # Twisted uses a symbol instead of an int for an unknown length.
    return response.length if isinstance(response.length, int) else 0


def make_node_client(
    reactor: Any, url: str, timeout_s: float
) -> services.NodeClient:
    """Returns a client of the node whose control listener is at `url`."""
    return HttpNodeClient(reactor, url, timeout_s)
