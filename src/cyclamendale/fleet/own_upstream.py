"""Opens and closes the gate to the host's upstream on its announcements."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from cyclamendale.fleet import announcements
from cyclamendale.fleet import configuration as configurations
from cyclamendale.fleet import departures
from cyclamendale.fleet import host_report
from cyclamendale.proxy import gate as gates


class OwnUpstream:
    """Processes the announcements of the host's upstream."""

    def __init__(
        self,
        ip: str,
        gate: gates.Gate,
        active_configuration: configurations.ActiveConfiguration,
        departure_store: departures.DepartureStore,
        log: Any,
    ) -> None:
        self._announced = announcements.AnnouncedUpstream(ip)
        self._gate = gate
        self._active_configuration = active_configuration
        self._departure_store = departure_store
        self._log = log
        gate.on_leaving = lambda upstream_id: self.handle_departure(
            upstream_id, None
        )

    def start(self, is_first_start: bool) -> None:
        """Loads earlier departures; the gate can open once they are read.

        Args:
            is_first_start: Whether the fleet starts for the first time, so
                that nothing has departed yet.
        """
        self._departure_store.start(self._update_gate, is_first_start)

    def stop(self) -> None:
        """Cancels pending store operations."""
        self._departure_store.stop()

    def handle_heartbeat(self, heartbeat: announcements.Heartbeat) -> bool:
        """Handles a heartbeat; returns whether to confirm it."""
        configuration = self._active_configuration.current
        if (
            configuration is not None
            and heartbeat.service not in configuration.services
        ):
            self.handle_malformed(f"unknown service {heartbeat.service}")
            return False
        verdict = self._announced.apply_heartbeat(heartbeat)
        if verdict is announcements.Verdict.FOREIGN:
            self.handle_malformed(f"foreign upstream {heartbeat.upstream_id}")
            return False
        if verdict is announcements.Verdict.ACCEPTED:
            if self._announced.has_departed:
                self._departure_store.record(
                    heartbeat.upstream_id, heartbeat.started_at_ms
                )
            self._update_gate()
        return True

    def handle_departure(
        self, upstream_id: str, started_at_ms: int | None
    ) -> None:
        """Handles the upstream's announcement that it leaves.

        It is remembered also if no heartbeat of the process was received yet:
        one may arrive late, and the announcement is confirmed either way.
        """
        verdict = self._announced.record_departure(upstream_id, started_at_ms)
        self._log.belief(
            "upstream-leaves", upstream=upstream_id, verdict=verdict.value
        )
        current = self._announced.last_heartbeat
        if (
            started_at_ms is None
            and verdict is announcements.Verdict.ACCEPTED
            and current is not None
        ):
            started_at_ms = current.started_at_ms
        self._departure_store.record(upstream_id, started_at_ms)
        self._update_gate()

    def learn_departures(
        self, departures: Sequence[host_report.Departure]
    ) -> None:
        """Takes departures that an earlier process told other nodes of."""
        self._departure_store.learn(departures)
        self._update_gate()

    def recent_departures(self) -> tuple[host_report.Departure, ...]:
        """Returns the last departures, to report."""
        return self._departure_store.recent

    def handle_malformed(self, detail: str) -> None:
        """Logs an announcement that cannot be used."""
        self._log.belief("announcement-ignored", detail=detail)

    def status(self) -> host_report.UpstreamStatus | None:
        """Returns the status to report, or None before any announcement."""
        current = self._announced.last_heartbeat
        if current is None:
            return None
        load = self._gate.load()
        return host_report.UpstreamStatus(
            current.upstream_id,
            current.service,
            load.capacity,
            self._gate.state is gates.GateState.OPEN,
            current.cold_left_s,
            load.at_gate,
            self._gate.pressure,
            load.service_time_s,
            self._gate.refused_share,
        )

    def _update_gate(self) -> None:
        current = self._announced.last_heartbeat
        if current is None or not self._departure_store.is_loaded:
            return
        if self._departure_store.has_departed(
            current.upstream_id, current.started_at_ms
        ):
            self._announced.record_departure(
                current.upstream_id, current.started_at_ms
            )
        if self._announced.accepts_requests:
            self._gate.open(
                current.upstream_id,
                current.service,
                current.address,
                current.slots,
            )
        elif self._announced.has_departed:
            self._gate.close(gates.GateState.LEAVING)
