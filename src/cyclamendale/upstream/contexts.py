"""Context tokens: what authorises an upstream's onward calls."""

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
    """A request that runs on this node's upstream right now.

    Attributes:
        token: Sent to the upstream in one header; live while it runs.
        request: Id of the root request.
        customer: Whose request it is.
        route: Name of the route that it was handed over for.
        importance: Importance of the root request.
        deadline_s: Clock time after which the answer is useless.
        depth: Depth in the call tree, 0 for the root request.
        shed_key: Its place in the order of shedding.
        budget: Retries for the onward calls of this request.
        onward_time_s: Time during which an onward call was in flight.
        onward_feedback: Combined feedback of its onward calls.
        onward_digests: Digests of the onward calls made so far, to recognise
            an upstream's own retries.
        onward_cancellers: Cancels each onward call in flight.
        on_waiting_changed: Called with True when the first onward call begins,
            and with False when the last one in flight ends.
        ended: Whether it runs no more, so that its token is invalid.
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
        """Notes that an onward call was sent."""
        if self._onward_calls == 0:
            self._onward_since_s = now_s
            if self.on_waiting_changed is not None:
                self.on_waiting_changed(True)
        self._onward_calls += 1

    def onward_call_ended(self, now_s: float) -> None:
        """Notes that an onward call ended; overlaps count once."""
        self._onward_calls -= 1
        if self._onward_calls == 0:
            self.onward_time_s += now_s - self._onward_since_s
            if self.on_waiting_changed is not None:
                self.on_waiting_changed(False)


class ContextTable:
    """The live contexts of one node, by token."""

    def __init__(self) -> None:
        self._live: dict[str, Context] = {}

    def add(self, context: Context) -> None:
        """Makes a context's token valid."""
        self._live[context.token] = context

    def end(self, context: Context) -> None:
        """Makes a context's token invalid; repeats are harmless."""
        context.ended = True
        self._live.pop(context.token, None)

    def find(self, token: str) -> Context | None:
        """Returns the live context of a token, or None."""
        return self._live.get(token)
