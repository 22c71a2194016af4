"""In-memory HTTP server that replaces the platform in demos and tests.

Usage: python -m cyclamendale.store.stand_in --port N

It listens on loopback only, prints its address as one JSON line and
stores no data on disk. POST requests to `http_api.FAULTS_PATH` set the
faults to inject.
"""

from __future__ import annotations

import argparse
from collections.abc import Callable
import sys
from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from twisted.internet import reactor as default_reactor
from twisted.web import http
from twisted.web import resource
from twisted.web import server

from cyclamendale import clocks
from cyclamendale.store import faults
from cyclamendale.store import http_api
from cyclamendale.store import object_store
from cyclamendale.store import state as states
from cyclamendale.store import table

LOOPBACK = "127.0.0.1"
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Maximum size of the body of a table request."""

Response = tuple[int, bytes]
"""HTTP status and body."""


class Platform:
    """State and fault injector of the server.

    Attributes:
        rows: Rows of the table.
        objects: Objects of the object store.
        injector: Selects faults and counts operations.
    """

    def __init__(self) -> None:
        self.rows = states.TableState()
        self.objects = states.ObjectState()
        self.injector = faults.FaultInjector()


class _FaultInjectingResource(resource.Resource):
    """Responds to requests, or injects the fault that applies."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, platform: Platform, clock: clocks.Clock) -> None:
        super().__init__()
        self._platform = platform
        self._clock = clock

    def _respond(
        self,
        request: Any,
        operation: faults.Operation,
        run: Callable[[], Response],
        conflict: Callable[[], Response],
    ) -> int:
        rule = self._platform.injector.select_rule(operation)
        fault = rule.fault if rule else None
        if rule is not None and fault is faults.Fault.SLOW:
            self._clock.call_later(
                rule.delay_s, self._respond_late, request, run
            )
        elif fault is faults.Fault.DOWN:
            _finish(
                request, _make_error_response(table.TableErrorKind.UNAVAILABLE)
            )
        elif fault is faults.Fault.CONFLICT:
            _finish(request, conflict())
        elif fault is faults.Fault.REQUEST_LOST:
            request.transport.abortConnection()
        elif fault is faults.Fault.ANSWER_LOST:
            run()
            request.transport.abortConnection()
        else:
            _finish(request, run())
        return server.NOT_DONE_YET

    def _respond_late(self, request: Any, run: Callable[[], Response]) -> None:
        response = run()
        if request.channel is not None:
            _finish(request, response)


class TableResource(_FaultInjectingResource):
    """The table; each operation is a POST request."""

    def render_POST(self, request: Any) -> int:
        """Runs the operation that is named in the path."""
        name = request.path.decode("ascii", "replace")
        decoded = _decode_table_request(
            name.removeprefix(http_api.TABLE_PATH), request.content.read()
        )
        if decoded is None:
            _finish(
                request, _make_error_response(table.TableErrorKind.MALFORMED)
            )
            return server.NOT_DONE_YET
        operation, message = decoded
        return self._respond(
            request,
            operation,
            lambda: self._run(message),
            lambda: _make_table_error_response(
                self._platform.rows.make_conflict(_first_key(message))
            ),
        )

    def _run(self, message: Any) -> Response:
        rows = self._platform.rows
        if isinstance(message, http_api.ReadRequest):
            return _make_response(http_api.ReadResponse(rows.read(message.key)))
        if isinstance(message, http_api.ListRequest):
            found = rows.list_rows(message.prefix, message.limit)
            return _make_response(http_api.RowsResponse(found))
        match rows.transact(_writes_of(message)):
            case Result(tag="ok", ok=written):
                return _make_response(http_api.RowsResponse(written))
            case Result(error=error):
                return _make_table_error_response(error)


class ObjectResource(_FaultInjectingResource):
    """The object store; PUT and GET by digest."""

    def render_PUT(self, request: Any) -> int:
        """Stores the body if it matches the digest in the path."""
        digest = _digest_from_path(request)
        data = request.content.read()
        match states.verify_digest(data, digest):
            case Result(tag="error"):
                _finish(request, (http.BAD_REQUEST, b""))
                return server.NOT_DONE_YET
        return self._respond(
            request,
            faults.Operation.PUT_OBJECT,
            lambda: (http.OK, self._platform.objects.put(data).encode()),
            lambda: (http.CONFLICT, b""),
        )

    def render_GET(self, request: Any) -> int:
        """Returns the object named in the path."""
        return self._respond(
            request,
            faults.Operation.GET_OBJECT,
            lambda: self._get(_digest_from_path(request)),
            lambda: (http.CONFLICT, b""),
        )

    def _get(self, digest: str) -> Response:
        match self._platform.objects.get(digest):
            case Result(tag="ok", ok=data):
                return http.OK, data
            case Result(error=error):
                not_found = object_store.ObjectErrorKind.NOT_FOUND
                if error.kind is not_found:
                    return http.NOT_FOUND, b""
                return http.INTERNAL_SERVER_ERROR, b""


class FaultsResource(resource.Resource):
    """Sets the faults to inject."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, platform: Platform) -> None:
        super().__init__()
        self._platform = platform

    def render_POST(self, request: Any) -> bytes:
        """Replaces the active fault rules."""
        match _decode(request.content.read(), http_api.FaultsRequest):
            case Result(tag="ok", ok=message):
                self._platform.injector.set_rules(message.rules)
                return b"{}"
            case _:
                request.setResponseCode(http.BAD_REQUEST)
                return b""


class CountersResource(resource.Resource):
    """Reports the number of operations received."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, platform: Platform) -> None:
        super().__init__()
        self._platform = platform

    def render_GET(self, request: Any) -> bytes:
        """Returns the number of operations by type."""
        operations = dict(self._platform.injector.operation_counts)
        return msgspec.json.encode(http_api.CountersResponse(operations))


def make_site(platform: Platform, clock: clocks.Clock) -> server.Site:
    """Returns the HTTP site that serves a platform.

    Args:
        platform: State to serve and faults to inject.
        clock: Clock for the delays of slow operations.
    """
    root: Any = resource.Resource()
    control: Any = resource.Resource()
    root.putChild(b"table", TableResource(platform, clock))
    root.putChild(b"objects", ObjectResource(platform, clock))
    root.putChild(b"control", control)
    control.putChild(b"faults", FaultsResource(platform))
    control.putChild(b"counters", CountersResource(platform))
    return server.Site(root)


_REQUEST_TYPES: dict[faults.Operation, Any] = {
    faults.Operation.READ: http_api.ReadRequest,
    faults.Operation.LIST: http_api.ListRequest,
    faults.Operation.INSERT: http_api.InsertRequest,
    faults.Operation.COMPARE_AND_SET: http_api.CompareAndSetRequest,
    faults.Operation.TRANSACT: http_api.TransactRequest,
}


def _decode_table_request(
    name: str, body: bytes
) -> tuple[faults.Operation, Any] | None:
    operations = (op for op in _REQUEST_TYPES if op.value == name)
    operation = next(operations, None)
    if operation is None or len(body) > MAX_BODY_BYTES:
        return None
    match _decode(body, _REQUEST_TYPES[operation]):
        case Result(tag="ok", ok=message):
            return operation, message
        case _:
            return None


def _decode(
    body: bytes, message_type: Any
) -> Result[Any, msgspec.MsgspecError]:
    try:
        return Ok(msgspec.json.decode(body, type=message_type))
    except msgspec.MsgspecError as error:
        return Error(error)


def _writes_of(message: Any) -> list[table.Write]:
    if isinstance(message, http_api.TransactRequest):
        return message.writes
    expected_version = getattr(
        message, "expected_version", table.ABSENT_VERSION
    )
    return [table.Write(message.key, expected_version, message.value)]


def _first_key(message: Any) -> str:
    return next((write.key for write in _writes_of(message)), "")


def _digest_from_path(request: Any) -> str:
    path = request.path.decode("ascii", "replace")
    return path.removeprefix(http_api.OBJECTS_PATH)


def _make_response(message: msgspec.Struct) -> Response:
    return http.OK, msgspec.json.encode(message)


def _make_error_response(kind: table.TableErrorKind) -> Response:
    return _make_table_error_response(table.TableError(kind))


def _make_table_error_response(error: table.TableError) -> Response:
    response = http_api.ErrorResponse(error.kind, error.key, error.current)
    status = http_api.HTTP_STATUS_BY_KIND[error.kind]
    return status, msgspec.json.encode(response)


def _finish(request: Any, response: Response) -> None:
    status, body = response
    request.setResponseCode(status)
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()


def main(arguments: list[str]) -> None:
    """Serves an empty platform until the process is stopped."""
    parser = argparse.ArgumentParser(description="In-memory platform server.")
    parser.add_argument("--port", type=int, default=0)
    options = parser.parse_args(arguments)
    reactor: Any = default_reactor
    site = make_site(Platform(), clocks.SystemClock(reactor))
    port = reactor.listenTCP(options.port, site, interface=LOOPBACK)
    address = {"host": LOOPBACK, "port": port.getHost().port}
    sys.stdout.write(msgspec.json.encode(address).decode() + "\n")
    sys.stdout.flush()
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
