"""What the other controllers need to know of the cluster's members."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterable
import enum

import msgspec

from cyclamendale import ids


class UpstreamState(enum.Enum):
    """State that an upstream announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class MemberState(enum.Enum):
    """State of a node as seen by the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Announcement(msgspec.Struct, frozen=True):
    """What an upstream says of itself to its own host's node.

    Attributes:
        service: The service that the upstream serves.
        address: Where it listens for HTTP, `ip:port`.
        slots: Requests that it can run at once.
        connections: Connections that it accepts.
        state: Its state.
    """

    service: ids.ServiceName
    address: str
    slots: int
    connections: int
    state: UpstreamState


class Member(msgspec.Struct, frozen=True):
    """One node and its upstream, as spread between nodes."""

    node: ids.NodeId
    address: ids.PeerAddress
    failure_domain: ids.FailureDomainName
    incarnation: int
    state: MemberState = MemberState.ALIVE
    upstream: Announcement | None = None
    leaving: bool = False


class Directory(abc.ABC):
    """The members that this node knows of."""

    @abc.abstractmethod
    def own(self) -> Member:
        """Returns this node's own entry."""

    @abc.abstractmethod
    def members(self) -> Iterable[Member]:
        """Yields the members that are not dead or left, own included."""

    @abc.abstractmethod
    def targets(self, service: ids.ServiceName) -> tuple[Member, ...]:
        """Returns members whose upstream of `service` takes new work."""

    @abc.abstractmethod
    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Calls `listener` whenever a member's entry changes."""
