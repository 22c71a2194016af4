"""Encoding of requests and outcomes that nodes send each other."""

from __future__ import annotations

from typing import Any

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale import response_heads
from cyclamendale.overload import gate_queue
from cyclamendale.peer import codec
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.proxy import messages


def encode_request(request: messages.UpstreamRequest, now_s: float) -> bytes:
    """Returns an encoded request; times are sent as remaining time."""
    return codec.encode(
        ttypes.RunRequest(
            request_id=request.request_id,
            service_name=request.service,
            head=request.head,
            body=request.body,
            remaining_s=request.deadline_s - now_s,
            rank=request.rank,
            idempotent=request.idempotent,
            onward=request.onward,
            upstream_id=request.upstream_id,
            aim_left_s=request.aim_s - now_s,
            route=request.route,
        )
    )


def decode_request(message: Any, now_s: float) -> messages.UpstreamRequest:
    """Returns the request in a struct; remaining times count from now."""
    return messages.UpstreamRequest(
        request_id=message.request_id,
        route=ids.RouteName(message.route),
        service=ids.ServiceName(message.service_name),
        head=message.head,
        body=message.body,
        deadline_s=now_s + message.remaining_s,
        aim_s=now_s + message.aim_left_s,
        rank=message.rank,
        idempotent=message.idempotent,
        onward=message.onward,
        upstream_id=message.upstream_id,
    )


def encode_outcome(
    outcome: messages.Outcome, load: gate_queue.GateLoad
) -> bytes:
    """Returns an encoded outcome with the load of the gate."""
    if isinstance(outcome, messages.Response):
        return codec.encode(
            ttypes.RunAnswer(
                status=outcome.status,
                head=outcome.header_lines,
                body=outcome.body,
                may_have_run=True,
                at_gate=load.at_gate,
            )
        )
    return codec.encode(
        ttypes.RunAnswer(
            status=0,
            head=b"",
            body=b"",
            reason=outcome.reason.value,
            may_have_run=outcome.execution is refusals.Execution.UNKNOWN,
            retry_after_s=outcome.retry_after_s,
            at_gate=load.at_gate,
        )
    )


def decode_outcome(response: Any) -> messages.Outcome:
    """Returns the outcome in a struct.

    Raises:
        response_heads.MalformedHeadError: The head of a response is malformed.
    """
    if response.status:
        response_heads.check_final(response.status, response.head)
        return messages.Response(response.status, response.head, response.body)
    execution = (
        refusals.Execution.UNKNOWN
        if response.may_have_run
        else refusals.Execution.NOT_RUN
    )
    try:
        reason = refusals.RefusalReason(response.reason)
    except ValueError:
        # A reason of a newer peer. The execution it states is still valid.
        reason = refusals.RefusalReason.LOST
    return refusals.Refusal(
        reason, execution, retry_after_s=response.retry_after_s
    )
