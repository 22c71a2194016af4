"""Services for commands, implemented on the Twisted reactor."""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import Any, TypeVar

from twisted.internet import defer
from twisted.python import failure

from cyclamendale import clocks
from cyclamendale.cli import node_client
from cyclamendale.cli import services
from cyclamendale.configuration import publisher
from cyclamendale.intents import merge
from cyclamendale.store import http_client
from cyclamendale.store import load_limit

PLATFORM_TIMEOUT_S = 2.0
NODE_TIMEOUT_S = 60.0
"""A node may query more than a thousand others before it answers."""

T = TypeVar("T")


class ReactorServices(services.Services):
    """Runs one flow on the reactor, which cannot be restarted."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._clock = clocks.SystemClock(reactor)

    @property
    def clock(self) -> clocks.Clock:
        """See base class."""
        return self._clock

    def run(self, flow: Callable[[], defer.Deferred[T]]) -> T:
        """See base class."""
        results: list[Any] = []

        def start_flow() -> None:
            finished = defer.maybeDeferred(flow)
            finished.addBoth(results.append)
            finished.addBoth(lambda _: self._reactor.stop())

        self._reactor.callWhenRunning(start_flow)
        self._reactor.run()
        if not results:
            # A signal stopped the reactor before the flow finished.
            raise KeyboardInterrupt
        if isinstance(results[0], failure.Failure):
            results[0].raiseException()
        return results[0]

    def publisher(self, platform_url: str) -> publisher.Publisher:
        """See base class."""
        platform = http_client.make_platform_client(
            self._reactor,
            self._clock,
            random.Random(),
            http_client.HttpSettings(
                platform_url,
                timeout_s=PLATFORM_TIMEOUT_S,
                share=load_limit.make_operator_share(),
            ),
        )
        return publisher.make_publisher(
            http_client.make_table(platform),
            http_client.make_object_store(platform),
            self._clock,
            random.Random(),
            merge.validate,
        )

    def node(self, url: str) -> services.NodeClient:
        """See base class."""
        return node_client.make_node_client(self._reactor, url, NODE_TIMEOUT_S)


def make_services() -> services.Services:
    """Returns services on the reactor of this process."""
    # The import installs the reactor, which only some commands need.
    from twisted.internet import reactor

    return ReactorServices(reactor)
