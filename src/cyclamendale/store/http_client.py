"""HTTP client of the platform, with a load limit and retries."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any

from expression import Error
from expression import Result
import msgspec
from twisted.internet import defer
from twisted.web import http

from cyclamendale import clocks
from cyclamendale import decoding
from cyclamendale.store import _http_objects
from cyclamendale.store import _http_table
from cyclamendale.store import faults
from cyclamendale.store import http_api
from cyclamendale.store import http_attempt
from cyclamendale.store import load_limit
from cyclamendale.store import object_store
from cyclamendale.store import table

DEFAULT_TIMEOUT_S = 1.0
"""Timeout of one attempt, including the connection set-up."""

DEFAULT_CONNECT_TIMEOUT_S = 0.5
DEFAULT_MAX_ATTEMPTS = 3
"""Maximum number of attempts of an operation that may be retried."""

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0

Failure = http_attempt.AttemptFailure


class HttpSettings(msgspec.Struct, frozen=True):
    """Settings of the connection to the platform.

    Attributes:
        base_url: Address of the platform, `http://host:port`.
        timeout_s: Timeout of one attempt.
        connect_timeout_s: Timeout of the connection set-up.
        max_attempts: Maximum number of attempts of an operation that may
            be retried.
        share: Load that this process may put on the platform.
    """

    base_url: str
    timeout_s: float = DEFAULT_TIMEOUT_S
    connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    share: load_limit.LoadShare = load_limit.make_node_share()


class PlatformClient:
    """Sends operations to the platform within a load share, with retries.

    The table and the object store of a process use the same instance so
    that the share covers both.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        randomness: random.Random,
        settings: HttpSettings,
        on_reachability_change: Callable[[bool], None] | None = None,
    ) -> None:
        self._on_reachability_change = on_reachability_change
        self._is_reachable: bool | None = None
        self._clock = clock
        self._random = randomness
        self._settings = settings
        self._limiter = load_limit.LoadLimiter(clock, settings.share)
        self._sender = http_attempt.Sender(
            reactor,
            clock,
            settings.base_url,
            settings.timeout_s,
            settings.connect_timeout_s,
            settings.share.max_in_flight,
        )

    async def send(
        self,
        operation: faults.Operation,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Result[http_attempt.HttpResponse, Failure]:
        """Sends an operation, with retries where they are safe.

        A table write is retried only if the previous attempt certainly
        had no effect. An attempt rejected by the load limit counts as not
        sent.
        """
        result = await self._attempt(operation, method, path, body)
        for attempt in range(1, self._settings.max_attempts):
            if not _should_retry(operation, result):
                break
            await load_limit.sleep(self._clock, self._backoff_s(attempt))
            result = await self._attempt(operation, method, path, body)
        return result

    async def _attempt(
        self,
        operation: faults.Operation,
        method: str,
        path: str,
        body: bytes | None,
    ) -> Result[http_attempt.HttpResponse, Failure]:
        is_write = operation in faults.WRITES
        if not await self._limiter.acquire(is_write=is_write):
            return Error(Failure.NOT_SENT)
        try:
            result = await self._sender.send(method, path, body)
        finally:
            self._limiter.release()
        self._update_reachability(_is_platform_reachable(result))
        return result

    def _update_reachability(self, is_reachable: bool) -> None:
        if is_reachable == self._is_reachable:
            return
        self._is_reachable = is_reachable
        if self._on_reachability_change is not None:
            self._on_reachability_change(is_reachable)

    def _backoff_s(self, attempt: int) -> float:
        max_backoff_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**attempt)
        return self._random.uniform(0, max_backoff_s)

    def close(self) -> defer.Deferred[Any]:
        """Closes the persistent connections."""
        return self._sender.close()


def _is_platform_reachable(
    result: Result[http_attempt.HttpResponse, Failure],
) -> bool:
    match result:
        case Result(tag="ok", ok=response):
            return response.status < http.INTERNAL_SERVER_ERROR
        case _:
            return False


def _should_retry(
    operation: faults.Operation,
    result: Result[http_attempt.HttpResponse, Failure],
) -> bool:
    match result:
        case Result(tag="ok", ok=response):
            return response.status == http.SERVICE_UNAVAILABLE and (
                operation not in faults.TABLE_WRITES
                or _is_unavailable_error(response.body)
            )
        case Result(error=failure):
            return (
                failure is Failure.NOT_SENT
                or operation not in faults.TABLE_WRITES
            )


def _is_unavailable_error(body: bytes) -> bool:
    try:
        response = msgspec.json.decode(body, type=http_api.ErrorResponse)
    except decoding.ERRORS:
        return False
    return response.kind is table.TableErrorKind.UNAVAILABLE


def make_platform_client(
    reactor: Any,
    clock: clocks.Clock,
    randomness: random.Random,
    settings: HttpSettings,
    on_reachability_change: Callable[[bool], None] | None = None,
) -> PlatformClient:
    """Returns a client that a table and an object store may share.

    Args:
        reactor: The twisted reactor.
        clock: Clock for timeouts, backoff and the load limit.
        randomness: Source of the backoff jitter.
        settings: Settings of the connection.
        on_reachability_change: Called with whether the platform answers:
            after the first attempt and whenever this changes.
    """
    return PlatformClient(
        reactor, clock, randomness, settings, on_reachability_change
    )


def make_table(platform: PlatformClient) -> table.Table:
    """Returns a table that uses the client."""
    return _http_table.HttpTable(platform.send)


def make_object_store(platform: PlatformClient) -> object_store.ObjectStore:
    """Returns an object store that uses the client."""
    return _http_objects.HttpObjectStore(platform.send)
