"""Supervises the processes of a fleet as the platform does."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Iterator
import contextlib
import random
import signal

from review import standins
from soak import checks
from soak import configuration
from soak import ends
from soak import history
from soak import processes
from soak import targets

RECOVERY_S = 15.0
"""Time after which hosts that are back have to serve (RULES.md, RECOVER)."""

RESTART_DELAY_S = (0.05, 0.6)
LEFT_AFTER_S = 4.0
"""Time after SIGTERM at which a host mustn't count as ready (RULES.md)."""

MEMORY_MB = 300
MEMORY_INTERVAL_S = 0.25
SERVES_INTERVAL_S = 0.25
TIMER_SLACK_S = 0.2
HANGUP_GAP_S = (0.002, 0.02)
HANGUP_AGES_S = (0.0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 0.8)

Serves = Callable[[processes.Host], Awaitable[bool]]
"""Sends a request to a host; returns whether it was served."""


class Fleet:
    """The hosts of a fleet, supervised as the platform does.

    A process that ended is started again after a short delay; one that
    outlives the grace period is killed.

    Attributes:
        hosts: All hosts.
        findings: Broken promises of processes.
        history: What was done to the fleet.
        configuration: Publishes configurations.
        targets: The upstreams.
    """

    def __init__(
        self,
        record: standins.Record,
        fleet: processes.Hosts,
        published: configuration.Configuration,
        upstreams: targets.Targets,
        rng: random.Random,
    ) -> None:
        self.hosts = fleet.hosts
        self.findings: list[tuple[checks.Finding, str]] = []
        self.history = published.history
        self.configuration = published
        self.targets = upstreams
        self._record = record
        self._rng = rng
        self._busy: set[int] = set()
        self._killed_s: dict[int, float] = {}
        self._tasks: set[asyncio.Task] = set()

    @property
    def nodes(self) -> list[processes.Host]:
        """Returns the hosts that run and that no other action works on."""
        return [
            host
            for host in self.hosts
            if host.number not in self._busy
            and host.current.is_running
            and host.current.was_ready_s is not None
        ]

    def now_s(self) -> float:
        """Returns the time since the start of the soak."""
        return self._record.now_s()

    def note_impairment(
        self, hosts: Iterable[int] | None, from_s: float, until_s: float
    ) -> None:
        """Notes something unplanned, which the checks take into account.

        Args:
            hosts: Numbers of the hosts; None for the store.
            from_s: Start, by `now_s`.
            until_s: End, by `now_s`.
        """
        impairment = history.Impairment(
            None if hosts is None else frozenset(hosts), from_s, until_s
        )
        self.history.impairments.append(impairment)
        self._record.line(
            "impairment",
            hosts="store" if hosts is None else sorted(impairment.hosts or ()),
            from_s=round(from_s, 3),
            until_s=round(until_s, 3),
        )

    def note(
        self,
        finding: checks.Finding,
        process: processes.Process,
        from_s: float,
        text: str,
    ) -> None:
        """Notes a broken promise of a process, and what led to it."""
        host = process.host.number
        text = f"host {host} pid {process.pid} {text}"
        text += self.history.describe_waits([host], from_s, self.now_s())
        text += f"; last log line: {process.last_log_line()}"
        self._record.line("process-finding", rule=finding.value, text=text)
        self.findings.append((finding, text))

    @contextlib.contextmanager
    def claimed(self, host: processes.Host) -> Iterator[None]:
        """Keeps other actions from working on a host."""
        self._busy.add(host.number)
        try:
            yield
        finally:
            self._busy.discard(host.number)

    async def start(self) -> None:
        """Starts all hosts and waits until they are ready or late."""
        for host in self.hosts:
            self.start_process(host)
        await asyncio.gather(*map(self.wait_settled, self.hosts))

    def start_process(
        self, host: processes.Host, is_hung_up: bool = False
    ) -> processes.Process:
        """Starts a process of a host.

        Args:
            host: The host.
            is_hung_up: Whether it gets SIGHUP in series from its first instant.
        """
        host.start()
        process = host.current
        self.history.starts_s[host.number].append(process.started_s)
        self._spawn(self._supervise(process))
        self._spawn(self._watch_start(process))
        self._spawn(self._watch_memory(process))
        if is_hung_up:
            self._spawn(self._hang_up_start(process))
        return process

    def terminate(self, process: processes.Process) -> None:
        """Sends SIGTERM; it has to end within the grace period."""
        is_first = process.first_s(signal.SIGTERM) is None
        process.send(signal.SIGTERM)
        if is_first and process.first_s(signal.SIGTERM) is not None:
            self.history.stops_s[process.host.number].append(self.now_s())
            self._spawn(self._enforce_grace(process))
            self._spawn(self._check_left(process))

    def hang_up(self, process: processes.Process) -> None:
        """Sends SIGHUP."""
        if process.is_running:
            self.history.hangups_s[process.host.number].append(self.now_s())
            process.send(signal.SIGHUP)

    def kill(self, process: processes.Process) -> None:
        """Sends SIGKILL."""
        if process.is_running:
            self._killed_s[process.pid] = self.now_s()
            process.send(signal.SIGKILL)

    async def freeze(self, process: processes.Process, for_s: float) -> None:
        """Stops a process with SIGSTOP for some seconds."""
        if process.is_running:
            from_s = self.now_s()
            self.note_impairment(
                [process.host.number], from_s, from_s + for_s + TIMER_SLACK_S
            )
            process.send(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            process.send(signal.SIGCONT)

    async def restart(self, host: processes.Host, overlaps: bool) -> None:
        """Stops a process and waits until the next one is ready.

        Args:
            host: The host.
            overlaps: Whether the next one starts while this one drains.
        """
        with self.claimed(host):
            process = host.current
            self.terminate(process)
            if self._rng.random() < 0.3:
                self._spawn(self._hang_up_end(process))
            if overlaps:
                await asyncio.sleep(0.2)
                self.start_process(host, self._rng.random() < 0.3)
            await process.ended.wait()
            await self.wait_settled(host)

    async def wait_settled(self, host: processes.Host) -> None:
        """Waits until a host is ready again, or late."""
        ends_s = self.now_s() + RECOVERY_S + 1.0
        while host.current.was_ready_s is None or not host.current.is_running:
            if self.now_s() > ends_s:
                return
            await asyncio.sleep(0.05)

    async def check_serves(
        self,
        host: processes.Host,
        serves: Serves,
        text: str,
        is_judged: Callable[[float], bool] = lambda _: True,
    ) -> None:
        """Checks that a host is ready and serves in time (RULES.md, RECOVER).

        Args:
            host: The host.
            serves: Sends a request to the host; returns whether it was served.
            text: What the host should have served, for the finding.
            is_judged: Whether the host still counts; gets the start.
        """
        from_s = self.now_s()
        while not (await host.is_ready() and await serves(host)):
            if not is_judged(from_s):
                return
            if self.now_s() - from_s > RECOVERY_S:
                text = f"isn't ready or doesn't serve {text}"
                self.note(
                    checks.Finding.NOT_SERVING, host.current, from_s, text
                )
                return
            await asyncio.sleep(SERVES_INTERVAL_S)
        took_s = round(self.now_s() - from_s, 3)
        self._record.line("serves", host=host.number, took_s=took_s)

    async def close(self) -> None:
        """Ends the supervision."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _supervise(self, process: processes.Process) -> None:
        """Judges the end of a process and starts the next one."""
        await process.ended.wait()
        assert process.ended_s is not None
        host = process.host
        end = ends.End(
            host.number,
            process.code,
            process.sent,
            process.started_s,
            process.ended_s,
        )
        killed_s = self._killed_s.get(process.pid)
        if killed_s is not None:
            self.note_impairment([host.number], killed_s, process.ended_s)
        found = ends.find_own_end(end, self.history)
        if found is not None:
            finding, text = found
            self.note(finding, process, process.ended_s - 1.0, text)
        if host.current is not process or host.is_away:
            return
        await asyncio.sleep(self._rng.uniform(*RESTART_DELAY_S))
        if killed_s is not None:
            self.note_impairment([host.number], killed_s, self.now_s())
        self.start_process(host, self._rng.random() < 0.3)

    async def _watch_start(self, process: processes.Process) -> None:
        """Notes when a process is ready, or that it isn't in time."""
        host = process.host
        for earlier in host.processes[:-1]:
            await earlier.ended.wait()
        from_s = self.now_s()
        while process.is_running and host.current is process:
            if process.first_s(signal.SIGTERM) is not None:
                return
            if await host.is_ready():
                process.was_ready_s = self.now_s()
                self._record.line(
                    "ready",
                    host=host.number,
                    pid=process.pid,
                    took_s=round(self.now_s() - from_s, 3),
                )
                return
            if self.now_s() - from_s > RECOVERY_S:
                if not self.history.is_impaired(
                    host.number, from_s, self.now_s()
                ):
                    self.note(
                        checks.Finding.NOT_READY,
                        process,
                        from_s,
                        f"isn't ready {RECOVERY_S} s after its start at"
                        f" {from_s:.3f}",
                    )
                return
            await asyncio.sleep(0.1)

    async def _watch_memory(self, process: processes.Process) -> None:
        """Notes a process whose memory is over its limit."""
        while process.is_running:
            used_mb = process.peak_memory_mb()
            if used_mb > MEMORY_MB:
                text = f"used {used_mb:.0f} MB of {MEMORY_MB} MB"
                self.note(checks.Finding.MEMORY, process, self.now_s(), text)
                return
            await asyncio.sleep(MEMORY_INTERVAL_S)

    async def _enforce_grace(self, process: processes.Process) -> None:
        """Kills a process that outlives the grace period."""
        stopped_s = self.now_s()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.ended.wait(), standins.GRACE_S)
        if process.is_running:
            process.send(signal.SIGKILL)
            if not self.history.is_impaired(
                process.host.number, stopped_s, self.now_s()
            ):
                self.note(
                    checks.Finding.OVERRUN,
                    process,
                    stopped_s,
                    f"runs {standins.GRACE_S} s after SIGTERM at"
                    f" {stopped_s:.3f}",
                )

    async def _check_left(self, process: processes.Process) -> None:
        """Checks that a stopped process no longer says that it is ready."""
        host = process.host
        await asyncio.sleep(LEFT_AFTER_S)
        if process.is_running and host.current is process:
            is_ready = await host.is_ready()
            if is_ready and process.is_running and host.current is process:
                self.note(
                    checks.Finding.DRAIN,
                    process,
                    self.now_s() - LEFT_AFTER_S,
                    f"says that it is ready {LEFT_AFTER_S} s after SIGTERM",
                )

    async def _hang_up_start(self, process: processes.Process) -> None:
        for age_s in HANGUP_AGES_S:
            if self._rng.random() < 0.3:
                left_s = process.started_s + age_s - self.now_s()
                await asyncio.sleep(max(0.0, left_s))
                self.hang_up(process)

    async def _hang_up_end(self, process: processes.Process) -> None:
        while process.is_running:
            self.hang_up(process)
            await asyncio.sleep(self._rng.uniform(*HANGUP_GAP_S))
