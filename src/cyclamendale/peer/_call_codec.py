"""Converts envelopes, answers and refusals to and from thrift structs."""

from __future__ import annotations

from cyclamendale import ids
from cyclamendale import refusals
from cyclamendale.forwarding import exchange
from cyclamendale.intents import model
from cyclamendale.overload import feedback as feedbacks
from cyclamendale.overload import shed_key as shed_keys
from cyclamendale.peer import codec
from cyclamendale.peer.generated.call import ttypes

ENCODED_SIGNAL = codec.encode(ttypes.Signal())


def encode_envelope(envelope: exchange.Envelope, now_s: float) -> bytes:
    return codec.encode(
        ttypes.CallRequest(
            request_id=envelope.request,
            customer=envelope.customer,
            route=envelope.route,
            importance=envelope.importance,
            shed_key=envelope.shed_key,
            depth=envelope.depth,
            budget=envelope.budget,
            remaining_s=envelope.deadline_s - now_s,
            head=envelope.head,
            body=envelope.body,
            more=envelope.more,
            body_bytes=envelope.body_bytes,
        )
    )


def decode_envelope(
    message: ttypes.CallRequest, now_s: float
) -> exchange.Envelope:
    return exchange.Envelope(
        ids.RequestId(message.request_id),
        ids.CustomerId(message.customer),
        ids.RouteName(message.route),
        model.Importance(message.importance),
        shed_keys.ShedKey(message.shed_key),
        message.depth,
        message.budget,
        now_s + message.remaining_s,
        message.head,
        message.body,
        message.more,
        message.body_bytes,
    )


def encode_answer(answer: exchange.Answer) -> bytes:
    return codec.encode(
        ttypes.CallAnswer(
            status=answer.status,
            head=answer.head,
            body=answer.body,
            more=answer.more,
            body_bytes=answer.body_bytes,
            unused_budget=answer.unused_budget,
            threshold=answer.feedback.threshold,
            load=answer.feedback.load,
        )
    )


def decode_answer(message: ttypes.CallAnswer) -> exchange.Answer:
    return exchange.Answer(
        message.status,
        message.head,
        message.body,
        message.more,
        message.body_bytes,
        message.unused_budget,
        decode_feedback(message),
    )


def decode_feedback(message: ttypes.CallAnswer) -> feedbacks.Feedback:
    return feedbacks.Feedback(
        shed_keys.ShedKey(message.threshold), message.load
    )


def encode_refusal(
    refusal: refusals.Refusal,
    answer_feedback: feedbacks.Feedback | None,
    unused_budget: int,
) -> bytes:
    feedback = answer_feedback or feedbacks.Feedback()
    decider = refusal.decider
    return codec.encode(
        ttypes.CallAnswer(
            status=0,
            head=b"",
            body=b"",
            more=False,
            body_bytes=0,
            unused_budget=unused_budget,
            threshold=feedback.threshold,
            load=feedback.load,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            decider_file=decider.file if decider else None,
            decider_version=decider.version if decider else None,
            retry_after_s=refusal.retry_after_s,
        )
    )


def decode_refusal(message: ttypes.CallAnswer) -> refusals.Refusal:
    decider = None
    if message.decider_file is not None:
        decider = refusals.Decider(
            ids.IntentFileName(message.decider_file),
            ids.ConfigVersion(message.decider_version or 0),
        )
    try:
        reason = refusals.RefusalReason(message.reason)
        execution = refusals.Execution(message.execution)
    except ValueError:
        # A newer peer sent a value that this version does not know. It is
        # only certain that the peer refused the call.
        reason = refusals.RefusalReason.LOST
        execution = refusals.Execution.UNKNOWN
    return refusals.Refusal(reason, execution, decider, message.retry_after_s)
