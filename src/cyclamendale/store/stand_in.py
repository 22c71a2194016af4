"""Small HTTP server that stands in for the platform in demos and tests.

Usage: python -m cyclamendale.store.stand_in --port N

It listens on loopback only, prints its address as one JSON line and
keeps everything in memory. `http_api.FAULTS_PATH` switches its faults.
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
"""Largest request that the stand-in reads."""

Reply = tuple[int, bytes]
"""HTTP status and body."""


class Platform:
    """State and faults behind the HTTP resources.

    Attributes:
        rows: The table's rows.
        objects: The object store's objects.
        switch: Faults to bring about, and operation counters.
    """

    def __init__(self) -> None:
        self.rows = states.TableState()
        self.objects = states.ObjectState()
        self.switch = faults.FaultSwitch()


class _FaultyResource(resource.Resource):
    """Answers one request, or lets it meet the fault switched on."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, platform: Platform, clock: clocks.Clock) -> None:
        super().__init__()
        self._platform = platform
        self._clock = clock

    def _answer(
        self,
        request: Any,
        operation: faults.Operation,
        run: Callable[[], Reply],
        conflict: Callable[[], Reply],
    ) -> int:
        rule = self._platform.switch.meet(operation)
        fault = rule.fault if rule else None
        if rule is not None and fault is faults.Fault.SLOW:
            self._clock.call_later(rule.delay_s, self._late, request, run)
        elif fault is faults.Fault.DOWN:
            _finish(request, _error_reply(table.TableErrorKind.UNAVAILABLE))
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

    def _late(self, request: Any, run: Callable[[], Reply]) -> None:
        reply = run()
        if request.channel is not None:
            _finish(request, reply)


class TableResource(_FaultyResource):
    """The table: one POST for each operation."""

    def render_POST(self, request: Any) -> int:
        """Decodes an operation and answers it."""
        name = request.path.decode("ascii", "replace")
        decoded = _decode_table_request(
            name.removeprefix(http_api.TABLE_PATH), request.content.read()
        )
        if decoded is None:
            _finish(request, _error_reply(table.TableErrorKind.MALFORMED))
            return server.NOT_DONE_YET
        operation, message = decoded
        return self._answer(
            request,
            operation,
            lambda: self._run(message),
            lambda: _table_error_reply(
                self._platform.rows.conflict(_first_key(message))
            ),
        )

    def _run(self, message: Any) -> Reply:
        rows = self._platform.rows
        if isinstance(message, http_api.ReadRequest):
            return _reply(http_api.ReadAnswer(rows.read(message.key)))
        if isinstance(message, http_api.ListRequest):
            found = rows.list_rows(message.prefix, message.limit)
            return _reply(http_api.RowsAnswer(found))
        match rows.transact(_writes_of(message)):
            case Result(tag="ok", ok=written):
                return _reply(http_api.RowsAnswer(written))
            case Result(error=error):
                return _table_error_reply(error)


class ObjectResource(_FaultyResource):
    """The object store: PUT and GET by digest."""

    def render_PUT(self, request: Any) -> int:
        """Stores the body when it matches the digest in the path."""
        digest = _digest_in(request)
        data = request.content.read()
        match states.checked(data, digest):
            case Result(tag="error"):
                _finish(request, (http.BAD_REQUEST, b""))
                return server.NOT_DONE_YET
        return self._answer(
            request,
            faults.Operation.PUT_OBJECT,
            lambda: (http.OK, self._platform.objects.put(data).encode()),
            lambda: (http.CONFLICT, b""),
        )

    def render_GET(self, request: Any) -> int:
        """Returns the object named in the path."""
        return self._answer(
            request,
            faults.Operation.GET_OBJECT,
            lambda: self._get(_digest_in(request)),
            lambda: (http.CONFLICT, b""),
        )

    def _get(self, digest: str) -> Reply:
        match self._platform.objects.get(digest):
            case Result(tag="ok", ok=data):
                return http.OK, data
            case Result(error=error):
                missing = object_store.ObjectErrorKind.NOT_FOUND
                if error.kind is missing:
                    return http.NOT_FOUND, b""
                return http.INTERNAL_SERVER_ERROR, b""


class FaultsResource(resource.Resource):
    """Switches the faults of the stand-in."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, platform: Platform) -> None:
        super().__init__()
        self._platform = platform

    def render_POST(self, request: Any) -> bytes:
        """Replaces the rules in force."""
        match _decode(request.content.read(), http_api.FaultsRequest):
            case Result(tag="ok", ok=message):
                self._platform.switch.switch(message.rules)
                return b"{}"
            case _:
                request.setResponseCode(http.BAD_REQUEST)
                return b""


class CountersResource(resource.Resource):
    """Reports how many operations the stand-in has received."""

    isLeaf = True  # noqa: N815 (twisted's name)

    def __init__(self, platform: Platform) -> None:
        super().__init__()
        self._platform = platform

    def render_GET(self, request: Any) -> bytes:
        """Returns the counters."""
        operations = dict(self._platform.switch.operations)
        return msgspec.json.encode(http_api.CountersAnswer(operations))


def make_site(platform: Platform, clock: clocks.Clock) -> server.Site:
    """Returns the HTTP site that serves a platform.

    Args:
        platform: What to serve.
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


def _decode(body: bytes, kind: Any) -> Result[Any, msgspec.MsgspecError]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
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


def _digest_in(request: Any) -> str:
    path = request.path.decode("ascii", "replace")
    return path.removeprefix(http_api.OBJECTS_PATH)


def _reply(message: msgspec.Struct) -> Reply:
    return http.OK, msgspec.json.encode(message)


def _error_reply(kind: table.TableErrorKind) -> Reply:
    return _table_error_reply(table.TableError(kind))


def _table_error_reply(error: table.TableError) -> Reply:
    answer = http_api.ErrorAnswer(error.kind, error.key, error.current)
    status = http_api.HTTP_STATUS_BY_KIND[error.kind]
    return status, msgspec.json.encode(answer)


def _finish(request: Any, reply: Reply) -> None:
    status, body = reply
    request.setResponseCode(status)
    request.setHeader(b"content-length", b"%d" % len(body))
    request.write(body)
    request.finish()


def main(arguments: list[str]) -> None:
    """Serves a fresh platform until it is stopped."""
    parser = argparse.ArgumentParser(description="Stand-in platform.")
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
