"""Interface through which other controllers read the cluster members."""

from __future__ import annotations

import abc
from collections.abc import Callable, Iterable
import enum

import msgspec

from cyclamendale import ids


class UpstreamState(enum.Enum):
    """Lifecycle state that an upstream announces."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"
    STOPPED = "stopped"


class MemberState(enum.Enum):
    """State of a node in the membership protocol."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


class Announcement(msgspec.Struct, frozen=True):
    """Announcement of an upstream to the node on its host.

    Attributes:
        service: The service that the upstream serves.
        address: HTTP address of the upstream, `ip:port`.
        slots: Number of requests that it can execute concurrently.
        connections: Number of connections that it accepts.
        state: Lifecycle state of the upstream.
    """

    service: ids.ServiceName
    address: str
    slots: int
    connections: int
    state: UpstreamState


class Member(msgspec.Struct, frozen=True):
    """Entry of a node and its upstream, as gossiped between nodes."""

    node: ids.NodeId
    address: ids.PeerAddress
    failure_domain: ids.FailureDomainName
    incarnation: int
    state: MemberState = MemberState.ALIVE
    upstream: Announcement | None = None
    leaving: bool = False


class Directory(abc.ABC):
    """The members known to this node."""

    @abc.abstractmethod
    def own(self) -> Member:
        """Returns this node's own entry."""

    @abc.abstractmethod
    def members(self) -> Iterable[Member]:
        """Yields the members that are alive or suspect, including this node."""

    @abc.abstractmethod
    def targets(self, service: ids.ServiceName) -> tuple[Member, ...]:
        """Returns members whose upstream of `service` accepts requests."""

    @abc.abstractmethod
    def subscribe(self, listener: Callable[[Member], None]) -> None:
        """Registers a callback for each change of a member's entry."""
