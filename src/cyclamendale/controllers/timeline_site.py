"""HTTP resources for time line, status and configuration.

They are served by the control listener, on loopback only.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
import enum
from typing import Any, TypeAlias

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import defer
from twisted.logger import Logger
from twisted.python import failure
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.controllers import timeline as timelines

MAX_PARAMETER_NAME_CHARS = 256
"""Longest part of a parameter name that an error repeats."""


class ParameterProblem(enum.Enum):
    """What is wrong with a query parameter."""

    UNKNOWN = "unknown"
    REPEATED = "repeated"
    MALFORMED = "malformed"


class ParameterError(msgspec.Struct, frozen=True):
    """An invalid query parameter; the body of a 400 response."""

    parameter: str
    problem: ParameterProblem


Parameters: TypeAlias = Mapping[str, str]
_ParseResult: TypeAlias = Result[Any, ParameterError]


class _StatusParameters(msgspec.Struct, forbid_unknown_fields=True):
    version: int | None = None


class _TimelineParameters(msgspec.Struct, forbid_unknown_fields=True):
    request: str | None = None
    customer: str | None = None
    file: str | None = None
    since_ms: int = 0
    limit: int = timeline.DEFAULT_LIMIT_EVENTS


class _ConfigurationParameters(msgspec.Struct, forbid_unknown_fields=True):
    kind: str | None = None
    name: str | None = None


class JsonResource(resource.Resource):
    """Answers GET requests with the JSON encoding of a function's result."""

    def __init__(
        self,
        parameters: type[msgspec.Struct],
        answer: Callable[[Any], Any | defer.Deferred[Any]],
    ) -> None:
        super().__init__()
        self.isLeaf = True
        self._parameters = parameters
        self._answer = answer

    def render_GET(self, request: server.Request) -> bytes | int:
        """Answers a request once the result is available."""
        request.setHeader(b"content-type", b"application/json")
        parsed = _parse(self._parameters, request.args or {})
        if parsed.is_error():
            request.setResponseCode(http.BAD_REQUEST)
            return msgspec.json.encode(parsed.error)
        disconnects: list[failure.Failure] = []
        request.notifyFinish().addErrback(disconnects.append)
        answered = defer.maybeDeferred(self._answer, parsed.ok)
        answered.addCallback(msgspec.json.encode)
        answered.addErrback(_render_server_error, request)
        answered.addCallback(_finish, request, disconnects)
        return server.NOT_DONE_YET


def add_resources(
    root: resource.Resource, controller: timelines.TimelineController
) -> None:
    """Adds `/status`, `/timeline` and `/configuration` to `root`."""
    children: dict[bytes, Any] = {
        b"status": JsonResource(
            _StatusParameters,
            lambda parameters: controller.gather_status(parameters.version),
        ),
        b"timeline": JsonResource(
            _TimelineParameters,
            lambda parameters: controller.gather_timeline(
                _make_query(parameters)
            ),
        ),
        b"configuration": JsonResource(
            _ConfigurationParameters,
            lambda parameters: controller.configuration_in_force(
                parameters.kind, parameters.name
            ),
        ),
    }
    for path, child in children.items():
        root.putChild(path, child)


def _make_query(parameters: _TimelineParameters) -> timeline.TimelineQuery:
    return timeline.TimelineQuery(
        request=_convert_or_none(ids.RequestId, parameters.request),
        customer=_convert_or_none(ids.CustomerId, parameters.customer),
        file=_convert_or_none(ids.IntentFileName, parameters.file),
        since_ms=parameters.since_ms,
        limit_events=max(1, min(parameters.limit, timeline.MAX_LIMIT_EVENTS)),
    )


def _convert_or_none(make_id: Callable[[str], Any], text: str | None) -> Any:
    return None if text is None else make_id(text)


def _parse(
    parameters: type[msgspec.Struct], arguments: Mapping[bytes, list[bytes]]
) -> _ParseResult:
    known = {
        field.name: field.type for field in msgspec.structs.fields(parameters)
    }
    values = {}
    for raw_name, raw_values in arguments.items():
        name = raw_name.decode(errors="replace")[:MAX_PARAMETER_NAME_CHARS]
        if name not in known:
            return Error(ParameterError(name, ParameterProblem.UNKNOWN))
        if len(raw_values) != 1:
            return Error(ParameterError(name, ParameterProblem.REPEATED))
        try:
            text = raw_values[0].decode()
            values[name] = msgspec.convert(text, known[name], strict=False)
        except (UnicodeDecodeError, msgspec.ValidationError):
            return Error(ParameterError(name, ParameterProblem.MALFORMED))
    return Ok(parameters(**values))


def _render_server_error(
    reason: failure.Failure, request: server.Request
) -> bytes:
    Logger().failure(
        "unexpected error while answering a control request", reason
    )
    request.setResponseCode(http.INTERNAL_SERVER_ERROR)
    return b"{}"


def _finish(
    body: bytes, request: server.Request, disconnects: list[failure.Failure]
) -> None:
    if not disconnects:
        request.setHeader(b"content-length", str(len(body)).encode())
        request.write(body)
        request.finish()
