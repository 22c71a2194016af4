"""Publisher of configuration changes to the platform, with retries."""

from __future__ import annotations

from collections.abc import Mapping
import random

from expression import Error
from expression import Result
import msgspec
from twisted.internet import defer

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.configuration import _publication
from cyclamendale.configuration import changes
from cyclamendale.configuration import documents
from cyclamendale.configuration import store as stores
from cyclamendale.store import load_limit
from cyclamendale.store import object_store
from cyclamendale.store import table

MAX_ATTEMPTS = 10
"""Attempts per change, including those that resolve a lost response."""

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0


class PublishedFolder(msgspec.Struct, frozen=True):
    """The files in force, which an operator reads before a change."""

    version: ids.ConfigVersion
    files: Mapping[ids.IntentFileName, bytes]
    manifest: documents.Manifest


class Publisher:
    """Reads and changes the configuration stored in the platform."""

    def __init__(
        self,
        rows: table.Table,
        objects: object_store.ObjectStore,
        clock: clocks.Clock,
        randomness: random.Random,
        validate: _publication.Validate,
    ) -> None:
        self._rows = rows
        self._objects = objects
        self._clock = clock
        self._random = randomness
        self._validate = validate
        self._store = stores.ConfigurationStore(rows, objects)

    def publish(
        self, change: changes.Change
    ) -> defer.Deferred[_publication.PublishResult]:
        """Publishes a change, merged with concurrent changes.

        Idempotent by change id: a change that was accepted before is
        recognised and not applied again.

        Args:
            change: The change.

        Returns:
            The version created, or why the change was not accepted.
        """
        publication = _publication.Publication(
            self._rows, self._objects, self._clock, self._validate, change
        )
        return defer.Deferred.fromCoroutine(self._run(publication))

    def history(
        self, limit: int
    ) -> defer.Deferred[
        Result[list[documents.HistoryEntry], changes.PublishError]
    ]:
        """Returns the latest versions, newest first."""
        return defer.Deferred.fromCoroutine(self._history(limit))

    def read(
        self,
    ) -> defer.Deferred[Result[PublishedFolder, changes.PublishError]]:
        """Returns the version in force and its files."""
        return defer.Deferred.fromCoroutine(self._read())

    async def _run(
        self, publication: _publication.Publication
    ) -> _publication.PublishResult:
        result = await publication.attempt()
        for attempt in range(1, MAX_ATTEMPTS):
            if result.is_ok() or not publication.should_retry(result.error):
                break
            longest_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2**attempt)
            delay_s = self._random.uniform(0, longest_s)
            await load_limit.sleep(self._clock, delay_s)
            result = await publication.attempt()
        return result.map_error(publication.to_final_error)

    async def _history(
        self, limit: int
    ) -> Result[list[documents.HistoryEntry], changes.PublishError]:
        found = await self._store.read_history(limit)
        return found.map_error(_publication.to_publish_error)

    async def _read(self) -> Result[PublishedFolder, changes.PublishError]:
        head = await self._store.read_head()
        if head.is_error():
            return Error(_publication.to_publish_error(head.error))
        folder = await self._store.read_folder(head.ok.head, {})
        version = head.ok.version
        return folder.map(
            lambda f: PublishedFolder(version, f.files(), f.manifest)
        ).map_error(_publication.to_publish_error)


def make_publisher(
    rows: table.Table,
    objects: object_store.ObjectStore,
    clock: clocks.Clock,
    randomness: random.Random,
    validate: _publication.Validate,
) -> Publisher:
    """Returns a publisher.

    Args:
        rows: The platform's table.
        objects: The platform's object store.
        clock: Clock for the backoff between attempts.
        randomness: Source of the backoff's jitter.
        validate: Validates the files of a whole folder.
    """
    return Publisher(rows, objects, clock, randomness, validate)
