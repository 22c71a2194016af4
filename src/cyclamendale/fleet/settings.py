"""What a node learns of its host, its fleet and the bounds in force."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from cyclamendale import ids


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Times and ratios that the fleet is held to.

    Attributes:
        drain_s: Time after the confirmation of a leaving upstream in
            which it may still get new work.
        grace_s: Time between SIGTERM and SIGKILL.
        apply_s: Time in which an accepted configuration is in force.
        retry_ratio: Retries of a service over the requests for it.
        retry_window_s: Window of the retry bound.
        retry_slack: Retries of a service allowed at any rate.
        quota_window_s: Window of the quota bound.
        quota_overrun: Part by which a quota may be passed.
        quota_slack: Requests by which a quota may be passed.
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


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one node.

    Attributes:
        host: Name of the host.
        ip: Address of the host.
        failure_domain: Failure domain of the host.
        failure_domains: All failure domains and their regions.
        caller_address: Where callers of this host and its upstream
            connect.
        readiness_address: Where readiness is asked.
        announcement_address: Where the host's upstream announces itself.
        peer_port: Port of the other nodes, TCP and UDP.
        metrics_port: Port of the metrics.
        upstream_address: Where the host's upstream listens.
        service: Service of the host's upstream.
        heartbeat_interval_s: Time between two heartbeats of an upstream.
        store_address: Where the store listens.
        bounds: Bounds in force.
        first_start: Whether the whole fleet starts for the first time.
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

    @property
    def peer_address(self) -> ids.PeerAddress:
        """Returns where other nodes reach this one."""
        return ids.PeerAddress(f"{self.ip}:{self.peer_port}")


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an `ip:port` text.

    Raises:
        ValueError: The text has no port.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        raise ValueError(f"address without a port: {address!r}")
    return host, int(port)
