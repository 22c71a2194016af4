"""Keeps the configuration in force on this node up to date."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
import logging
import random
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.python import failure

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.configuration import in_force
from cyclamendale.configuration import peers as peer_choice
from cyclamendale.configuration import polling
from cyclamendale.configuration import readiness
from cyclamendale.configuration import snapshot as snapshots
from cyclamendale.configuration import source
from cyclamendale.configuration import spread as spreads
from cyclamendale.configuration import store as stores
from cyclamendale.controllers import base
from cyclamendale.intents import model
from cyclamendale.membership import directory as directories
from cyclamendale.peer import network
from cyclamendale.store import object_store
from cyclamendale.store import table

_LOG = logging.getLogger(__name__)

TICK_S = 1.0
"""Time between exchanges, and between polls of a poller."""

TICK_JITTER = 0.1
"""Share by which a tick may be early or late."""

PUSH_NEAR = 6
PUSH_ACROSS = 1
"""Peers told of a new version at once, in the own domain and others."""

START_NEAR = 8
START_ACROSS = 4
"""Peers that a new node asks before it reports ready."""

START_ROUND_S = 0.25
"""Time before the second round of questions of a new node; it doubles
up to `TICK_S`."""


class Dependencies(msgspec.Struct, frozen=True):
    """What the controller works with.

    Attributes:
        rows: The platform's table.
        objects: The platform's object store.
        peers: Requests to other nodes.
        directory: Members of the cluster.
        clock: Clock of this node.
        randomness: Source of jitter and of the choice of peers.
        merge: Parses and merges a folder of files.
        log: Where events are recorded.
    """

    rows: table.Table
    objects: object_store.ObjectStore
    peers: network.PeerNetwork
    directory: directories.Directory
    clock: clocks.Clock
    randomness: random.Random
    merge: in_force.Merge
    log: events.EventLog


class ConfigurationController(base.Controller, source.ConfigurationSource):
    """The configuration in force, its sources and its spread.

    Attributes:
        ready: Fires when the node may serve: the platform has confirmed
            the version in force, or it does not answer and no peer that
            was asked has a higher one.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._deps = dependencies
        self._clock = dependencies.clock
        self._in_force = in_force.NodeConfiguration(
            dependencies.clock, dependencies.merge, dependencies.log
        )
        self._store = stores.ConfigurationStore(
            dependencies.rows, dependencies.objects
        )
        self._spread = spreads.PeerExchange(
            dependencies.peers,
            dependencies.directory.own().address,
            self._local,
            self._hear_of_newer,
        )
        self._newer: tuple[ids.PeerAddress, ids.ConfigVersion] | None = None
        self._noted_error: stores.StoreError | None = None
        self._is_fetching = False
        self._is_polling = False
        self._schedule = polling.PollSchedule(
            dependencies.clock, dependencies.randomness, dependencies.directory
        )
        self._readiness = readiness.Readiness(dependencies.clock)
        self._timer: clocks.DelayedCall | None = None
        self._is_stopped = False
        self._is_ready = False
        self.ready: defer.Deferred[None] = defer.Deferred()

    @property
    def current(self) -> model.Configuration:
        """See base class."""
        return self._in_force.current

    @property
    def is_ready(self) -> bool:
        """Returns whether `ready` has fired."""
        return self._is_ready

    def confirmed_age_s(self) -> float:
        """See base class."""
        return self._in_force.confirmed_age_s()

    def subscribe(
        self, listener: Callable[[model.Configuration], None]
    ) -> None:
        """See base class."""
        self._in_force.subscribe(listener)

    def start(self) -> None:
        """See base class."""
        self._readiness = readiness.Readiness(self._clock)
        self._spawn(self._start_round(START_ROUND_S))

    def stop(self) -> defer.Deferred[None]:
        """See base class."""
        self._is_stopped = True
        clocks.cancel(self._timer)
        return defer.succeed(None)

    async def _start_round(self, pause_s: float) -> None:
        """Asks peers, then the platform; again while not ready."""
        try:
            digests = await self._ask_all(START_NEAR, START_ACROSS)
            newest = max(digests, key=lambda d: d.version, default=None)
            if newest is not None:
                await self._fetch(newest.peer, newest.version)
            self._readiness.record_peer_digests(digests)
            # Asked last, since peers may have spared us the files, and
            # not waited for: a slow platform must not hold us back.
            self._spawn(self._poll())
            self._consider_ready()
        finally:
            if not self._is_ready:
                next_pause_s = min(TICK_S, 2 * pause_s)
                self._call_after(pause_s, self._next_round, next_pause_s)

    def _next_round(self, pause_s: float) -> None:
        if not self._is_ready:
            self._spawn(self._start_round(pause_s))

    def _consider_ready(self) -> None:
        if self._is_ready or self._is_stopped:
            return
        if self._readiness.is_ready_with(self._in_force.version):
            self._is_ready = True
            self._call_after(TICK_S, self._tick)
            self.ready.callback(None)

    def _tick(self) -> None:
        self._call_after(TICK_S, self._tick)
        self._spawn(self._exchange())
        if self._schedule.is_due(self.confirmed_age_s()):
            self._spawn(self._poll())

    async def _exchange(self) -> None:
        directory = self._deps.directory
        share = peer_choice.compute_cross_domain_share(
            directory.own(), directory.members(), TICK_S
        )
        across = int(self._deps.randomness.random() < share)
        await self._ask_all(1, across)

    async def _ask_all(
        self, near: int, across: int
    ) -> list[spreads.PeerDigest]:
        directory = self._deps.directory
        chosen = peer_choice.choose(
            self._deps.randomness,
            directory.own(),
            directory.members(),
            near,
            across,
        )
        answers = await defer.gatherResults(
            [defer.Deferred.fromCoroutine(self._ask(peer)) for peer in chosen]
        )
        return [digest for digest in answers if digest is not None]

    async def _ask(self, peer: ids.PeerAddress) -> spreads.PeerDigest | None:
        asked_s = self._clock.now_s()
        reply = await self._spread.exchange_digests(peer)
        if reply.is_error() or self._is_stopped:
            return None
        digest = reply.ok
        if digest.version > self._in_force.version:
            self._hear_of_newer(peer, digest.version)
        elif digest.confirmed_age_s is not None:
            self._in_force.confirm(
                digest.version, asked_s, digest.confirmed_age_s
            )
        return digest

    async def _poll(self) -> None:
        """Reads the head row, and the files when it names new ones."""
        if self._is_polling:
            return
        self._is_polling = True
        self._schedule.record_poll()
        asked_s = self._clock.now_s()
        try:
            head = await self._store.read_head()
            if head.is_error():
                self._note_store_error(head.error)
                return
            await self._take_from_platform(head.ok)
        finally:
            self._is_polling = False
        self._in_force.confirm(head.ok.version, asked_s)
        self._readiness.record_platform_version(head.ok.version)
        self._consider_ready()

    async def _take_from_platform(self, row: stores.HeadRow) -> None:
        if row.head is None or not self._is_wanted(row.version):
            return
        known = self._in_force.snapshot
        folder = await self._store.read_folder_from(
            row.head, known.version, known.folder
        )
        if folder.is_ok():
            self._adopt(snapshots.make_snapshot(row.head, folder.ok))
        else:
            self._note_store_error(folder.error)

    def _note_store_error(self, error: stores.StoreError) -> None:
        if error.kind is stores.StoreErrorKind.UNAVAILABLE:
            return
        if error != self._noted_error:
            self._noted_error = error
            _LOG.warning(
                "configuration store: %s: %s", error.kind.value, error.key
            )

    def _hear_of_newer(
        self, peer: ids.PeerAddress, version: ids.ConfigVersion
    ) -> None:
        self._spawn(self._fetch(peer, version))

    async def _fetch(
        self, peer: ids.PeerAddress, version: ids.ConfigVersion
    ) -> None:
        """Fetches a version from a peer, one fetch at a time."""
        if not self._is_wanted(version):
            return
        if self._is_fetching:
            if self._newer is None or version > self._newer[1]:
                self._newer = (peer, version)
            return
        self._is_fetching = True
        try:
            fetched = await self._spread.fetch(peer, self._in_force.snapshot)
        finally:
            self._is_fetching = False
        if fetched.is_ok():
            self._adopt(fetched.ok)
        if self._newer is not None:
            newer, self._newer = self._newer, None
            self._hear_of_newer(*newer)

    def _is_wanted(self, version: ids.ConfigVersion) -> bool:
        return not self._is_stopped and self._in_force.is_newer(version)

    def _adopt(self, snapshot: snapshots.Snapshot) -> None:
        if not self._is_stopped and self._in_force.adopt(snapshot):
            self._spawn(self._push())

    async def _push(self) -> None:
        await self._ask_all(PUSH_NEAR, PUSH_ACROSS)

    def _local(self) -> spreads.LocalState:
        return spreads.LocalState(
            self._in_force.snapshot, self._is_ready, self.confirmed_age_s()
        )

    def _call_after(
        self, delay_s: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Sets the one timer of the controller, with jitter."""
        clocks.cancel(self._timer)
        if not self._is_stopped:
            jitter = self._deps.randomness.uniform(-TICK_JITTER, TICK_JITTER)
            self._timer = self._clock.call_later(
                delay_s * (1 + jitter), function, *args
            )

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        running = defer.Deferred.fromCoroutine(work)
        running.addErrback(_log_defect)


def _log_defect(defect: failure.Failure) -> None:
    _LOG.critical("defect", exc_info=defect.value)


def make_configuration_controller(
    dependencies: Dependencies,
) -> ConfigurationController:
    """Returns a controller that has nothing in force yet."""
    return ConfigurationController(dependencies)
