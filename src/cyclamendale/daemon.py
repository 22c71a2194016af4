"""The daemon `cyclamendaled`, which runs one node."""

from __future__ import annotations

import gc
import logging
import os
import signal
import sys
from typing import Any

from twisted.internet import error
from twisted.internet import reactor as default_reactor
from twisted.python import failure

from cyclamendale import logs
from cyclamendale import node as nodes
from cyclamendale import settings as settings_module

EXIT_OK = 0
EXIT_FAILED = 1

GC_THRESHOLD_YOUNG = 50_000
"""Net allocations that trigger a collection of the youngest generation.

Few objects of a request form reference cycles, so that more frequent
collections would free little.
"""

_log = logging.getLogger(__name__)


class Daemon:
    """Runs a node until SIGTERM or SIGINT."""

    def __init__(
        self, reactor: Any, settings: settings_module.Settings
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._is_stopping = False
        self._node: nodes.Node | None = None
        self.exit_code = EXIT_OK

    def run(self) -> int:
        """Serves until a signal arrives; returns the exit code."""
        self._reactor.callWhenRunning(self._start)
        self._reactor.run(installSignalHandlers=False)
        return self.exit_code

    def _start(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._handle_signal)
        try:
            self._node = nodes.make_node(self._reactor, self._settings)
        except (OSError, error.CannotListenError):
            logs.configure(self._settings.log_level.value)
            self._handle_failure(failure.Failure())
            return
        logs.configure(
            self._settings.log_level.value, self._node.own_member.node
        )
        started = self._node.start()
        if self._node.is_listening:
            _log.info("listening", extra=self._node.listen_addresses())
        started.addCallbacks(self._handle_started, self._handle_failure)

    def _handle_started(self, _result: None) -> None:
        gc.collect()
        gc.freeze()
        gc.set_threshold(GC_THRESHOLD_YOUNG)
        _log.info("serving")

    def _handle_signal(self, number: int, _frame: Any) -> None:
        self._reactor.callFromThread(self._stop)

    def _stop(self) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        if self._node is None:
            self._reactor.stop()
            return
        _log.info("stopping")
        stopped = self._node.stop()
        stopped.addErrback(self._handle_failure)
        stopped.addCallback(lambda _: self._finish())

    def _finish(self) -> None:
        _log.info("stopped")
        if self._reactor.running:
            self._reactor.stop()

    def _handle_failure(self, reason: failure.Failure) -> None:
        _log.critical("failed", extra={"error": reason.getErrorMessage()})
        _log.debug(reason.getTraceback())
        self.exit_code = EXIT_FAILED
        if not self._is_stopping:
            self._reactor.stop()


def main() -> None:
    """Runs the daemon and exits with its exit code."""
    loaded = settings_module.load(sys.argv[1:], os.environ)
    if loaded.is_error():
        sys.stderr.write(f"{loaded.error}\n")
        sys.exit(settings_module.EXIT_INVALID_SETTINGS)
    sys.exit(Daemon(default_reactor, loaded.ok).run())


if __name__ == "__main__":
    main()
