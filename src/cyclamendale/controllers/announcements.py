"""Accepts the announcements of the upstream on this host.

The upstream counts as gone after a long silence, or after a shorter one while
connections to it fail.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
import enum
import ipaddress
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer
from twisted.web import resource

from cyclamendale import clocks
from cyclamendale import decoding
from cyclamendale import events
from cyclamendale.controllers import base
from cyclamendale.membership import directory
from cyclamendale.membership import wire

SILENCE_TIMEOUT_S = 3.0
"""Silence after which failing connections remove the upstream."""
MAX_SILENCE_S = 15.0
"""Silence that removes the upstream even without failing connections."""
CHECK_INTERVAL_S = 0.5
MAX_BODY_BYTES = 4_096
MAX_COUNT = 1_000_000
"""Largest number of slots or connections that is accepted."""
GONE_STATE = "gone"
"""State recorded in events for an upstream that was removed."""

_State = directory.UpstreamState


class AnnouncementErrorKind(enum.Enum):
    """Why an announcement was refused; the values are a public API."""

    TOO_LARGE = "too-large"
    MALFORMED = "malformed"
    OUT_OF_RANGE = "out-of-range"
    HOST_TAKEN = "host-taken"


HTTP_STATUS_BY_KIND = {
    AnnouncementErrorKind.TOO_LARGE: 413,
    AnnouncementErrorKind.MALFORMED: 400,
    AnnouncementErrorKind.OUT_OF_RANGE: 400,
    AnnouncementErrorKind.HOST_TAKEN: 409,
}


class AnnouncementError(msgspec.Struct, frozen=True):
    """A refused announcement.

    Attributes:
        kind: Why it was refused.
        detail: Description of the problem for the upstream's operator.
    """

    kind: AnnouncementErrorKind
    detail: str


def parse_announcement(
    body: bytes,
) -> Result[directory.Announcement, AnnouncementError]:
    """Decodes and validates the JSON of an announcement."""
    if len(body) > MAX_BODY_BYTES:
        return _make_error(
            AnnouncementErrorKind.TOO_LARGE, f"more than {MAX_BODY_BYTES} bytes"
        )
    try:
        announcement = msgspec.json.decode(body, type=directory.Announcement)
    except UnicodeDecodeError as error:
        return _make_error(AnnouncementErrorKind.MALFORMED, error.reason)
    except decoding.ERRORS as error:
        return _make_error(AnnouncementErrorKind.MALFORMED, str(error))
    for field, problem in _find_problems(announcement):
        return _make_error(
            AnnouncementErrorKind.OUT_OF_RANGE, f"{field}: {problem}"
        )
    return Ok(announcement)


class AnnouncementsController(base.Controller):
    """Tracks the state of the single upstream on this host.

    Attributes:
        current: The last announcement; None without an upstream.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        event_log: events.EventLog,
        on_change: Callable[[directory.Announcement | None], None],
        has_connect_failed: Callable[[], bool],
        silence_timeout_s: float = SILENCE_TIMEOUT_S,
    ) -> None:
        """Creates the controller of a host without an upstream.

        Args:
            clock: Time source and scheduler.
            event_log: Where state changes are recorded.
            on_change: Called with each changed announcement, and with None
                when the upstream is gone.
            has_connect_failed: Returns whether connections to the upstream
                currently fail.
            silence_timeout_s: Silence after which failing connections remove
                the upstream.
        """
        self._silence_timeout_s = silence_timeout_s
        self._clock = clock
        self._event_log = event_log
        self._on_change = on_change
        self._has_connect_failed = has_connect_failed
        self._last_announced_s = 0.0
        self._check_call: clocks.DelayedCall | None = None
        self._last_check_s = 0.0
        self.current: directory.Announcement | None = None

    def start(self) -> None:
        """See base class."""
        self._last_check_s = self._clock.now_s()
        self._check()

    def stop(self) -> defer.Deferred[None]:
        """See base class."""
        clocks.cancel(self._check_call)
        return defer.succeed(None)

    def announce(
        self, announcement: directory.Announcement
    ) -> Result[None, AnnouncementError]:
        """Accepts an announcement unless another upstream uses the host."""
        if self._is_host_taken(announcement):
            assert self.current is not None  # Follows from the condition.
            return _make_error(
                AnnouncementErrorKind.HOST_TAKEN,
                f"{self.current.service} at {self.current.address}"
                " is on this host",
            )
        self._last_announced_s = self._clock.now_s()
        if announcement != self.current:
            self._set_current(announcement)
        return Ok(None)

    def make_resource(self) -> resource.Resource:
        """Returns the HTTP resource to mount as `announce`."""
        return AnnouncementResource(self)

    def _is_host_taken(self, announcement: directory.Announcement) -> bool:
        current = self.current
        if current is None or current.state is _State.STOPPED:
            return False
        return (current.service, current.address) != (
            announcement.service,
            announcement.address,
        )

    def _check(self) -> None:
        self._check_call = self._clock.call_later(CHECK_INTERVAL_S, self._check)
        now_s = self._clock.now_s()
        delay_s = now_s - self._last_check_s - CHECK_INTERVAL_S
        self._last_check_s = now_s
        if delay_s > CHECK_INTERVAL_S:
            # This process was paused; unread announcements may be queued.
            self._last_announced_s += delay_s
        if self.current is None:
            return
        silence_s = now_s - self._last_announced_s
        if silence_s >= MAX_SILENCE_S or (
            silence_s >= self._silence_timeout_s and self._has_connect_failed()
        ):
            self._set_current(None)

    def _set_current(self, announcement: directory.Announcement | None) -> None:
        before, self.current = self.current, announcement
        self._record_change(before, announcement)
        self._on_change(announcement)

    def _record_change(
        self,
        before: directory.Announcement | None,
        after: directory.Announcement | None,
    ) -> None:
        if _recorded_state(before) == _recorded_state(after):
            return
        subject = after or before
        if subject is None:
            return
        state = GONE_STATE if after is None else after.state.value
        self._event_log.record(
            events.UpstreamChanged(service=subject.service, state=state)
        )


class AnnouncementResource(resource.Resource):
    """HTTP resource that accepts announcements by POST."""

    def __init__(self, controller: AnnouncementsController) -> None:
        super().__init__()
        self.isLeaf = True
        self._controller = controller

    def render_POST(self, request: Any) -> bytes:
        """Accepts an announcement; answers 204 or a typed JSON error."""
        body = request.content.read(MAX_BODY_BYTES + 1)
        result = parse_announcement(body).bind(self._controller.announce)
        if result.is_ok():
            request.setResponseCode(204)
            return b""
        error = result.error
        request.setResponseCode(HTTP_STATUS_BY_KIND[error.kind])
        request.setHeader(b"content-type", b"application/json")
        return msgspec.json.encode(error)


def make_announcements_controller(
    clock: clocks.Clock,
    event_log: events.EventLog,
    on_change: Callable[[directory.Announcement | None], None],
    has_connect_failed: Callable[[], bool],
    silence_timeout_s: float = SILENCE_TIMEOUT_S,
) -> AnnouncementsController:
    """Returns a controller; see `AnnouncementsController`."""
    return AnnouncementsController(
        clock, event_log, on_change, has_connect_failed, silence_timeout_s
    )


def _recorded_state(announcement: directory.Announcement | None) -> Any:
    """Returns the fields of an announcement whose changes are recorded."""
    return announcement and (announcement.service, announcement.state)


def _find_problems(
    announcement: directory.Announcement,
) -> Iterator[tuple[str, str]]:
    names = (
        ("service", announcement.service),
        ("address", announcement.address),
    )
    for field, value in names:
        if not 0 < len(value.encode()) <= wire.MAX_NAME_CHARACTERS:
            limit = wire.MAX_NAME_CHARACTERS
            yield field, f"must have 1 to {limit} bytes"
    if not _is_ip_and_port(announcement.address):
        yield "address", "must be ip:port"
    counts = (
        ("slots", announcement.slots),
        ("connections", announcement.connections),
    )
    for field, count in counts:
        if not 0 < count <= MAX_COUNT:
            yield field, f"must be 1 to {MAX_COUNT}"


def _is_ip_and_port(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    is_number = port.isascii() and port.isdigit()
    return is_number and 0 < int(port) < 65_536


def _make_error(
    kind: AnnouncementErrorKind, detail: str
) -> Result[Any, AnnouncementError]:
    return Error(AnnouncementError(kind, detail))
