"""Checks what callers got against what upstreams ran."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import enum

from review import standins

GRACE_S = standins.GRACE_S
LATE_IN_GRACE = 5 / 6
"""Share of the grace period after which an upstream that still works on a
request excuses its end, if it was sent in the first half (RULES.md, LOST)."""

MAX_SENT_AFTER_STOP_S = 3.0
TIME_MARGIN_S = 0.1


class Finding(enum.Enum):
    """A promise that was broken; the values are the names of the rules."""

    OWN_END = "FAULT"
    LOST = "LOST"
    BROKEN_OFF = "LOST, broken off"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    MIXED = "MIXED"
    CONFIG = "CONFIG"


@dataclasses.dataclass
class Request:
    """One request of a client and what came of it.

    Attributes:
        answer: The answer, as far as it was read.
        host: Number of the host that it was sent to.
        is_idempotent: Whether it may run more than once.
        expected: Whole body of a success.
        received: Body that was read.
        timeout_s: Time-out of its route.
    """

    answer: standins.Answer
    host: int
    is_idempotent: bool
    expected: bytes
    timeout_s: float
    received: bytes = b""


def find_broken_promises(
    requests: Iterable[Request],
    runs: Iterable[standins.Run],
    stops_s: dict[int, list[float]],
) -> Iterator[tuple[Finding, str]]:
    """Yields each broken promise and what shows it.

    Args:
        requests: All requests of clients.
        runs: All runs of upstreams, which are sound.
        stops_s: Times of SIGTERM, by host.
    """
    runs_by_id = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run.attempt_id].append(run)
    for request in requests:
        own_runs = runs_by_id[request.answer.attempt_id]
        for finding in _check(request, own_runs, stops_s[request.host]):
            answer = request.answer
            yield (
                finding,
                f"{answer.attempt_id} host={request.host}"
                f" sent={answer.sent_s:.3f} ended={answer.ended_s:.3f}"
                f" status={answer.status} runs={len(own_runs)}"
                f" read={len(request.received)}/{answer.expected_bytes}"
                f" {answer.detail}",
            )


def _check(
    request: Request, runs: list[standins.Run], stops_s: list[float]
) -> Iterator[Finding]:
    answer = request.answer
    if not request.is_idempotent and len(runs) > 1:
        yield Finding.TWICE
    if runs and not request.is_idempotent and answer.status in (429, 503):
        yield Finding.REFUSED
    if answer.is_complete and answer.status == 200:
        if request.received != request.expected:
            yield Finding.MIXED
    elif answer.status == 404:
        yield Finding.CONFIG
    elif runs and not _is_excused(request, runs, stops_s):
        if not answer.is_complete:
            yield Finding.LOST
        elif answer.status in (502, 504):
            yield Finding.BROKEN_OFF


def _is_excused(
    request: Request, runs: list[standins.Run], stops_s: list[float]
) -> bool:
    answer = request.answer
    if answer.ended_s - answer.sent_s > request.timeout_s - TIME_MARGIN_S:
        return True
    last_end_s = max(run.ended_s or float("inf") for run in runs)
    return any(
        last_end_s - stop_s > LATE_IN_GRACE * GRACE_S
        and 0.0 <= answer.ended_s - stop_s <= GRACE_S + 1.0
        and answer.sent_s - stop_s <= MAX_SENT_AFTER_STOP_S
        for stop_s in stops_s
    )
