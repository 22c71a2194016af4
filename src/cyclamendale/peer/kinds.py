"""Kinds of messages between nodes; the numbers are the wire format."""

from __future__ import annotations

import enum


class MessageKind(enum.IntEnum):
    """Kind of a frame. Replies carry the kind of their request."""

    CALL = 1
    PULL = 2
    PUSH = 3
    CANCEL = 4
    QUOTA_DRAW = 20
    QUOTA_RETURN = 21
    QUOTA_BORROW = 22
    QUOTA_RELEASE = 23
    CONFIGURATION_DIGEST = 30
    CONFIGURATION_FETCH = 31
    MEMBERSHIP_JOIN = 40
    TIMELINE = 50
    STATUS = 51
    RUN = 60
    RUN_CANCEL = 61
    PING = 62
    CONFIGURATION_DOCUMENT = 63
