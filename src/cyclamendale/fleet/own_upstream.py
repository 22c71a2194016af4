"""The host's own upstream: what it announces opens and closes the gate."""

from __future__ import annotations

from typing import Any

from cyclamendale.fleet import announcements
from cyclamendale.fleet import configuration as configurations
from cyclamendale.fleet import departures
from cyclamendale.fleet import hosts
from cyclamendale.proxy import gate as gates


class OwnUpstream:
    """Follows the announcements of the host's upstream."""

    def __init__(
        self,
        ip: str,
        gate: gates.Gate,
        in_force: configurations.ConfigurationInForce,
        departed: departures.Departures,
        log: Any,
    ) -> None:
        self._announced = announcements.AnnouncedUpstream(ip)
        self._gate = gate
        self._in_force = in_force
        self._departed = departed
        self._log = log

    def start(self) -> None:
        """Opens the gate as soon as earlier departures are known."""
        self._departed.start(self._follow)

    def stop(self) -> None:
        """Ends the work at the store."""
        self._departed.stop()

    def heard(self, heartbeat: announcements.Heartbeat) -> bool:
        """Takes a heartbeat; returns whether to confirm it."""
        configuration = self._in_force.current
        if (
            configuration is not None
            and heartbeat.service not in configuration.services
        ):
            self.malformed(f"unknown service {heartbeat.service}")
            return False
        verdict = self._announced.hear(heartbeat)
        if verdict is announcements.Verdict.FOREIGN:
            self.malformed(f"foreign upstream {heartbeat.upstream_id}")
            return False
        if verdict is announcements.Verdict.TAKEN:
            if self._announced.has_left:
                self._departed.remember(
                    heartbeat.upstream_id, heartbeat.born_ms
                )
            self._follow()
        return True

    def left(self, upstream_id: str, born_ms: int | None) -> None:
        """Takes the word of the upstream that it leaves."""
        verdict = self._announced.leave(upstream_id, born_ms)
        self._log.belief(
            "upstream-leaves", upstream=upstream_id, verdict=verdict.value
        )
        current = self._announced.current
        if verdict is announcements.Verdict.TAKEN and current is not None:
            self._departed.remember(upstream_id, current.born_ms)
        self._follow()

    def malformed(self, detail: str) -> None:
        """Takes note of an announcement that can't be used."""
        self._log.belief("announcement-ignored", detail=detail)

    def status(self) -> hosts.UpstreamStatus | None:
        """Returns what to report of it, once it announced itself."""
        current = self._announced.current
        if current is None:
            return None
        load = self._gate.load()
        return hosts.UpstreamStatus(
            current.upstream_id,
            current.service,
            load.capacity,
            self._gate.door is gates.Door.OPEN,
            current.cold_left_s,
            load.at_gate,
            self._gate.pressure,
            load.service_time_s,
            self._gate.refused_share,
        )

    def _follow(self) -> None:
        current = self._announced.current
        if current is None or not self._departed.is_read:
            return
        if self._departed.has_left(current.upstream_id, current.born_ms):
            self._announced.leave(current.upstream_id, current.born_ms)
        if self._announced.takes_requests:
            self._gate.open(current.upstream_id, current.address, current.slots)
        elif self._announced.has_left:
            self._gate.close(gates.Door.LEAVING)
