"""Typed identifiers shared by all modules."""

from __future__ import annotations

import secrets
from typing import NewType

NodeId = NewType("NodeId", str)
"""Identifies one node process: peer address and random part, `ip:port#hex`."""

PeerAddress = NewType("PeerAddress", str)
"""Address on which a node listens for peers, `ip:port`, for TCP and UDP."""

FailureDomainName = NewType("FailureDomainName", str)
ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
CustomerId = NewType("CustomerId", str)
RequestId = NewType("RequestId", str)
"""Identifies one root request and every onward call made for it."""

KeyDigest = NewType("KeyDigest", str)
"""Hexadecimal SHA-256 digest of a customer's key."""

IntentFileName = NewType("IntentFileName", str)
ConfigVersion = NewType("ConfigVersion", int)
ChangeId = NewType("ChangeId", str)
ShardId = NewType("ShardId", int)
Epoch = NewType("Epoch", int)
ContextToken = NewType("ContextToken", str)
"""Unguessable token that identifies one request to one upstream."""


def make_node_id(address: PeerAddress) -> NodeId:
    """Returns a new node id for a process that listens on `address`."""
    return NodeId(f"{address}#{secrets.token_hex(6)}")


def make_request_id() -> RequestId:
    """Returns a new id for a root request."""
    return RequestId(secrets.token_hex(8))


def address_of(node_id: NodeId) -> PeerAddress:
    """Returns the peer address contained in a node id."""
    return PeerAddress(node_id.partition("#")[0])
