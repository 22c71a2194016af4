"""Explains the outcome of one request from the timeline."""

from __future__ import annotations

import msgspec

from cyclamendale import events
from cyclamendale import ids
from cyclamendale import timeline


class RequestOutcome(msgspec.Struct, frozen=True):
    """One response or refusal that a request received.

    Attributes:
        node: Node that answered.
        stamp: Hybrid logical clock stamp of the answer.
        route: Route of the request, if one matched.
        status: HTTP status of a response; None for a refusal.
        reason: Why it was refused; None for a response.
        execution: Whether a refused request is known not to have run.
        file: Intent file that led to the refusal, if any.
        version: Configuration version that contains the file.
    """

    node: ids.NodeId
    stamp: events.HlcStamp
    route: str | None = None
    status: int | None = None
    reason: str | None = None
    execution: str | None = None
    file: str | None = None
    version: int | None = None


class RequestExplanation(msgspec.Struct, frozen=True):
    """Outcomes of a request that reachable nodes still have in their logs."""

    request: ids.RequestId
    outcomes: list[RequestOutcome]
    unreachable: list[ids.NodeId]


def explain_request(
    merged: timeline.MergedTimeline, request: ids.RequestId
) -> RequestExplanation:
    """Returns the outcomes of a request.

    Args:
        merged: A timeline that contains the request's events.
        request: The request.
    """
    request_events = timeline.filter_events(
        merged.events, timeline.TimelineQuery(request=request)
    )
    outcomes = [
        _make_outcome(event)
        for event in request_events
        if event.kind in _OUTCOME_KINDS
    ]
    return RequestExplanation(request, outcomes, merged.unreachable)


_OUTCOME_KINDS = frozenset(
    (events.RequestServed.__name__, events.RequestRefused.__name__)
)


def _make_outcome(event: events.RecordedEvent) -> RequestOutcome:
    names = ("route", "status", "reason", "execution", "file", "version")
    values = {name: event.fields.get(name) for name in names}
    return RequestOutcome(event.node, event.stamp, **values)
