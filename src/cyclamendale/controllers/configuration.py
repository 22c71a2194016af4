"""Keeps the configuration in force on this node up to date.

A node learns new versions by gossip with its peers and by polling the
platform. Files are fetched from a peer where possible, to spare the platform.
"""

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
"""Interval of digest exchanges with peers, and of the polls of a poller."""

TICK_JITTER = 0.1
"""Fraction of the interval by which a tick may be early or late."""

PUSH_PEERS_OWN_DOMAIN = 6
PUSH_PEERS_OTHER_DOMAINS = 1
"""Peers notified at once of a new version, in the own domain and others."""

START_PEERS_OWN_DOMAIN = 8
START_PEERS_OTHER_DOMAINS = 4
"""Peers that a starting node asks before it reports ready."""

START_RETRY_S = 0.25
"""First retry interval of a starting node that is not ready.

It doubles up to `TICK_S`.
"""


class Dependencies(msgspec.Struct, frozen=True):
    """Dependencies of the controller.

    Attributes:
        rows: The platform's table.
        objects: The platform's object store.
        peers: Sends requests to other nodes.
        directory: The members of the cluster.
        clock: Time source and scheduler.
        rng: Source of jitter and of the choice of peers.
        merge: Parses and merges a folder of intent files.
        event_log: Where events are recorded.
    """

    rows: table.Table
    objects: object_store.ObjectStore
    peers: network.PeerNetwork
    directory: directories.Directory
    clock: clocks.Clock
    rng: random.Random
    merge: in_force.Merge
    event_log: events.EventLog


class ConfigurationController(base.Controller, source.ConfigurationSource):
    """Serves the configuration in force and exchanges it with peers.

    Attributes:
        ready: Fires when the node may serve. Either the platform confirmed
            the version in force, or the platform does not answer and no
            peer that was asked has a higher version.
    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._deps = dependencies
        self._clock = dependencies.clock
        self._in_force = in_force.NodeConfiguration(
            dependencies.clock, dependencies.merge, dependencies.event_log
        )
        self._store = stores.ConfigurationStore(
            dependencies.rows, dependencies.objects
        )
        self._spread = spreads.PeerExchange(
            dependencies.peers,
            dependencies.directory.own().address,
            self._get_local_state,
            self._start_fetch,
        )
        self._next_fetch: tuple[ids.PeerAddress, ids.ConfigVersion] | None = (
            None
        )
        self._logged_error: stores.StoreError | None = None
        self._is_fetching = False
        self._is_polling = False
        self._schedule = polling.PollSchedule(
            dependencies.clock, dependencies.rng, dependencies.directory
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
        self._spawn(self._start_round(START_RETRY_S))

    def stop(self) -> defer.Deferred[None]:
        """See base class."""
        self._is_stopped = True
        clocks.cancel(self._timer)
        return defer.succeed(None)

    async def _start_round(self, retry_s: float) -> None:
        """Asks peers, then the platform; repeats while not ready."""
        try:
            digests = await self._query_peers(
                START_PEERS_OWN_DOMAIN, START_PEERS_OTHER_DOMAINS
            )
            newest = max(digests, key=lambda d: d.version, default=None)
            if newest is not None:
                await self._fetch(newest.peer, newest.version)
            self._readiness.record_peer_digests(digests)
            # Polled last, because the files may have come from a peer, and
            # not awaited, because a slow platform must not delay readiness.
            self._spawn(self._poll())
            self._update_readiness()
        finally:
            if not self._is_ready:
                next_retry_s = min(TICK_S, 2 * retry_s)
                self._set_timer(retry_s, self._repeat_start_round, next_retry_s)

    def _repeat_start_round(self, retry_s: float) -> None:
        if not self._is_ready:
            self._spawn(self._start_round(retry_s))

    def _update_readiness(self) -> None:
        if self._is_ready or self._is_stopped:
            return
        if self._readiness.is_ready_with(self._in_force.version):
            self._is_ready = True
            self._set_timer(TICK_S, self._tick)
            self.ready.callback(None)

    def _tick(self) -> None:
        self._set_timer(TICK_S, self._tick)
        self._spawn(self._exchange_digests())
        if self._schedule.is_due(self.confirmed_age_s()):
            self._spawn(self._poll())

    async def _exchange_digests(self) -> None:
        directory = self._deps.directory
        probability = peer_choice.compute_cross_domain_share(
            directory.own(), directory.members(), TICK_S
        )
        other_domain_count = int(self._deps.rng.random() < probability)
        await self._query_peers(1, other_domain_count)

    async def _query_peers(
        self, own_domain_count: int, other_domain_count: int
    ) -> list[spreads.PeerDigest]:
        directory = self._deps.directory
        chosen = peer_choice.choose(
            self._deps.rng,
            directory.own(),
            directory.members(),
            own_domain_count,
            other_domain_count,
        )
        answers = await defer.gatherResults(
            [
                defer.Deferred.fromCoroutine(self._query_peer(peer))
                for peer in chosen
            ]
        )
        return [digest for digest in answers if digest is not None]

    async def _query_peer(
        self, peer: ids.PeerAddress
    ) -> spreads.PeerDigest | None:
        asked_s = self._clock.now_s()
        reply = await self._spread.exchange_digests(peer)
        if reply.is_error() or self._is_stopped:
            return None
        digest = reply.ok
        if digest.version > self._in_force.version:
            self._start_fetch(peer, digest.version)
        elif digest.confirmed_age_s is not None:
            self._in_force.confirm(
                digest.version, asked_s, digest.confirmed_age_s
            )
        return digest

    async def _poll(self) -> None:
        """Reads the head row, and the files of a newer version."""
        if self._is_polling:
            return
        self._is_polling = True
        self._schedule.record_poll()
        asked_s = self._clock.now_s()
        try:
            head = await self._store.read_head()
            if head.is_error():
                self._log_store_error(head.error)
                return
            await self._adopt_from_platform(head.ok)
        finally:
            self._is_polling = False
        self._in_force.confirm(head.ok.version, asked_s)
        self._readiness.record_platform_version(head.ok.version)
        self._update_readiness()

    async def _adopt_from_platform(self, row: stores.HeadRow) -> None:
        if row.head is None or not self._is_wanted(row.version):
            return
        known = self._in_force.snapshot
        folder = await self._store.read_folder_from(
            row.head, known.version, known.folder
        )
        if folder.is_ok():
            self._adopt(snapshots.make_snapshot(row.head, folder.ok))
        else:
            self._log_store_error(folder.error)

    def _log_store_error(self, error: stores.StoreError) -> None:
        if error.kind is stores.StoreErrorKind.UNAVAILABLE:
            return
        if error != self._logged_error:
            self._logged_error = error
            _LOG.warning(
                "cannot read configuration from the store: %s: %s",
                error.kind.value,
                error.key,
            )

    def _start_fetch(
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
            if self._next_fetch is None or version > self._next_fetch[1]:
                self._next_fetch = (peer, version)
            return
        self._is_fetching = True
        try:
            fetched = await self._spread.fetch(peer, self._in_force.snapshot)
        finally:
            self._is_fetching = False
        if fetched.is_ok():
            self._adopt(fetched.ok)
        if self._next_fetch is not None:
            next_fetch, self._next_fetch = self._next_fetch, None
            self._start_fetch(*next_fetch)

    def _is_wanted(self, version: ids.ConfigVersion) -> bool:
        return not self._is_stopped and self._in_force.is_newer(version)

    def _adopt(self, snapshot: snapshots.Snapshot) -> None:
        if not self._is_stopped and self._in_force.adopt(snapshot):
            self._spawn(self._push_version())

    async def _push_version(self) -> None:
        await self._query_peers(PUSH_PEERS_OWN_DOMAIN, PUSH_PEERS_OTHER_DOMAINS)

    def _get_local_state(self) -> spreads.LocalState:
        return spreads.LocalState(
            self._in_force.snapshot, self._is_ready, self.confirmed_age_s()
        )

    def _set_timer(
        self, delay_s: float, function: Callable[..., None], *args: Any
    ) -> None:
        """Replaces the controller's single timer; the delay is jittered."""
        clocks.cancel(self._timer)
        if not self._is_stopped:
            jitter = self._deps.rng.uniform(-TICK_JITTER, TICK_JITTER)
            self._timer = self._clock.call_later(
                delay_s * (1 + jitter), function, *args
            )

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        running = defer.Deferred.fromCoroutine(work)
        running.addErrback(_log_unexpected_error)


def _log_unexpected_error(error: failure.Failure) -> None:
    _LOG.critical("defect", exc_info=error.value)


def make_configuration_controller(
    dependencies: Dependencies,
) -> ConfigurationController:
    """Returns a controller without a configuration in force."""
    return ConfigurationController(dependencies)
