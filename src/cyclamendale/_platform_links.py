"""The node's links to the platform's table and object store."""

from __future__ import annotations

import random
from typing import Any

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import settings as settings_module
from cyclamendale.store import http_client
from cyclamendale.store import load_limit


class PlatformLinks:
    """Table and object store, each within the node's share of the load.

    Attributes:
        table: The table, for everything but leases.
        lease_table: The table, for leases alone: other work must not keep
            a lease from being renewed in time.
        objects: The object store.
        is_reachable: Whether the platform answered last time; None when
            it was not asked yet.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        randomness: random.Random,
        settings: settings_module.Settings,
        event_log: events.EventLog,
    ) -> None:
        self._event_log = event_log
        self.is_reachable: bool | None = None
        shared = http_client.make_platform_client(
            reactor,
            clock,
            randomness,
            _http_settings(
                settings, load_limit.make_node_share(settings.fleet_nodes)
            ),
            self._reachability_changed,
        )
        leases = http_client.make_platform_client(
            reactor,
            clock,
            randomness,
            _http_settings(settings, load_limit.make_lease_share()),
        )
        self.table = http_client.make_table(shared)
        self.lease_table = http_client.make_table(leases)
        self.objects = http_client.make_object_store(shared)

    def _reachability_changed(self, reachable: bool) -> None:
        self.is_reachable = reachable
        self._event_log.record(
            events.StoreReachabilityChanged(reachable=reachable)
        )


def _http_settings(
    settings: settings_module.Settings, share: load_limit.LoadShare
) -> http_client.HttpSettings:
    return http_client.HttpSettings(
        settings.platform_url,
        timeout_s=settings.platform_timeout_s,
        share=share,
    )
