"""Records when processes wait for a processor or keep one busy.

It tells a process that is starved or busy from one that waits by itself.
"""

from __future__ import annotations

import asyncio
import pathlib

from review import standins
from soak import history
from soak import processes

INTERVAL_S = 0.25
NOTED_SHARE = 0.4
"""Share of an interval from which on it is recorded."""

TICK_S = 0.02
LATE_S = 0.02


async def watch_soak(record: standins.Record, past: history.History) -> None:
    """Notes when the soak itself hangs, until it is cancelled."""
    while True:
        due_s = record.now_s() + TICK_S
        await asyncio.sleep(TICK_S)
        now_s = record.now_s()
        if now_s - due_s > LATE_S:
            past.late_s.append((due_s, now_s))


async def watch_hosts(
    record: standins.Record, past: history.History, hosts: list[processes.Host]
) -> None:
    """Notes waits and busy times of processes until it is cancelled."""
    earlier: dict[int, tuple[float, float]] = {}
    while True:
        from_s = record.now_s()
        await asyncio.sleep(INTERVAL_S)
        running = [
            process
            for host in hosts
            for process in host.processes[-2:]
            if process.is_running
        ]
        for process in running:
            now = _read_times_s(process.pid)
            if now is None:
                continue
            before = earlier.get(process.pid, now)
            earlier[process.pid] = now
            ran_s, waited_s = now[0] - before[0], now[1] - before[1]
            until_s = record.now_s()
            if max(ran_s, waited_s) < NOTED_SHARE * (until_s - from_s):
                continue
            past.waits.append(
                history.Wait(process.host.number, from_s, until_s, waited_s)
            )
            record.line(
                "processor",
                host=process.host.number,
                pid=process.pid,
                interval_s=round(until_s - from_s, 3),
                ran_s=round(ran_s, 3),
                waited_s=round(waited_s, 3),
            )


def _read_times_s(pid: int) -> tuple[float, float] | None:
    """Returns the time that a process ran and waited to run."""
    try:
        text = pathlib.Path(f"/proc/{pid}/schedstat").read_text()
    except OSError:
        return None
    ran_ns, waited_ns, _ = text.split()
    return int(ran_ns) / 1e9, int(waited_ns) / 1e9
