"""Configuration version in force on a node, and its last confirmation."""

from __future__ import annotations

from collections.abc import Callable, Mapping
import logging
from typing import Any, TypeAlias

from expression import Result

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import ids
from cyclamendale.configuration import documents
from cyclamendale.configuration import snapshot as snapshots
from cyclamendale.configuration import source
from cyclamendale.intents import model

_LOG = logging.getLogger(__name__)

CLOCK_DRIFT = 0.02
"""Upper bound on the relative drift of a host's clock."""

Merge: TypeAlias = (
    "Callable[[Mapping[ids.IntentFileName, bytes], ids.ConfigVersion],"
    " Result[model.Configuration, Any]]"
)


class NodeConfiguration(source.ConfigurationSource):
    """Holds the version in force and the time of its last confirmation.

    The version only increases.
    """

    def __init__(
        self, clock: clocks.Clock, merge: Merge, log: events.EventLog
    ) -> None:
        self._clock = clock
        self._merge = merge
        self._log = log
        self._snapshot = snapshots.make_empty()
        self._current = model.Configuration()
        self._rejected_version = documents.NO_VERSION
        self._confirmed_at_s = float("-inf")
        self._listeners: list[Callable[[model.Configuration], None]] = []

    @property
    def snapshot(self) -> snapshots.Snapshot:
        """Returns the files of the version in force."""
        return self._snapshot

    @property
    def version(self) -> ids.ConfigVersion:
        """Returns the version in force."""
        return self._snapshot.version

    @property
    def current(self) -> model.Configuration:
        """See base class."""
        return self._current

    def confirmed_age_s(self) -> float:
        """See base class."""
        return self._clock.now_s() - self._confirmed_at_s

    def subscribe(
        self, listener: Callable[[model.Configuration], None]
    ) -> None:
        """See base class."""
        self._listeners.append(listener)

    def is_newer(self, version: ids.ConfigVersion) -> bool:
        """Returns whether a version is higher than any adopted or rejected."""
        return version > max(self.version, self._rejected_version)

    def adopt(self, snapshot: snapshots.Snapshot) -> bool:
        """Puts a version in force if it is newer.

        A version that cannot be merged is rejected, and the previous version
        stays in force.

        Returns:
            Whether the version is now in force.
        """
        if not self.is_newer(snapshot.version):
            return False
        merged = self._merge(snapshot.folder.files(), snapshot.version)
        if merged.is_error():
            self._rejected_version = snapshot.version
            _LOG.error(
                "configuration version %d rejected: %s",
                snapshot.version,
                merged.error,
            )
            return False
        self._snapshot = snapshot
        self._current = merged.ok
        self._log.record(events.ConfigurationInForce(version=self.version))
        for listener in self._listeners:
            listener(self._current)
        return True

    def confirm(
        self,
        version: ids.ConfigVersion,
        requested_at_s: float,
        age_s: float = 0.0,
    ) -> None:
        """Records that a version was the platform's latest.

        This also confirms a higher version in force, which is at least as
        recent as what the platform held at that time.

        Args:
            version: The platform's version.
            requested_at_s: Clock time before the request was sent, so that
                network delay makes the confirmation older, never younger.
            age_s: Age of the confirmation at the peer that relayed it, by
                the peer's clock.
        """
        if version > self.version:
            return
        confirmed_at_s = requested_at_s - age_s * (1 + CLOCK_DRIFT)
        self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)
