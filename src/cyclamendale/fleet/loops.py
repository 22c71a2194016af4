"""Runs the loops of a node until it stops."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet import defer
from twisted.python import failure

from cyclamendale import clocks
from cyclamendale.store import load_limit

RESTART_DELAY_S = 1.0
"""Delay until a loop that has failed runs again."""


def start(
    clock: clocks.Clock,
    run: Callable[[], Coroutine[Any, Any, None]],
    name: str,
    log: Any,
) -> defer.Deferred[None]:
    """Runs a loop, again after a failure; cancel the result to stop it.

    Args:
        clock: Clock of the delay after a failure.
        run: Makes the loop.
        name: Name of the loop in the log.
        log: Log that failures are written to.
    """
    loop = defer.Deferred.fromCoroutine(_keep_running(clock, run, name, log))
    loop.addErrback(lambda cancelled: cancelled.trap(defer.CancelledError))
    return loop


async def _keep_running(
    clock: clocks.Clock,
    run: Callable[[], Coroutine[Any, Any, None]],
    name: str,
    log: Any,
) -> None:
    while True:
        try:
            await run()
        except defer.CancelledError:
            raise
        except Exception:
            log.defect(name, failure.Failure())
        await load_limit.sleep(clock, RESTART_DELAY_S)
