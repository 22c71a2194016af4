"""One request on its way through the filter chain."""

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
    """A request with what the filters found out about it.

    The filters fill in the attributes from `parent` on.

    Attributes:
        method: HTTP method.
        path: Path and query as received.
        headers: Request headers in order, names in canonical case, as
            in `X-Api-Key`. Filters remove the key and the token.
        configuration: Configuration when the request arrived; one call
            never sees two versions.
        arrived_s: Clock time of arrival.
        request: Id of the root request, shared by its whole call tree.
        parent: Context of the upstream's request that makes this onward
            call, or None for a root request.
        customer: Whose request it is; empty on a route open to all.
        key_refusal: Why the key gives no access, unless the route is
            open to all.
        route: The route that matched.
        deadline_s: Clock time after which the answer is useless.
        depth: 0 for a root request.
        shed_key: Its place in the order of shedding.
        budget: Retries that this call may still use or lend.
        body: The whole body, or its first part.
        more: Whether further parts of the body follow.
        body_bytes: Length of the whole body, or
            `exchange.UNKNOWN_LENGTH`.
        ended: Whether the caller was answered, refused or is gone.
        caller: Who waits for the answer.
        on_cancel: Set by the forwarder; cancels the work in flight and
            returns whether the call certainly did not run.
        on_ended: Set by a filter that must know the outcome; called with
            the refusal, or with None after an answer.
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
        # A refusal before any filter ran can be explained by its id, too.
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

    def header(self, name: bytes) -> bytes | None:
        """Returns the first value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def head_bytes(self) -> bytes:
        """Returns request line and headers as they go to the upstream."""
        parts = [self.method, b" ", self.path, b" HTTP/1.1\r\n"]
        for name, value in self.headers:
            parts += (name, b": ", value, b"\r\n")
        return b"".join(parts)

    def take_header(self, name: bytes) -> bytes | None:
        """Removes every occurrence of a header; returns the first value."""
        value = self.header(name)
        if value is not None:
            self.headers = [pair for pair in self.headers if pair[0] != name]
        return value

    def release(self) -> None:
        """Drops what refers back to the caller of an ended call.

        Calls would otherwise be freed by the cycle collector only, whose
        pauses callers would notice.
        """
        self.caller = None
        self.on_cancel = None
        self.on_ended = None
