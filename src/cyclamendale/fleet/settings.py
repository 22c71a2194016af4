"""Settings of a node: its host, its fleet and the service bounds."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from cyclamendale import buffer_budget
from cyclamendale import ids
from cyclamendale.quotas import bounds as quota_bounds


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on times and ratios that the fleet must meet.

    Attributes:
        drain_s: Time after the confirmation of a departure in which the
            upstream may still receive new requests.
        grace_s: Time between SIGTERM and SIGKILL.
        apply_s: Time within which an accepted configuration is active.
        retry_ratio: Maximum ratio of retries to requests of a service.
        retry_window_s: Window over which retries are bounded.
        retry_slack: Retries of a service allowed regardless of the ratio.
        quota_window_s: Window over which quotas are enforced.
        quota_overrun: Fraction by which a quota may be exceeded.
        quota_slack: Requests by which a quota may be exceeded.
    """

    drain_s: float = 2.0
    grace_s: float = 6.0
    apply_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    quota_window_s: float = 5.0
    quota_overrun: float = 0.1
    quota_slack: float = 20.0

    @property
    def quota(self) -> quota_bounds.QuotaBound:
        """Returns how far admissions may exceed a quota."""
        return quota_bounds.QuotaBound(
            self.quota_window_s, self.quota_overrun, self.quota_slack
        )


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one node.

    Attributes:
        host: Name of the host.
        ip: IP address of the host.
        failure_domain: Failure domain of the host.
        failure_domains: All failure domains and their regions.
        caller_address: Listening address for callers on this host and for
            its upstream.
        readiness_address: Listening address for readiness checks.
        announcement_address: Listening address for announcements of the
            host's upstream.
        peer_port: Port for other nodes, TCP and UDP.
        metrics_port: Port of the metrics page.
        upstream_address: Address of the host's upstream.
        service: Service of the host's upstream.
        heartbeat_interval_s: Interval between heartbeats of an upstream.
        store_address: Address of the store.
        bounds: Limits that the fleet must meet.
        first_start: Whether the whole fleet starts for the first time.
        memory_bytes: Memory over which the process is killed.
    """

    host: str
    ip: str
    failure_domain: ids.FailureDomainName
    failure_domains: Mapping[ids.FailureDomainName, str]
    caller_address: str
    readiness_address: str
    announcement_address: str
    peer_port: int
    metrics_port: int
    upstream_address: str
    service: ids.ServiceName
    heartbeat_interval_s: float
    store_address: str
    bounds: Bounds
    first_start: bool
    memory_bytes: int = buffer_budget.DEFAULT_MEMORY_BYTES

    @property
    def peer_address(self) -> ids.PeerAddress:
        """Returns the address at which other nodes reach this one."""
        return ids.PeerAddress(f"{self.ip}:{self.peer_port}")

    def reloaded(self, new: HostSettings) -> HostSettings:
        """Returns these settings with the values that a reload may change."""
        return msgspec.structs.replace(
            self,
            service=new.service,
            upstream_address=new.upstream_address,
            store_address=new.store_address,
            bounds=new.bounds,
        )


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an `ip:port` string.

    Raises:
        ValueError: The string has no port.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"address without a port: {address!r}")
    return host, int(port)
