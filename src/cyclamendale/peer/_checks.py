"""Validation of decoded call messages.

The fleet secret proves that a peer is a node, but not that it is free of
defects. An invalid message must not desynchronise the HTTP connection to
this node's upstream or caller, or corrupt timers and counters.
"""

from __future__ import annotations

import math
import re

from cyclamendale import response_heads
from cyclamendale.forwarding import exchange
from cyclamendale.overload import shed_key as shed_keys
from cyclamendale.peer.generated.call import ttypes

MAX_REMAINING_S = 7 * 24 * 3600.0
"""Maximum remaining time until a deadline that is accepted."""

_REQUEST_LINE_PARTS = 3
_FORBIDDEN_LINE = re.compile(
    rb"\n(?:\r\n|connection:|content-length|transfer-encoding"
    rb"|x-api-key:|x-cyclamendale-)"
)


class InvalidMessageError(ValueError):
    """A decoded message has values that are out of range or inconsistent."""


def check_call(message: ttypes.CallRequest) -> None:
    """Validates a call from another node.

    Raises:
        InvalidMessageError: A value is out of range, or the head could be
            parsed as anything other than one request.
    """
    line = message.head.partition(b"\r\n")[0]
    is_valid = (
        message.budget >= 0
        and message.depth >= 0
        and 0 <= message.shed_key <= shed_keys.MAX_SHED_KEY
        and abs(message.remaining_s) <= MAX_REMAINING_S
        and _is_consistent_length(
            message.body_bytes, message.body, message.more
        )
        and line.endswith(b" HTTP/1.1")
        and len(line.split(b" ")) == _REQUEST_LINE_PARTS
        and _is_valid_head(message.head)
    )
    if not is_valid:
        raise InvalidMessageError


def check_answer(message: ttypes.CallAnswer) -> None:
    """Validates an answer or a refusal from another node.

    Raises:
        InvalidMessageError: A value is out of range, or the head could be
            parsed as anything other than the headers of one answer.
    """
    is_valid = (
        math.isfinite(message.load)
        and 0 <= message.threshold <= shed_keys.MAX_SHED_KEY
        and message.body_bytes >= exchange.UNKNOWN_LENGTH
    )
    if message.reason is None:
        is_valid = is_valid and _is_valid_head(b"\r\n" + message.head)
    if not is_valid:
        raise InvalidMessageError
    if message.reason is None:
        try:
            response_heads.check_final(message.status, message.head)
        except response_heads.MalformedHeadError as error:
            raise InvalidMessageError from error


def _is_consistent_length(body_bytes: int, body: bytes, more: bool) -> bool:
    if body_bytes == exchange.UNKNOWN_LENGTH:
        return True
    return len(body) <= body_bytes if more else len(body) == body_bytes


def _is_valid_head(head: bytes) -> bool:
    """Returns whether a head has only complete, permitted header lines.

    Forbidden are empty lines and headers that nodes do not forward:
    `Connection`, framing headers, `X-Api-Key` and `X-Cyclamendale-*`.
    """
    line_feeds = head.count(b"\n")
    if not head.endswith(b"\r\n") or head.count(b"\r\n") != line_feeds:
        return False
    if head.count(b"\r") != line_feeds:
        return False
    return _FORBIDDEN_LINE.search(head.lower()) is None
