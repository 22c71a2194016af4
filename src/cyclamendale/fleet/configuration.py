"""Holds a node's active configuration and keeps it up to date.

A few nodes of each failure domain watch the store (see `watch_role`). The
others learn from host reports which version other nodes have, and fetch it from
those nodes; so do nodes that cannot reach the store.
"""

from __future__ import annotations

from collections.abc import Callable
import random as random_module
from typing import Any

from expression import Result
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.fleet import hosts
from cyclamendale.fleet import loops
from cyclamendale.fleet import watch_role
from cyclamendale.intents import model
from cyclamendale.peer import kinds
from cyclamendale.peer import network
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows

WATCH_TIMEOUTS_S = (2.5, 3.0, 3.5, 4.0)
"""Maximum durations of a watch request; they bound the time until a connection
that has gone silent is detected. One is chosen at random each time, so that the
watchers do not all wait in vain for the same seconds."""

PROBE_TIMEOUT_S = 0.1
"""The same while the store does not answer. A request that is sent before the
store is back may stay unanswered, so the next one must follow soon."""

ROLE_CHECK_INTERVAL_S = 0.25
"""Interval at which a node that does not watch checks whether it should. Two
fit into a turn of stand-ins, so that a late one costs none."""

FIRST_CHECK_WAIT_S = 0.5
"""Time after a first start until the first of these checks."""

FIRST_START_WAIT_S = 6.0
"""Time after a first start in which a node that does not watch leaves the
store to the watchers; callers come later."""

RETRY_DELAY_RANGE_S = (0.1, 0.4)
"""Range of the random delay after a store error; the randomness keeps the
nodes from retrying in step."""

STAND_IN_RETRY_DELAY_RANGE_S = (0.6, 1.2)
"""The same for a node that stands in for the watchers."""

FETCH_TIMEOUT_S = 0.4
"""Timeout for fetching a document from another node. Two of them, and a
digest, fit into the time in which a version has to be in force."""

MAX_STORE_SILENCE_S = 3_600.0
"""Longest time without contact that is told."""

DocumentDecoder = Callable[[bytes], "Result[model.Configuration, Any]"]
Listener = Callable[[model.Configuration], None]


class ActiveConfiguration:
    """The highest configuration version seen; never reverts to a lower one.

    Attributes:
        current: The active configuration, or None before the first.
        document: Its bytes, as the operator wrote them.
    """

    def __init__(self, decode: DocumentDecoder, log: Any) -> None:
        self._decode = decode
        self._log = log
        self._listeners: list[Listener] = []
        self.current: model.Configuration | None = None
        self.document = b""

    @property
    def version(self) -> ids.ConfigVersion:
        """Returns the active version; 0 before the first."""
        if self.current is None:
            return ids.ConfigVersion(0)
        return self.current.version

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each configuration that becomes active."""
        self._listeners.append(listener)

    def apply_document(self, document: bytes, origin: str) -> None:
        """Activates a document unless it is invalid or not newer.

        Args:
            document: The encoded configuration.
            origin: Source of the document, for the log.
        """
        decoded = self._decode(document)
        if decoded.is_error():
            self._log.belief(
                "configuration-invalid",
                origin=origin,
                error=str(decoded.error),
                in_force=self.version,
            )
            return
        configuration = decoded.ok
        if configuration.version <= self.version:
            return
        self._log.belief(
            "configuration-in-force",
            version=configuration.version,
            was=self.version,
            origin=origin,
        )
        self.current = configuration
        self.document = document
        for listener in self._listeners:
            listener(configuration)


class ConfigurationSync:
    """Obtains new versions from the store or from other nodes."""

    def __init__(
        self,
        clock: clocks.Clock,
        random: random_module.Random,
        active_configuration: ActiveConfiguration,
        rows: watched_rows.WatchedRows,
        document_location: tuple[str, str],
        view: hosts.HostView,
        peers: thrift_network.ThriftPeerNetwork,
        log: Any,
    ) -> None:
        self._clock = clock
        self._random = random
        self._active_configuration = active_configuration
        self._rows = rows
        self._table, self._key = document_location
        self._view = view
        self._peers = peers
        self._log = log
        self._table_version: int | None = None
        self._is_reachable: bool | None = None
        self._is_fetching = False
        self._patient_until_s = 0.0
        self._store_contact_s = clock.now_s()
        self._loop: defer.Deferred[None] | None = None
        peers.serve(
            kinds.MessageKind.CONFIGURATION_DOCUMENT,
            ttypes.ConfigurationRequest,
            self._serve_document,
        )

    def start(self, is_first_start: bool) -> None:
        """Starts the synchronization.

        Args:
            is_first_start: Whether the fleet starts for the first time. Then
                only the watchers read the store. Otherwise callers wait, and
                the first read does not wait for reports of peers.
        """
        self._loop = loops.start(
            self._clock,
            lambda: self._run(is_first_start),
            "configuration",
            self._log,
        )

    def stop(self) -> None:
        """Stops the synchronization."""
        if self._loop is not None:
            self._loop.cancel()

    def learn_version(
        self, version: ids.ConfigVersion, address: ids.PeerAddress
    ) -> None:
        """Fetches the configuration of another node if it is newer."""
        if (
            version > self._active_configuration.version
            and not self._is_fetching
        ):
            self._is_fetching = True
            defer.Deferred.fromCoroutine(self._fetch(address)).addErrback(
                self._log_defect
            )

    async def _run(self, is_first_start: bool) -> None:
        if is_first_start:
            # Until hosts have met, each one believes that it should watch.
            self._patient_until_s = self._clock.now_s() + FIRST_START_WAIT_S
            await load_limit.sleep(self._clock, FIRST_CHECK_WAIT_S)
        while True:
            if self._should_watch():
                await self._watch_once()
            else:
                self._table_version = self._is_reachable = None
                await load_limit.sleep(self._clock, ROLE_CHECK_INTERVAL_S)

    def _should_watch(self) -> bool:
        now_s = self._clock.now_s()
        silent_s = 0.0
        if now_s >= self._patient_until_s:
            if self._active_configuration.current is None:
                return True
            silent_s = now_s - self._view.store_contact_s
        return watch_role.should_watch(
            self._view.rank_in_domain(),
            1 + len(self._view.live_in_domain()),
            silent_s,
            self._is_reachable is True,
        )

    def store_silent_s(self) -> float:
        """Returns the time since this node had contact with the store."""
        if self._is_reachable:
            return 0.0
        return min(
            MAX_STORE_SILENCE_S, self._clock.now_s() - self._store_contact_s
        )

    async def _watch_once(self) -> None:
        if self._table_version is None:
            result = await self._rows.read(self._table)
        else:
            timeout_s = PROBE_TIMEOUT_S
            if self._is_reachable:
                timeout_s = self._random.choice(WATCH_TIMEOUTS_S)
            result = await self._rows.watch(
                self._table, self._table_version, timeout_s
            )
        if result.is_error():
            await self._handle_rows_error(result.error)
            return
        self._set_reachable(True, "")
        self._store_contact_s = self._clock.now_s()
        for row in result.ok.rows:
            if row.key == self._key and row.value is not None:
                self._active_configuration.apply_document(row.value, "store")
        self._table_version = result.ok.version

    async def _handle_rows_error(self, error: watched_rows.RowsError) -> None:
        if error.kind is watched_rows.RowsErrorKind.HISTORY_GONE:
            self._log.belief("store-history-gone", table=self._table)
            self._table_version = None
            return
        was_reachable = self._is_reachable
        self._set_reachable(False, f"{error.kind.value}: {error.detail}")
        if was_reachable and (
            error.kind is watched_rows.RowsErrorKind.OUTCOME_UNKNOWN
        ):
            # The connection was lost; the store may well be there.
            return
        delay_range_s = RETRY_DELAY_RANGE_S
        if self._view.rank_in_domain() >= watch_role.WATCHERS_PER_DOMAIN:
            delay_range_s = STAND_IN_RETRY_DELAY_RANGE_S
        await load_limit.sleep(
            self._clock, self._random.uniform(*delay_range_s)
        )

    def _set_reachable(self, is_reachable: bool, detail: str) -> None:
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            self._log.belief(
                "store-reachable" if is_reachable else "store-unreachable",
                detail=detail,
                version=self._active_configuration.version,
            )

    async def _fetch(self, peer: ids.PeerAddress) -> None:
        try:
            result = await self._request_document(peer)
            if result.is_error() and self._peers.discard_idle_connection(peer):
                # Only the connection may have gone silent.
                result = await self._request_document(peer)
        finally:
            self._is_fetching = False
        if result.is_error():
            self._log.belief(
                "configuration-not-fetched",
                peer=peer,
                error=result.error.kind.value,
            )
        elif result.ok.document:
            self._active_configuration.apply_document(result.ok.document, peer)

    def _request_document(
        self, peer: ids.PeerAddress
    ) -> defer.Deferred[Result[Any, network.PeerError]]:
        return self._peers.request(
            peer,
            kinds.MessageKind.CONFIGURATION_DOCUMENT,
            ttypes.ConfigurationRequest(
                have_version=self._active_configuration.version
            ),
            ttypes.ConfigurationDocument,
            FETCH_TIMEOUT_S,
        )

    def _serve_document(self, request: Any) -> Any:
        document = b""
        if self._active_configuration.version > request.have_version:
            document = self._active_configuration.document
        return ttypes.ConfigurationDocument(
            version=self._active_configuration.version, document=document
        )

    def _log_defect(self, failure: Any) -> None:
        if failure.check(defer.CancelledError) is None:
            self._log.defect("configuration", failure)
