"""Call object that passes through the filter chain."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.intents import model
from cyclamendale.overload import shed_key as shed_keys

if TYPE_CHECKING:
    from cyclamendale.entry import retry_budget
    from cyclamendale.forwarding import caller as callers
    from cyclamendale.upstream import contexts

HeaderList = list[tuple[bytes, bytes]]


class Call:
    """A request and its attributes as determined by the filters.

    The filters set the attributes from `parent` to `budget`.

    Attributes:
        method: HTTP method.
        path: Path and query as received.
        headers: Request headers in order, names in canonical case, as
            in `X-Api-Key`. Filters remove the key and the token.
        configuration: Configuration at arrival of the request, so that one
            call never uses two versions.
        arrived_s: Clock time of arrival.
        request: Id of the root request, shared by its whole call tree.
        parent: Context of the running request for which the upstream makes
            this onward call, or None for a root request.
        customer: Customer on whose behalf the request runs; empty on a route
            open to all if there is no valid key.
        key_refusal: Refusal for a missing or unusable key. It applies
            unless the route is open to all.
        route: The route that matched.
        deadline_s: Clock time after which the answer is no longer of use.
        depth: 0 for a root request.
        shed_key: Position of the request in the shedding order.
        budget: Retries that this call may still spend or lend.
        body: The whole body, or its first part.
        more: Whether further parts of the body follow.
        body_bytes: Length of the whole body, or
            `exchange.UNKNOWN_LENGTH`.
        ended: Whether the call was answered, refused or cancelled.
        caller: Receiver of the answer.
        on_cancel: Set by the forwarder; cancels all attempts and returns
            whether the call certainly did not run.
        on_ended: Set by a filter that needs the outcome; called with the
            refusal, or with None after an answer.
    """

    __slots__ = (
        "arrived_s",
        "body",
        "body_bytes",
        "budget",
        "caller",
        "configuration",
        "customer",
        "deadline_s",
        "depth",
        "ended",
        "headers",
        "key_refusal",
        "method",
        "more",
        "on_cancel",
        "on_ended",
        "parent",
        "path",
        "request",
        "route",
        "shed_key",
    )

    def __init__(
        self,
        method: bytes,
        path: bytes,
        headers: HeaderList,
        configuration: model.Configuration,
        arrived_s: float,
        caller: callers.Caller,
        body: bytes = b"",
        more: bool = False,
        body_bytes: int = 0,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.configuration = configuration
        self.arrived_s = arrived_s
        self.caller: callers.Caller | None = caller
        self.body = body
        self.more = more
        self.body_bytes = body_bytes
        # Set before any filter runs, so that early refusals have an id.
        self.request = ids.make_request_id()
        self.parent: contexts.Context | None = None
        self.customer = ids.CustomerId("")
        self.key_refusal: refusals.Refusal | None = None
        self.route: model.Route | None = None
        self.deadline_s = 0.0
        self.depth = 0
        self.shed_key = shed_keys.MAX_SHED_KEY
        self.budget: retry_budget.RetryBudget | None = None
        self.ended = False
        self.on_cancel: Callable[[], bool] | None = None
        self.on_ended: Callable[[refusals.Refusal | None], None] | None = None

    def get_header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def encode_head(self) -> bytes:
        """Returns the request line and headers as sent to the upstream."""
        parts = [self.method, b" ", self.path, b" HTTP/1.1\r\n"]
        for name, value in self.headers:
            parts += (name, b": ", value, b"\r\n")
        return b"".join(parts)

    def take_header(self, name: bytes) -> bytes | None:
        """Removes every occurrence of a header; returns the first value."""
        value = self.get_header(name)
        if value is not None:
            self.headers = [pair for pair in self.headers if pair[0] != name]
        return value

    def release(self) -> None:
        """Drops references to the caller of an ended call.

        The reference cycles would otherwise leave ended calls to the garbage
        collector, whose pauses add to the latency of other calls.
        """
        self.caller = None
        self.on_cancel = None
        self.on_ended = None
