"""When a new node may serve with the configuration that it has."""

from __future__ import annotations

from collections.abc import Sequence

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.configuration import spread

PLATFORM_TIMEOUT_S = 2.0
"""Time for which a new node waits for the platform before the word of
its peers is enough."""


class Readiness:
    """What a new node has heard of the latest version."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_s = clock.now_s()
        self._platform_version: ids.ConfigVersion | None = None
        self._digests: Sequence[spread.PeerDigest] = ()

    def record_platform_version(self, version: ids.ConfigVersion) -> None:
        """Notes the version that the platform has."""
        self._platform_version = version

    def record_peer_digests(self, digests: Sequence[spread.PeerDigest]) -> None:
        """Notes what the peers that answered have."""
        self._digests = digests

    def is_ready_with(self, version: ids.ConfigVersion) -> bool:
        """Returns whether a node may serve with a version.

        No peer that answered may have a higher one. Besides, either the
        platform has no higher one; or the platform did not answer, or
        did not deliver its version, for `PLATFORM_TIMEOUT_S`, and a peer
        that serves answered: then the node is no worse than that peer.
        """
        if any(digest.version > version for digest in self._digests):
            return False
        platform_version = self._platform_version
        if platform_version is not None and version >= platform_version:
            return True
        waited_s = self._clock.now_s() - self._started_s
        is_any_ready = any(digest.ready for digest in self._digests)
        return waited_s >= PLATFORM_TIMEOUT_S and is_any_ready
