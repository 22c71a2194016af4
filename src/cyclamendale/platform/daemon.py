"""The daemon that runs one node on the users' platform."""

from __future__ import annotations

import contextlib
import gc
import os
import signal
import sys
from typing import Any

from expression import Result

from cyclamendale import clocks
from cyclamendale import lean_reactor
from cyclamendale.fleet import failure_log
from cyclamendale.fleet import formats
from cyclamendale.fleet import journal
from cyclamendale.fleet import listen_addresses
from cyclamendale.fleet import node as nodes
from cyclamendale.platform import interfaces
from cyclamendale.platform import manifest
from cyclamendale.platform import request_headers
from cyclamendale.platform import settings
from cyclamendale.platform import store

EXIT_NO_SETTINGS = 2

GC_THRESHOLD_YOUNG = 50_000
"""Net allocations that trigger a collection of the youngest generation.

Few objects of a request form reference cycles, so that more frequent
collections would free little.
"""

SETTINGS_POLL_INTERVAL_S = 0.5
"""Interval at which the settings file is checked for changes.

The platform may change the file without sending SIGHUP.
"""

MIN_START_INTERVAL_S = 0.05
"""Shortest interval between two tries to start. It grows with the wait, up to
the interval above."""

WAIT_LOG_INTERVAL_S = 30.0
"""Interval at which a process that waits says again what it waits for."""

FORMATS = formats.Formats(
    request_headers.HEADER_NAMES,
    manifest.decode,
    (manifest.TABLE, manifest.KEY),
    interfaces.make_announcement_site,
    interfaces.make_readiness_site,
)


_Contents = Result[bytes, settings.SettingsError]


class Daemon:
    """Runs a node until SIGTERM or SIGINT; SIGHUP reloads the settings.

    Settings that can't be used and addresses that can't be opened are states
    that pass, for which the start waits.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._clock = clocks.SystemClock(reactor)
        self._failures = failure_log.install(self._make_journal(""))
        self._node: nodes.Node | None = None
        self._rows: store.PlatformRows | None = None
        self._is_stopping = False
        self._contents: _Contents | None = None
        self._timer: clocks.DelayedCall | None = None
        self._first_look_s = 0.0
        self._told: tuple[str, dict[str, Any]] | None = None
        self._told_s = 0.0

    def run(self) -> int:
        """Serves until a signal arrives; returns the exit code."""
        contents = settings.read()
        if (
            contents.is_error()
            and contents.error.problem is settings.Problem.NO_PATH
        ):
            # The one fault that can't pass while the process lives.
            sys.stderr.write(f"{contents.error}\n")
            return EXIT_NO_SETTINGS
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_stop_signal)
        signal.signal(signal.SIGHUP, self._handle_reload_signal)
        self._first_look_s = self._clock.now_s()
        self._reactor.callWhenRunning(self._look)
        self._reactor.run(installSignalHandlers=False)
        return 0

    def _handle_stop_signal(self, _number: int, _frame: Any) -> None:
        self._reactor.callFromThread(self._stop)

    def _handle_reload_signal(self, _number: int, _frame: Any) -> None:
        self._reactor.callFromThread(self._reload)

    def _stop(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        node = self._node
        if node is None:
            self._reactor.stop()
            return
        stopped = node.stop()
        stopped.addErrback(lambda failure: node.log.defect("stop", failure))
        stopped.addBoth(lambda _: self._reactor.stop())

    def _reload(self) -> None:
        self._contents = None
        self._look()

    def _look(self) -> None:
        """Looks at the settings, and starts or reloads the node with them."""
        if self._node is None and self._is_stopping:
            return
        # At first, so that no failure below ends the series.
        clocks.cancel(self._timer)
        self._timer = self._clock.call_later(self._interval_s(), self._look)
        contents = settings.read()
        if self._node is None:
            self._try_start(contents)
        elif contents != self._contents:
            self._apply(self._node, contents)
        self._contents = contents

    def _interval_s(self) -> float:
        if self._node is not None:
            return SETTINGS_POLL_INTERVAL_S
        waited_s = self._clock.now_s() - self._first_look_s
        return min(
            SETTINGS_POLL_INTERVAL_S, max(MIN_START_INTERVAL_S, waited_s / 20)
        )

    def _apply(self, node: nodes.Node, contents: _Contents) -> None:
        loaded = contents.bind(settings.decode)
        if loaded.is_ok():
            node.reload(loaded.ok)
            if self._rows is not None:
                self._rows.move(loaded.ok.store_address)
        else:
            node.log.belief("reload-failed", error=str(loaded.error))

    def _try_start(self, contents: _Contents) -> None:
        loaded = contents.bind(settings.decode)
        if loaded.is_error():
            path = os.environ[settings.PATH_VARIABLE]
            error_text = str(loaded.error)
            if self._tell("", "settings-unusable", path=path, error=error_text):
                sys.stderr.write(f"{path}: {error_text}\n")
            return
        host = loaded.ok.host
        obstacle = listen_addresses.find_obstacle(loaded.ok)
        if obstacle is not None:
            event = "addresses-in-use" if obstacle.is_in_use else "start-failed"
            self._tell(
                host, event, address=obstacle.address, error=obstacle.error
            )
            return
        try:
            rows = store.make_rows(
                self._reactor, self._clock, loaded.ok.store_address
            )
            node = nodes.make_node(
                self._reactor,
                loaded.ok,
                FORMATS,
                rows,
                self._make_journal(host),
            )
            node.start()
        except Exception as failure:
            # Another process was faster, the system is short of something, or
            # a defect: an operator must see it, and the process must live.
            text = f"{type(failure).__name__}: {failure}"
            self._tell(host, "start-failed", error=text)
            return
        self._node, self._rows = node, rows
        self._failures.log = node.log
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_YOUNG)

    def _tell(self, host: str, event: str, **fields: Any) -> bool:
        """Logs what the start waits for, if it is news or long ago.

        Returns:
            Whether a line was logged.
        """
        now_s = self._clock.now_s()
        if (event, fields) == self._told and (
            now_s - self._told_s < WAIT_LOG_INTERVAL_S
        ):
            return False
        self._told = (event, fields)
        self._told_s = now_s
        waited_s = round(now_s - self._first_look_s, 1)
        log = self._make_journal(host)
        log.belief(event, **fields, waited_s=waited_s)
        return True

    def _make_journal(self, host: str) -> journal.Journal:
        return journal.make_journal(self._clock, host)


def _ignore_signals() -> None:
    """Ignores signals until the process has ended.

    At its end the interpreter would replace handlers by the default, which
    ends the process by the signal; ignored signals stay ignored.
    """
    for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, signal.SIG_IGN)


def _fill_standard_streams() -> None:
    """Opens standard streams that are closed, as their numbers are written to.

    A socket of the node would take the lowest free number.
    """
    for number in range(3):
        try:
            os.fstat(number)
        except OSError:
            with contextlib.suppress(OSError):
                os.open(os.devnull, os.O_RDWR)


def main() -> int:
    """Runs the daemon; returns the exit code."""
    _fill_standard_streams()
    sys.stderr = failure_log.ErrorStream()
    try:
        return Daemon(lean_reactor.install()).run()
    finally:
        _ignore_signals()
