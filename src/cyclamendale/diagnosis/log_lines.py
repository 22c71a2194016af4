"""Lines of the nodes' logs: one JSON object each."""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from cyclamendale import decoding
from cyclamendale import ids


class Event(enum.StrEnum):
    """Events that tell causes, by their names in the log."""

    SETTINGS_UNUSABLE = "settings-unusable"
    ADDRESSES_IN_USE = "addresses-in-use"
    START_FAILED = "start-failed"
    START = "start"
    STOP = "stop"
    STOPPED = "stopped"
    RELOAD = "reload"
    STORE_REACHABLE = "store-reachable"
    STORE_UNREACHABLE = "store-unreachable"
    CONFIGURATION_IN_FORCE = "configuration-in-force"
    UPSTREAM_DOOR = "upstream-door"
    LINK_SILENT = "link-silent"
    QUOTA_HOME_SILENT = "quota-home-silent"
    LINES_LEFT_OUT = "lines-left-out"
    REFUSED = "refused"
    SHED = "shed"
    OVER_QUOTA = "over-quota"
    REPEAT = "repeat"
    GAVE_UP = "gave-up"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_REFUSED = "upstream-refused"
    UPSTREAM_SILENT = "upstream-silent"
    ANSWERED_WITH_FAILURE = "answered-with-failure"
    CALLER_LEFT = "caller-left"


PROCESS_EVENTS = frozenset(
    {
        Event.SETTINGS_UNUSABLE,
        Event.ADDRESSES_IN_USE,
        Event.START_FAILED,
        Event.START,
        Event.STOP,
        Event.STOPPED,
        Event.RELOAD,
        Event.STORE_REACHABLE,
        Event.CONFIGURATION_IN_FORCE,
    }
)
"""Events of the lives of processes."""


class LogLine(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a log.

    Attributes:
        time_s: Time by the host's clock, in seconds since the epoch.
        node: Name of the node; empty while its settings can't be used.
        event: Name of the event.
        log: File that contains the line.
        pid: Process that wrote it; 0 if the line does not say.
        request: Request that it is about, if any.
        fields: All further fields.
    """

    time_s: float
    node: ids.NodeId
    event: str
    log: str
    pid: int = 0
    request: ids.RequestId | None = None
    fields: dict[str, Any] = {}

    def text(self, name: str) -> str:
        """Returns a field as text; empty if absent."""
        value = self.fields.get(name)
        return "" if value is None else str(value)

    def number(self, name: str) -> float | None:
        """Returns a field that is a number."""
        value = self.fields.get(name)
        is_number = isinstance(value, int | float)
        return value if is_number and not isinstance(value, bool) else None


def decode(raw: bytes, log: str) -> LogLine | None:
    """Returns the line that bytes contain; None if they are no log line."""
    try:
        fields = msgspec.json.decode(raw)
    except decoding.ERRORS:
        return None
    if not isinstance(fields, dict):
        return None
    time_s = fields.pop("time", None)
    node = fields.pop("node", None)
    event = fields.pop("event", None)
    pid = fields.pop("pid", 0)
    request = fields.pop("request", None)
    fields.pop("level", None)
    if not isinstance(time_s, int | float) or not isinstance(event, str):
        return None
    return LogLine(
        time_s=time_s,
        node=ids.NodeId(node if isinstance(node, str) else ""),
        event=event,
        log=log,
        pid=pid if isinstance(pid, int) else 0,
        request=ids.RequestId(request) if isinstance(request, str) else None,
        fields=fields,
    )


def count_left_out(line: LogLine) -> int:
    """Returns how many lines a line says that its node left out."""
    by_event = line.fields.get("counts")
    if not isinstance(by_event, dict):
        return 0
    return sum(count for count in by_event.values() if isinstance(count, int))
