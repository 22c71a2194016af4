"""The node's clients of the platform's table and object store."""

from __future__ import annotations

import random
from typing import Any

from cyclamendale import clocks
from cyclamendale import events
from cyclamendale import settings as settings_module
from cyclamendale.store import http_client
from cyclamendale.store import load_limit


class PlatformClients:
    """Clients of table and object store, limited to the node's load share.

    Attributes:
        table: Client of the table, for everything except leases.
        lease_table: Client of the table, for leases only; it has a load
            share of its own, so that other operations cannot delay the
            renewal of a lease.
        objects: Client of the object store.
        is_reachable: Whether the platform answered the last operation;
            None before the first one.
    """

    def __init__(
        self,
        reactor: Any,
        clock: clocks.Clock,
        rng: random.Random,
        settings: settings_module.Settings,
        event_log: events.EventLog,
    ) -> None:
        self._event_log = event_log
        self.is_reachable: bool | None = None
        shared = http_client.make_platform_client(
            reactor,
            clock,
            rng,
            _make_http_settings(
                settings, load_limit.make_node_share(settings.fleet_nodes)
            ),
            self._handle_reachability_change,
        )
        leases = http_client.make_platform_client(
            reactor,
            clock,
            rng,
            _make_http_settings(settings, load_limit.make_lease_share()),
        )
        self.table = http_client.make_table(shared)
        self.lease_table = http_client.make_table(leases)
        self.objects = http_client.make_object_store(shared)

    def _handle_reachability_change(self, reachable: bool) -> None:
        self.is_reachable = reachable
        self._event_log.record(
            events.StoreReachabilityChanged(reachable=reachable)
        )


def _make_http_settings(
    settings: settings_module.Settings, share: load_limit.LoadShare
) -> http_client.HttpSettings:
    return http_client.HttpSettings(
        settings.platform_url,
        timeout_s=settings.platform_timeout_s,
        share=share,
    )
