"""Gauges of a node's metrics page."""

from __future__ import annotations

from cyclamendale.fleet import configuration as configurations
from cyclamendale.fleet import hosts
from cyclamendale.fleet import observation
from cyclamendale.proxy import gate as gates


def add_gauges(
    observer: observation.Observer,
    configuration: configurations.ActiveConfiguration,
    view: hosts.HostView,
    gate: gates.Gate,
) -> None:
    """Adds the gauges that are read when the page is fetched."""
    observer.add_gauge("configuration_version", lambda: configuration.version)
    observer.add_gauge("hosts_live", lambda: 1 + len(view.live_others()))
    observer.add_gauge("gate_in_service", lambda: gate.load().in_service)
    observer.add_gauge("gate_queued", lambda: gate.load().queued)
    observer.add_gauge("gate_pressure", lambda: gate.pressure)
    observer.add_gauge("gate_refused_share", lambda: gate.refused_share)
