"""Node processes that are started and signalled as the platform does."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys

from review import standins
from soak import proxy
from soak import sites
from soak import store

_PYTHON_FOLDER = pathlib.Path(os.path.realpath(sys.executable)).parent


@dataclasses.dataclass(frozen=True)
class Sent:
    """A signal that was sent to a process.

    Attributes:
        number: The signal.
        at_s: When.
        is_handled: Whether the process had a handler for it, or ignored it.
    """

    number: signal.Signals
    at_s: float
    is_handled: bool


class Process:
    """One process of a host, from its start to its end.

    Attributes:
        started_s: When it had been started.
        sent: Signals that were sent to it.
        ended_s: When it ended, if it has.
        ended: Set at its end.
        was_ready_s: When it was first seen ready, if it was.
    """

    def __init__(
        self,
        record: standins.Record,
        host: Host,
        popen: subprocess.Popen,
        log_path: pathlib.Path,
    ) -> None:
        self.host = host
        self.started_s = record.now_s()
        self.sent: list[Sent] = []
        self.ended_s: float | None = None
        self.ended = asyncio.Event()
        self.was_ready_s: float | None = None
        self._record = record
        self._popen = popen
        self._log_path = log_path
        self._handle = os.pidfd_open(popen.pid)
        asyncio.get_running_loop().add_reader(self._handle, self.note_end)

    @property
    def pid(self) -> int:
        """Returns the process id."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Returns whether it hasn't ended."""
        return self.ended_s is None

    @property
    def code(self) -> int:
        """Returns its exit code, or the negative number of its signal."""
        return self._popen.wait()

    def first_s(self, number: signal.Signals) -> float | None:
        """Returns when a signal was first sent, if it was."""
        return next(
            (each.at_s for each in self.sent if each.number == number), None
        )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        if not self.is_running or self._popen.poll() is not None:
            return
        is_handled = self._handles(number)
        now_s = self._record.now_s()
        self.sent.append(Sent(number, now_s, is_handled))
        self._record.line(
            "signal",
            host=self.host.number,
            pid=self.pid,
            name=number.name,
            age_ms=round((now_s - self.started_s) * 1000, 1),
            handled=is_handled,
        )
        self._popen.send_signal(number)

    def note_end(self) -> None:
        """Notes the end of the process."""
        if self.ended_s is not None:
            return
        self._popen.wait()
        self.ended_s = self._record.now_s()
        asyncio.get_running_loop().remove_reader(self._handle)
        os.close(self._handle)
        self._record.line(
            "process-end",
            host=self.host.number,
            pid=self.pid,
            code=self.code,
            age_s=round(self.ended_s - self.started_s, 3),
            last_log=json.dumps(self.last_log_line()),
        )
        self.ended.set()

    def last_log_line(self) -> str:
        """Returns the last line of the log, cut to some length."""
        lines = self._log_path.read_text(errors="replace").splitlines()
        return lines[-1][:200] if lines else ""

    def peak_memory_mb(self) -> float:
        """Returns the largest resident memory so far; 0 once it ended."""
        return int(self._read_status("VmHWM").split()[0]) / 1024

    def kill(self) -> None:
        """Ends the process after the soak."""
        if self.is_running:
            self._popen.kill()
            self._popen.wait()
            asyncio.get_running_loop().remove_reader(self._handle)
            os.close(self._handle)

    def _handles(self, number: signal.Signals) -> bool:
        return any(
            int(self._read_status(name), 16) & 1 << (number - 1)
            for name in ("SigIgn", "SigCgt")
        )

    def _read_status(self, name: str) -> str:
        """Returns an entry of the status of the process; 0 without it."""
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return "0"
        for line in status.splitlines():
            key, _, value = line.partition(":")
            if key == name:
                return value.strip()
        return "0"


class Host(standins.Node):
    """A host, on which processes follow one another.

    Attributes:
        processes: All processes so far; the last ones may run side by side.
        store_address: Address of the store in its settings.
        upstream_address: Where its upstream listens; the process calls `app`.
        upstream_link: The link from `app` to its upstream, if it has one.
        is_away: Whether it is taken away; its process isn't started again.
    """

    def __init__(
        self, fleet: Hosts, number: int, domain: str, service: str
    ) -> None:
        super().__init__(fleet, number, service)
        self.domain = domain
        self.processes: list[Process] = []
        self.store_address = f"127.0.{fleet.subnet}.1:{fleet.ports['store']}"
        self.upstream_address = self.app
        self.upstream_link: proxy.Proxy | None = None
        self.is_away = False
        self._hosts = fleet
        self._starts = 0
        self._torn = asyncio.Lock()

    @property
    def current(self) -> Process:
        """Returns the process that was started last."""
        return self.processes[-1]

    @property
    def _settings_path(self) -> pathlib.Path:
        return self._hosts.folder / f"node-{self.number}.json"

    def start(self) -> None:
        """Starts a process; its settings are whole or being written."""
        if not self._torn.locked():
            self._settings_path.write_text(self._settings_text())
        self._starts += 1
        log_path = self._hosts.folder / f"node-{self.number}.{self._starts}.log"
        with log_path.open("wb") as log:
            popen = subprocess.Popen(
                self._hosts.command,
                cwd=standins.ROOT,
                stdout=log,
                stderr=log,
                env={
                    "PATH": f"{_PYTHON_FOLDER}:{os.environ['PATH']}",
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(standins.ROOT / "target" / "deps"),
                    "CYCLAMENDALE_BOOT": str(self._settings_path),
                },
            )
        process = Process(self._hosts.record, self, popen, log_path)
        self.processes.append(process)
        self._hosts.record.line(
            "process-start", host=self.number, pid=process.pid
        )

    async def rewrite_settings(self, pause_s: float) -> None:
        """Truncates the settings and writes them again, in two parts."""
        async with self._torn:
            text = self._settings_text()
            half = len(text) // 2
            with self._settings_path.open("w") as file:
                self._hosts.record.line("settings-torn", host=self.number)
                await asyncio.sleep(pause_s / 2)
                file.write(text[:half])
                file.flush()
                await asyncio.sleep(pause_s / 2)
                file.write(text[half:])
            self._hosts.record.line("settings-whole", host=self.number)

    async def become_another(self, service: str, moves: bool) -> None:
        """Takes the place of a host, with a service and perhaps elsewhere."""
        async with self._torn:
            self.service = service
            if not moves:
                return
            self.ip = self._hosts.next_ip()
            for name in ("outbound", "ready", "control", "app"):
                setattr(self, name, f"{self.ip}:{self._hosts.ports[name]}")
            self.upstream_address = self.app

    def _settings_text(self) -> str:
        settings = self._settings()
        settings["zone"] = self.domain
        settings["node_name"] = f"sidecar-{self.domain}-{self.number}"
        settings["first_start"] = not self._starts
        settings["change"] = self._hosts.record.now_s()
        settings["platform"]["address"] = self.store_address
        return json.dumps(settings)


class Hosts(standins.Fleet):
    """The store and the hosts."""

    def __init__(self, record: standins.Record, site: sites.Site) -> None:
        services = [service for _, service in site.hosts]
        super().__init__(record, services, site.failure_domains)
        self.store = store.Store()
        self.hosts = [
            Host(self, number, domain, service)
            for number, (domain, service) in enumerate(site.hosts)
        ]
        self.nodes = list(self.hosts)
        self._moves = 0

    async def start_store(self) -> None:
        """Starts the store."""
        await self.store.start(f"127.0.{self.subnet}.1", self.ports["store"])

    def next_ip(self) -> str:
        """Returns an address that no host has had."""
        self._moves += 1
        return f"127.1.{self.subnet}.{self._moves}"

    def close(self) -> None:
        """Ends all processes and removes the folder."""
        for host in self.hosts:
            for process in host.processes:
                process.kill()
        self.nodes = []
        super().close()
