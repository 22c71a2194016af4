"""Contexts of running requests, whose tokens authorise onward calls.

An onward call is a call that an upstream makes while it serves a request.
"""

from __future__ import annotations

from collections.abc import Callable
import secrets

from cyclamendale import ids
from cyclamendale.entry import retry_budget
from cyclamendale.intents import model
from cyclamendale.overload import feedback
from cyclamendale.overload import shed_key as shed_keys

TOKEN_BYTES = 18


class Context:
    """Context of a request that runs on this node's upstream.

    Attributes:
        token: Sent to the upstream in a header and returned by its onward
            calls; valid while the request runs.
        request: Id of the root request.
        customer: Customer on whose behalf the request runs.
        route: Name of the route that the request matched.
        importance: Importance of the root request.
        deadline_s: Clock time after which the answer is no longer of use.
        depth: Depth in the call tree, 0 for the root request.
        shed_key: Position of the request in the shedding order.
        budget: Retry budget for the onward calls of this request.
        onward_time_s: Total time with at least one onward call in flight.
        onward_feedback: Load feedback of the answers to its onward calls.
        onward_digests: Digests of the onward calls made so far, to recognise
            retries that the upstream makes itself.
        onward_cancellers: One function per onward call in flight, which
            cancels it.
        on_waiting_changed: Called with True when the first onward call begins,
            and with False when the last one in flight ends.
        ended: Whether the request has ended and its token is invalid.
    """

    __slots__ = (
        "_onward_calls",
        "_onward_since_s",
        "budget",
        "onward_cancellers",
        "customer",
        "deadline_s",
        "depth",
        "ended",
        "importance",
        "onward_feedback",
        "on_waiting_changed",
        "onward_time_s",
        "onward_digests",
        "request",
        "route",
        "shed_key",
        "token",
    )

    def __init__(
        self,
        request: ids.RequestId,
        customer: ids.CustomerId,
        route: ids.RouteName,
        importance: model.Importance,
        deadline_s: float,
        depth: int,
        shed_key: shed_keys.ShedKey,
        budget: retry_budget.RetryBudget,
    ) -> None:
        self.token = ids.ContextToken(secrets.token_urlsafe(TOKEN_BYTES))
        self.request = request
        self.customer = customer
        self.route = route
        self.importance = importance
        self.deadline_s = deadline_s
        self.depth = depth
        self.shed_key = shed_key
        self.budget = budget
        self.onward_time_s = 0.0
        self.onward_feedback: list[feedback.Feedback] = []
        self.onward_digests: set[int] = set()
        self.onward_cancellers: set[Callable[[], None]] = set()
        self.on_waiting_changed: Callable[[bool], None] | None = None
        self.ended = False
        self._onward_calls = 0
        self._onward_since_s = 0.0

    @property
    def is_waiting(self) -> bool:
        """Returns whether an onward call is in flight."""
        return self._onward_calls > 0

    def onward_call_started(self, now_s: float) -> None:
        """Records the start of an onward call."""
        if self._onward_calls == 0:
            self._onward_since_s = now_s
            if self.on_waiting_changed is not None:
                self.on_waiting_changed(True)
        self._onward_calls += 1

    def onward_call_ended(self, now_s: float) -> None:
        """Records the end of an onward call; overlapping time counts once."""
        self._onward_calls -= 1
        if self._onward_calls == 0:
            self.onward_time_s += now_s - self._onward_since_s
            if self.on_waiting_changed is not None:
                self.on_waiting_changed(False)


class ContextTable:
    """Contexts of the requests that run on one node, by token."""

    def __init__(self) -> None:
        self._live: dict[str, Context] = {}

    def add(self, context: Context) -> None:
        """Makes the token of a context valid."""
        self._live[context.token] = context

    def end(self, context: Context) -> None:
        """Makes the token of a context invalid; idempotent."""
        context.ended = True
        self._live.pop(context.token, None)

    def find(self, token: str) -> Context | None:
        """Returns the context of a valid token, or None."""
        return self._live.get(token)
