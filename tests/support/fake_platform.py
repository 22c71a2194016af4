"""Platforms for the contract tests of the table and the object store."""

from __future__ import annotations

import random

from twisted.internet import defer
from twisted.internet import reactor
from twisted.internet import task

from cyclamendale import clocks
from cyclamendale.store import faults
from cyclamendale.store import http_client
from cyclamendale.store import load_limit
from cyclamendale.store import memory
from cyclamendale.store import stand_in

SLOW_S = 5.0
"""Delay of slow operations; they time out before it ends."""

UNLIMITED_SHARE = load_limit.LoadShare(1e6, 1e6, 1000, 1000)
"""Load share that no test exceeds."""


class MemoryPlatform:
    """In-memory table and object store on a virtual clock."""

    def __init__(self):
        self.task_clock = task.Clock()
        clock = clocks.ReactorClock(self.task_clock)
        self.injector = faults.FaultInjector()
        self.table = memory.make_memory_table(clock, self.injector)
        self.objects = memory.make_memory_object_store(clock, self.injector)

    def result(self, answer):
        """Advances the clock until `answer` fires; returns it."""
        while not answer.called:
            self.task_clock.advance(0.1)
        return answer

    def complete_slow_operations(self):
        """Lets slow operations that timed out take effect."""
        self.task_clock.advance(SLOW_S)

    def close(self):
        return defer.succeed(None)


class LoopbackPlatform:
    """HTTP client of the platform against the HTTP stand-in, over loopback.

    Time-outs and delays run on virtual clocks, so that a time-out fires
    only while the stand-in delays a request, however busy the machine is.

    Attributes:
        reachability: Reports of the client whether it reaches the
            platform, in order.
    """

    timeout_s = 1000.0
    step_s = 0.05
    pump_interval_s = 0.002

    def __init__(self, share=UNLIMITED_SHARE):
        self.platform = stand_in.Platform()
        self.injector = self.platform.injector
        self.reachability = []
        self.server_clock = task.Clock()
        self.client_clock = task.Clock()
        site = stand_in.make_site(
            self.platform, clocks.ReactorClock(self.server_clock)
        )
        self.port = reactor.listenTCP(0, site, interface=stand_in.LOOPBACK)
        self.url = f"http://{stand_in.LOOPBACK}:{self.port.getHost().port}"
        self.client = http_client.make_platform_client(
            reactor,
            clocks.ReactorClock(self.client_clock),
            random.Random(1),
            http_client.HttpSettings(
                self.url,
                timeout_s=self.timeout_s,
                connect_timeout_s=30.0,
                share=share,
            ),
            self.reachability.append,
        )
        self.table = http_client.make_table(self.client)
        self.objects = http_client.make_object_store(self.client)
        self._pending_operations = 0
        self._pump = task.LoopingCall(self._advance)
        self._pump.start(self.pump_interval_s)

    def _advance(self):
        pending = len(self.server_clock.getDelayedCalls())
        is_new = pending > self._pending_operations
        self._pending_operations = pending
        self.client_clock.advance(self.timeout_s if is_new else self.step_s)

    def complete_slow_operations(self):
        """Lets the operations that the stand-in delays take effect."""
        self.server_clock.advance(SLOW_S)

    def result(self, answer):
        """Returns `answer`, which the reactor fires."""
        return answer

    @defer.inlineCallbacks
    def close(self):
        self._pump.stop()
        yield self.port.stopListening()
        yield self.client.close()
