"""HTTP interfaces for the platform: heartbeats, departures and readiness."""

from __future__ import annotations

import abc
from typing import Any

import msgspec
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from cyclamendale import addresses
from cyclamendale import decoding
from cyclamendale import ids
from cyclamendale.fleet import announcements
from cyclamendale.membership import directory

MAX_ANNOUNCEMENT_BYTES = 16 * 1024
"""Longest body of an announcement that is read."""

MAX_SLOTS = 1_000_000
MAX_COLD_S = 3_600.0
MAX_INTEGER = 2**63 - 1
"""Bounds of the numbers in an announcement. JSON has none, but those who use
them have."""

_STATES = {
    "ready": directory.UpstreamState.READY,
    "draining": directory.UpstreamState.DRAINING,
}


class _HeartbeatBody(msgspec.Struct):
    """Body of a heartbeat; the platform defines the field names."""

    service: str
    address: str
    slots: int
    state: str
    sequence: int
    # Start time of the upstream's process, in ms since the Unix epoch.
    born: int
    cold_left_s: float = 0.0


class _DeregisterBody(msgspec.Struct):
    born: int | None = None


class UpstreamListener(abc.ABC):
    """Receives the announcements of the host's upstream."""

    @abc.abstractmethod
    def handle_heartbeat(self, heartbeat: announcements.Heartbeat) -> bool:
        """Handles a heartbeat; returns whether to confirm it."""

    @abc.abstractmethod
    def handle_departure(
        self, upstream_id: str, started_at_ms: int | None
    ) -> None:
        """Handles an upstream's announcement that it leaves."""

    @abc.abstractmethod
    def handle_malformed(self, detail: str) -> None:
        """Handles an announcement that can't be decoded."""


def decode_heartbeat(
    upstream_id: str, body: bytes
) -> announcements.Heartbeat | None:
    """Decodes a heartbeat; returns None if it is malformed."""
    try:
        heartbeat_body = msgspec.json.decode(body, type=_HeartbeatBody)
    except decoding.ERRORS:
        return None
    state = _STATES.get(heartbeat_body.state)
    if state is None or not upstream_id or not _is_in_range(heartbeat_body):
        return None
    return announcements.Heartbeat(
        upstream_id=upstream_id,
        started_at_ms=heartbeat_body.born,
        sequence=heartbeat_body.sequence,
        service=ids.ServiceName(heartbeat_body.service),
        address=heartbeat_body.address,
        slots=heartbeat_body.slots,
        state=state,
        cold_left_s=heartbeat_body.cold_left_s,
    )


def _is_in_range(body: _HeartbeatBody) -> bool:
    return (
        1 <= body.slots <= MAX_SLOTS
        and 0 <= body.sequence <= MAX_INTEGER
        and 0 <= body.born <= MAX_INTEGER
        and 0.0 <= body.cold_left_s <= MAX_COLD_S
        and addresses.is_valid(body.address)
    )


class _AnnouncementResource(resource.Resource, abc.ABC):
    """Endpoint whose path ends with the id of an upstream."""

    isLeaf = True

    def __init__(self, listener: UpstreamListener) -> None:
        super().__init__()
        self._listener = listener

    def render_POST(self, request: Any) -> bytes:
        """Handles one announcement."""
        upstream_id = b"/".join(request.postpath).decode("latin-1")
        body = request.content.read(MAX_ANNOUNCEMENT_BYTES)
        request.setHeader(b"content-type", b"application/json")
        if not self._process(upstream_id, body):
            request.setResponseCode(http.BAD_REQUEST)
        return b"{}"

    @abc.abstractmethod
    def _process(self, upstream_id: str, body: bytes) -> bool:
        """Processes an announcement; returns whether to confirm it."""


class _HeartbeatResource(_AnnouncementResource):
    def _process(self, upstream_id: str, body: bytes) -> bool:
        heartbeat = decode_heartbeat(upstream_id, body)
        if heartbeat is None:
            self._listener.handle_malformed(f"{upstream_id}: {body[:200]!r}")
            return False
        return self._listener.handle_heartbeat(heartbeat)


class _DeregisterResource(_AnnouncementResource):
    def _process(self, upstream_id: str, body: bytes) -> bool:
        started_at_ms = None
        if body:
            try:
                started_at_ms = msgspec.json.decode(
                    body, type=_DeregisterBody
                ).born
            except decoding.ERRORS:
                self._listener.handle_malformed(
                    f"{upstream_id}: {body[:200]!r}"
                )
        self._listener.handle_departure(upstream_id, started_at_ms)
        return True


class _ReadinessResource(resource.Resource):
    isLeaf = True

    def __init__(self, is_ready: Any) -> None:
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request: Any) -> bytes:
        """Answers 200 if the node accepts requests, otherwise 503."""
        if not self._is_ready():
            request.setResponseCode(http.SERVICE_UNAVAILABLE)
        return b""


def make_announcement_site(listener: UpstreamListener) -> server.Site:
    """Returns the site for announcements of the host's upstream."""
    endpoints: Any = resource.Resource()
    endpoints.putChild(b"Instances.Heartbeat", _HeartbeatResource(listener))
    endpoints.putChild(b"Instances.Deregister", _DeregisterResource(listener))
    return _make_site(endpoints)


def make_readiness_site(is_ready: Any) -> server.Site:
    """Returns the site that reports whether the node accepts requests."""
    endpoints: Any = resource.Resource()
    endpoints.putChild(b"readiness", _ReadinessResource(is_ready))
    return _make_site(endpoints)


def _make_site(endpoints: Any) -> server.Site:
    root: Any = resource.Resource()
    root.putChild(b"-", endpoints)
    site = server.Site(root)
    site.noisy = False
    site.displayTracebacks = False
    return site
