"""The configuration in force on a node, and how it gets there.

A few nodes of each failure domain watch the store. The others hear from
the reports which version is in force elsewhere, and fetch it from there;
so do nodes that the store does not answer.
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
from cyclamendale.intents import model
from cyclamendale.peer import kinds
from cyclamendale.peer import thrift_network
from cyclamendale.peer.generated.fleet import ttypes
from cyclamendale.store import load_limit
from cyclamendale.store import watched_rows

WATCHERS_PER_DOMAIN = 2
"""Nodes of a failure domain that watch the store; one may be lost."""

WATCH_TIMEOUT_S = 4.0
"""Longest wait of one watch; a connection that went silent is noticed by
then."""

ROLE_CHECK_INTERVAL_S = 0.5
"""Time between two looks of a node that does not watch."""

RETRY_DELAY_RANGE_S = (0.1, 0.4)
"""Bounds of the pause after the store failed, spread over the nodes."""

FETCH_TIMEOUT_S = 1.0
"""Wait for a document from another node."""

DocumentDecoder = Callable[[bytes], "Result[model.Configuration, Any]"]
Listener = Callable[[model.Configuration], None]


class ActiveConfiguration:
    """The highest version that this process has seen; it never goes back.

    Attributes:
        current: The configuration in force, or None before the first.
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
        """Returns the version in force; 0 before the first."""
        if self.current is None:
            return ids.ConfigVersion(0)
        return self.current.version

    def subscribe(self, listener: Listener) -> None:
        """Calls `listener` with each configuration put into force."""
        self._listeners.append(listener)

    def apply_document(self, document: bytes, origin: str) -> None:
        """Puts a document into force unless it is invalid or older.

        Args:
            document: The document.
            origin: Where it comes from, for the log.
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
    """Brings new versions in, from the store or from other nodes."""

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
        self._loop: defer.Deferred[None] | None = None
        peers.serve(
            kinds.MessageKind.CONFIGURATION_DOCUMENT,
            ttypes.ConfigurationRequest,
            self._serve_document,
        )

    def start(self) -> None:
        """Begins to watch."""
        self._loop = defer.Deferred.fromCoroutine(self._run())
        self._loop.addErrback(self._log_defect)

    def stop(self) -> None:
        """Ends the watch."""
        if self._loop is not None:
            self._loop.cancel()

    def handle_report(self, report: hosts.HostReport) -> None:
        """Fetches a version that another node has and this one lacks."""
        if (
            report.configuration_version > self._active_configuration.version
            and not self._is_fetching
        ):
            self._is_fetching = True
            defer.Deferred.fromCoroutine(
                self._fetch(report.address)
            ).addErrback(self._log_defect)

    async def _run(self) -> None:
        while True:
            if self._should_watch():
                await self._watch_once()
            else:
                self._table_version = None
                await load_limit.pause(self._clock, ROLE_CHECK_INTERVAL_S)

    def _should_watch(self) -> bool:
        return (
            self._active_configuration.current is None
            or self._view.rank_in_domain() < WATCHERS_PER_DOMAIN
        )

    async def _watch_once(self) -> None:
        if self._table_version is None:
            result = await self._rows.read(self._table)
        else:
            result = await self._rows.watch(
                self._table, self._table_version, WATCH_TIMEOUT_S
            )
        if result.is_error():
            await self._handle_rows_error(result.error)
            return
        self._set_reachable(True, "")
        for row in result.ok.rows:
            if row.key == self._key and row.value is not None:
                self._active_configuration.apply_document(row.value, "store")
        self._table_version = result.ok.version

    async def _handle_rows_error(self, error: watched_rows.RowsError) -> None:
        if error.kind is watched_rows.RowsErrorKind.HISTORY_GONE:
            self._log.belief("store-history-gone", table=self._table)
            self._table_version = None
            return
        self._set_reachable(False, f"{error.kind.value}: {error.detail}")
        await load_limit.pause(
            self._clock, self._random.uniform(*RETRY_DELAY_RANGE_S)
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
            result = await self._peers.request(
                peer,
                kinds.MessageKind.CONFIGURATION_DOCUMENT,
                ttypes.ConfigurationRequest(
                    have_version=self._active_configuration.version
                ),
                ttypes.ConfigurationDocument,
                FETCH_TIMEOUT_S,
            )
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
