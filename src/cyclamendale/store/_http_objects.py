"""HTTP client of the platform's object store."""

from __future__ import annotations

from typing import Any

from expression import Error
from expression import Ok
from expression import Result
from twisted.internet import defer
from twisted.web import http

from cyclamendale.store import faults
from cyclamendale.store import http_api
from cyclamendale.store import http_attempt
from cyclamendale.store import object_store
from cyclamendale.store import state as states


class HttpObjectStore(object_store.ObjectStore):
    """Object store that is accessed over HTTP."""

    def __init__(self, send: http_attempt.SendOperation) -> None:
        self._send = send

    def put(
        self, data: bytes
    ) -> defer.Deferred[Result[str, object_store.ObjectError]]:
        """See base class."""
        return defer.Deferred.fromCoroutine(self._put(data))

    def get(
        self, digest: str
    ) -> defer.Deferred[Result[bytes, object_store.ObjectError]]:
        """See base class."""
        return defer.Deferred.fromCoroutine(self._get(digest))

    async def _put(self, data: bytes) -> Result[str, object_store.ObjectError]:
        digest = states.digest_of(data)
        path = http_api.OBJECTS_PATH + digest
        operation = faults.Operation.PUT_OBJECT
        match await self._send(operation, "PUT", path, data):
            case Result(tag="ok", ok=response) if response.status == http.OK:
                return Ok(digest)
            case _:
                return _object_error(digest, http.SERVICE_UNAVAILABLE)

    async def _get(
        self, digest: str
    ) -> Result[bytes, object_store.ObjectError]:
        path = http_api.OBJECTS_PATH + digest
        operation = faults.Operation.GET_OBJECT
        match await self._send(operation, "GET", path, None):
            case Result(tag="ok", ok=response) if response.status == http.OK:
                return states.verify_digest(response.body, digest)
            case Result(tag="ok", ok=response):
                return _object_error(digest, response.status)
            case _:
                return _object_error(digest, http.SERVICE_UNAVAILABLE)


def _object_error(
    digest: str, status: int
) -> Result[Any, object_store.ObjectError]:
    kind = object_store.ObjectErrorKind.UNAVAILABLE
    if status == http.NOT_FOUND:
        kind = object_store.ObjectErrorKind.NOT_FOUND
    return Error(object_store.ObjectError(kind, digest))
