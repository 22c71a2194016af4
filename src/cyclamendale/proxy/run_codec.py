"""Encoding of requests and outcomes between nodes."""

from __future__ import annotations

from typing import Any

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.overload import gate_queue
from cyclamendale.peer import codec
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.proxy import messages


def encode_work(work: messages.Work, now_s: float) -> bytes:
    """Returns the struct of a request, with the time it has left."""
    return codec.encode(
        ttypes.RunRequest(
            request_id=work.request_id,
            service_name=work.service,
            head=work.head,
            body=work.body,
            remaining_s=work.deadline_s - now_s,
            rank=work.rank,
            idempotent=work.idempotent,
            onward=work.onward,
            upstream_id=work.upstream_id,
            aim_left_s=work.aim_s - now_s,
            route=work.route,
        )
    )


def decode_work(message: Any, now_s: float) -> messages.Work:
    """Returns the request of a struct; its times count from now."""
    return messages.Work(
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
    """Returns the struct of an outcome and of the gate's load."""
    if isinstance(outcome, messages.Answer):
        return codec.encode(
            ttypes.RunAnswer(
                status=outcome.status,
                head=outcome.lines,
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


def decode_outcome(answer: Any) -> messages.Outcome:
    """Returns the outcome of a struct."""
    if answer.status:
        return messages.Answer(answer.status, answer.head, answer.body)
    execution = (
        refusals.Execution.UNKNOWN
        if answer.may_have_run
        else refusals.Execution.NOT_RUN
    )
    try:
        reason = refusals.RefusalReason(answer.reason)
    except ValueError:
        # A newer peer's reason; what it says of the execution holds.
        reason = refusals.RefusalReason.LOST
    return refusals.Refusal(
        reason, execution, retry_after_s=answer.retry_after_s
    )
