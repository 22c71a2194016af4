"""Reads and closes without waiting for the next reactor iteration.

Twisted's `loseConnection` stops to read and closes an iteration later. Bytes
that arrive in between are lost, and reset the connection.
"""

from __future__ import annotations

from typing import Any

from twisted.internet import error
from twisted.python import failure


def read_now(transport: Any) -> None:
    """Reads what the socket has received, once.

    Args:
        transport: An open Twisted TCP transport; others hold nothing back.
    """
    try:
        read = transport.doRead
    except AttributeError:
        return
    # The end of the connection, if it is one, is found by the next read.
    read()


def close_now(transport: Any) -> None:
    """Closes a connection on which no data is unsent.

    Must not be called while the transport is being read or written.

    Args:
        transport: An open Twisted TCP transport; others close later.
    """
    try:
        lose = transport.connectionLost
    except AttributeError:
        transport.loseConnection()
        return
    lose(failure.Failure(error.ConnectionDone()))
