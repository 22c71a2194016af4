"""Message kinds of the protocol between nodes."""

from __future__ import annotations

import enum


class MessageKind(enum.IntEnum):
    """Message kind of a frame; the values are part of the wire format.

    A reply has the kind of its request.
    """

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
