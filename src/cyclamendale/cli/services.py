"""Interfaces of the external services that commands use."""

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
    """Client of one node; the Deferreds fire with a `Result`."""

    @abc.abstractmethod
    def status(
        self, version: ids.ConfigVersion | None = None
    ) -> defer.Deferred[Result[timeline.FleetStatus, faults.NodeFailed]]:
        """Queries the status of the fleet, compared with `version`."""

    @abc.abstractmethod
    def merged_timeline(
        self, query: timeline.TimelineQuery
    ) -> defer.Deferred[Result[timeline.MergedTimeline, faults.NodeFailed]]:
        """Queries the merged timeline."""

    @abc.abstractmethod
    def configuration(
        self, kind: str | None, name: str | None
    ) -> defer.Deferred[
        Result[timeline.ConfigurationInForce, faults.NodeFailed]
    ]:
        """Queries the entries in force on the node."""


class Services(abc.ABC):
    """Platform, nodes and event loop for one command."""

    @property
    @abc.abstractmethod
    def clock(self) -> clocks.Clock:
        """Returns the operator's clock."""

    @abc.abstractmethod
    def run(self, flow: Callable[[], defer.Deferred[T]]) -> T:
        """Runs the event loop until a flow ends; returns its result.

        Raises:
            KeyboardInterrupt: If the operator interrupted the flow.
        """

    @abc.abstractmethod
    def publisher(self, platform_url: str) -> publisher.Publisher:
        """Returns a publisher of changes to the platform at a URL."""

    @abc.abstractmethod
    def node(self, url: str) -> NodeClient:
        """Returns a client of the node at `url`."""
