"""What commands need of the world around them."""

from __future__ import annotations

import abc
from collections.abc import Callable, Generator
from typing import Any, TypeAlias, TypeVar

from expression import Result
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.cli import faults
from cyclamendale.configuration import publisher

T = TypeVar("T")
Flow: TypeAlias = Generator[defer.Deferred[Any], Any, T]


class NodeClient(abc.ABC):
    """Questions to one node; the Deferreds fire with a `Result`."""

    @abc.abstractmethod
    def status(
        self, version: ids.ConfigVersion | None = None
    ) -> defer.Deferred[Result[timeline.FleetStatus, faults.NodeFailed]]:
        """Asks for the status of the fleet, compared with `version`."""

    @abc.abstractmethod
    def merged_timeline(
        self, query: timeline.TimelineQuery
    ) -> defer.Deferred[Result[timeline.MergedTimeline, faults.NodeFailed]]:
        """Asks for the merged time line."""

    @abc.abstractmethod
    def configuration(
        self, kind: str | None, name: str | None
    ) -> defer.Deferred[
        Result[timeline.ConfigurationInForce, faults.NodeFailed]
    ]:
        """Asks for the entries in force on the node."""


class Services(abc.ABC):
    """The platform, the nodes and the loop, for one command."""

    @property
    @abc.abstractmethod
    def clock(self) -> clocks.Clock:
        """Returns the operator's clock."""

    @abc.abstractmethod
    def run(self, flow: Callable[[], defer.Deferred[T]]) -> T:
        """Runs the loop until a flow ends; returns its result.

        Raises:
            KeyboardInterrupt: When the operator interrupted it.
        """

    @abc.abstractmethod
    def publisher(self, platform_url: str) -> publisher.Publisher:
        """Returns the publisher of changes to a platform."""

    @abc.abstractmethod
    def node(self, url: str) -> NodeClient:
        """Returns a client of the node at `url`."""
