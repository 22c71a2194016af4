"""Readiness of a starting node to serve with the configuration it holds."""

from __future__ import annotations

from collections.abc import Sequence

from cyclamendale import clocks
from cyclamendale import ids
from cyclamendale.configuration import spread

PLATFORM_WAIT_S = 2.0
"""Time after start for which a node waits for the platform before a ready
peer's digest suffices."""


class Readiness:
    """Versions that the platform and the peers reported since the start."""

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._started_s = clock.now_s()
        self._platform_version: ids.ConfigVersion | None = None
        self._digests: Sequence[spread.PeerDigest] = ()

    def record_platform_version(self, version: ids.ConfigVersion) -> None:
        """Records the version that the platform holds."""
        self._platform_version = version

    def record_peer_digests(self, digests: Sequence[spread.PeerDigest]) -> None:
        """Records the digests of the peers that answered."""
        self._digests = digests

    def is_ready_with(self, version: ids.ConfigVersion) -> bool:
        """Returns whether the node can serve with a version.

        No peer that answered may hold a higher version. In addition, one of
        these must hold:

        - The platform answered and holds no higher version.
        - The platform did not answer, or did not deliver its version, for
          `PLATFORM_WAIT_S`, and a ready peer answered. The node's
          configuration is then at least as recent as that peer's.
        """
        if any(digest.version > version for digest in self._digests):
            return False
        platform_version = self._platform_version
        if platform_version is not None and version >= platform_version:
            return True
        waited_s = self._clock.now_s() - self._started_s
        is_any_ready = any(digest.ready for digest in self._digests)
        return waited_s >= PLATFORM_WAIT_S and is_any_ready
