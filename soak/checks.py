"""Checks what callers got and upstreams ran against the rules (RULES.md)."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator
import dataclasses
import enum

from review import standins
from soak import history
from soak import targets

GRACE_S = standins.GRACE_S
LATE_IN_GRACE = 5 / 6
"""Share of the grace period after which an upstream that still works on a
request excuses its end, if it was sent in the first half (RULES.md, LOST)."""

MAX_SENT_AFTER_STOP_S = 3.0
CUT_AFTER_GRACE_S = 1.0
LOSS_SLACK_S = float(standins.BOUNDS["loss_slack_s"])

GONE_SLACK_S = 0.5
"""Time after the end of a client's connection by which runs for it end."""

HELD_SLACK_S = 0.5
"""Time after the time-out of a route by which an answer is due (RULES.md)."""

TIME_MARGIN_S = 0.1
PROMISES = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


class Finding(enum.Enum):
    """A promise that was broken; the values begin with the rule's name."""

    OWN_END = "FAULT"
    EARLY_HANGUP = "FAULT, SIGHUP before any handler"
    OVERRUN = "FAULT, outlived the grace period"
    MEMORY = "FAULT, over its memory"
    NOT_READY = "RECOVER, not ready in time"
    NOT_SERVING = "RECOVER, not serving in time"
    LOST = "LOST"
    UNREAD = "LOST, closed late without an answer"
    BROKEN_OFF = "LOST, broken off"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    MIXED = "MIXED"
    UNASKED = "UNASKED"
    ROUTE = "ROUTE"
    CONFIG = "CONFIG"
    GONE = "GONE"
    HELD = "CONFIG, held past its time-out"
    OLD_VERSION = "CONFIG, older version"
    REGRESSED = "CONFIG, regressed"
    DRAIN = "DRAIN"


@dataclasses.dataclass
class Request:
    """One request of a client and what came of it.

    Attributes:
        answer: The answer, as far as it was read; `sent_s` is the time of
            the last byte that was sent.
        host: Number of the host that it was sent to.
        is_idempotent: Whether it may run more than once.
        timeout_s: Time-out of its route.
        path: Its path.
        body: Its body.
        started_s: Time of its first byte.
        answered_s: When the head of its answer had come, if it has.
        gave_up_s: When its client closed the connection, if it did so first.
        process: The process that took it, if only one could.
        is_behind: Whether it was sent behind another one on its connection.
        is_whole: Whether it was sent to its end.
        key: Key of a tenant that it carries, if any.
        caller: Service of the host that it was sent to.
        is_changed: Whether the body of the answer isn't the upstream's.
        read_bytes: Length of the body that was read.
    """

    answer: standins.Answer
    host: int
    is_idempotent: bool
    timeout_s: float
    path: str
    body: bytes = b""
    started_s: float = 0.0
    answered_s: float | None = None
    gave_up_s: float | None = None
    process: int | None = None
    is_behind: bool = False
    is_whole: bool = True
    key: str = standins.KEY
    caller: str = ""
    is_changed: bool = False
    read_bytes: int = 0

    @property
    def method(self) -> str:
        """Returns its method."""
        return "GET" if self.is_idempotent else "POST"

    @property
    def prefix(self) -> str:
        """Returns the prefix of its route."""
        return f"/{self.path.split('/')[1]}/"

    def is_done(self) -> bool:
        """Returns whether it was answered with success."""
        return self.answer.is_complete and self.answer.status == 200


def find_broken_promises(
    requests: Iterable[Request],
    runs: Iterable[targets.Run],
    past: history.History,
) -> Iterator[tuple[Finding, str]]:
    """Yields each broken promise and what shows it.

    Args:
        requests: All requests of clients and of upstreams.
        runs: All runs of upstreams.
        past: What was done to the fleet.
    """
    runs_by_id = group(runs)
    for request in requests:
        own_runs = runs_by_id.pop(request.answer.attempt_id, [])
        for finding in _check(request, own_runs, past):
            hosts = {request.host} | {run.host for run in own_runs}
            waits = past.describe_waits(
                hosts, request.started_s, request.answer.ended_s
            )
            yield finding, describe(request, own_runs) + waits
    for attempt_id in runs_by_id:
        yield Finding.UNASKED, f"{attempt_id} ran and no client sent it"


def group(
    runs: Iterable[targets.Run],
) -> dict[str, list[targets.Run]]:
    """Returns runs by the id of their request."""
    runs_by_id = collections.defaultdict(list)
    for run in runs:
        runs_by_id[run.attempt_id].append(run)
    return runs_by_id


def describe(request: Request, runs: list[targets.Run]) -> str:
    """Returns what came of a request, in one line."""
    answer = request.answer
    ran = [
        f"{run.target.id}@{run.host}:{run.at_s:.3f}-{run.ended_s or 0:.3f}"
        for run in runs
    ]
    return (
        f"{answer.attempt_id} host={request.host} {request.path}"
        f" started={request.started_s:.3f}"
        f" sent={answer.sent_s:.3f} ended={answer.ended_s:.3f}"
        f" status={answer.status} runs={ran}"
        f" read={request.read_bytes}/{answer.expected_bytes}"
        f" {answer.detail}"
    )


def _check(
    request: Request, runs: list[targets.Run], past: history.History
) -> Iterator[Finding]:
    answer = request.answer
    if not request.is_idempotent:
        if len(runs) > 1:
            yield Finding.TWICE
        if runs and answer.status in PROMISES:
            yield Finding.REFUSED
    if any(_is_unasked(request, run) for run in runs):
        yield Finding.UNASKED
    if _is_mixed(request, runs):
        yield Finding.MIXED
    loss = _find_loss(request, runs, past)
    if loss is not None:
        yield loss
    if any(_is_late_at_target(request, run, past) for run in runs):
        yield Finding.DRAIN
    if any(_is_run_for_nobody(request, run, past) for run in runs):
        yield Finding.GONE
    if _is_held(request, past):
        yield Finding.HELD


def _is_unasked(request: Request, run: targets.Run) -> bool:
    tenant = standins.TENANT if request.key else ""
    return (
        run.body != request.body
        or run.head.start.split(" ")[:2] != [request.method, request.path]
        or run.head.get("x-cyclamendale-caller-service") != request.caller
        or run.head.get("x-cyclamendale-tenant-id") != tenant
        or bool(run.head.get("x-cyclamendale-credential"))
    )


def _is_mixed(request: Request, runs: list[targets.Run]) -> bool:
    answer = request.answer
    if answer.head is None or not answer.is_complete:
        return False
    stamp = answer.head.get("x-cyclamendale-server-stamp")
    if not stamp:
        return answer.status == 200
    stamps = {
        f"{run.target.id}.{run.attempt_id}": run.status
        for run in runs
        if run.status
    }
    return (
        stamps.get(stamp) != answer.status
        or answer.status == 200
        and request.is_changed
    )


def _find_loss(
    request: Request, runs: list[targets.Run], past: history.History
) -> Finding | None:
    answer = request.answer
    is_own = answer.head is None or not answer.head.get(
        "x-cyclamendale-server-stamp"
    )
    if request.is_done() or answer.is_complete and not is_own:
        return None
    if request.gave_up_s is not None:
        return None
    if find_excuse(request, runs, past):
        return None
    if not answer.is_complete:
        if runs:
            return Finding.LOST
        # The end is seen later than it was while the soak itself hangs.
        took_s = answer.ended_s - answer.sent_s
        took_s -= past.late_between_s(answer.sent_s, answer.ended_s)
        is_late = took_s > LOSS_SLACK_S + TIME_MARGIN_S
        if request.is_whole and not request.is_behind and is_late:
            return Finding.UNREAD
        return None
    is_at_work = any(
        run.is_dropped or run.ended_s is None or run.ended_s > answer.ended_s
        for run in runs
    )
    is_stopped = any(
        0.0 <= answer.ended_s - stop_s <= GRACE_S + CUT_AFTER_GRACE_S
        for stop_s in past.stops_s[request.host]
    )
    if runs and answer.status in (502, 504) or is_at_work and is_stopped:
        return Finding.BROKEN_OFF
    return None


def find_excuse(
    request: Request, runs: list[targets.Run], past: history.History
) -> str:
    """Returns what excuses that a request wasn't answered; empty if nothing."""
    answer = request.answer
    if answer.ended_s - request.started_s > request.timeout_s - TIME_MARGIN_S:
        return "time-out"
    from_s = request.started_s - history.CONTACT_S
    if any(
        past.is_impaired(host, from_s, answer.ended_s)
        for host in {request.host} | {run.host for run in runs}
    ):
        return "impairment"
    if runs:
        last = max(runs, key=lambda run: run.at_s)
        if last.is_broken_off or answer.is_complete and last.status >= 500:
            return "upstream"
    last_end_s = max((run.ended_s or float("inf") for run in runs), default=0.0)
    is_late_in_grace = any(
        last_end_s - stop_s > LATE_IN_GRACE * GRACE_S
        and 0.0 <= answer.ended_s - stop_s <= GRACE_S + CUT_AFTER_GRACE_S
        and answer.sent_s - stop_s <= MAX_SENT_AFTER_STOP_S
        for stop_s in past.stops_s[request.host]
    )
    return "grace-period" if is_late_in_grace else ""


def _is_run_for_nobody(
    request: Request, run: targets.Run, past: history.History
) -> bool:
    """Returns whether a run began, or went on, long after its client left."""
    if request.gave_up_s is None:
        return False
    until_s = request.gave_up_s + GONE_SLACK_S + TIME_MARGIN_S
    ended_s = run.ended_s or float("inf")
    return (
        (run.arrived_s > until_s or request.is_idempotent and ended_s > until_s)
        and not run.is_broken_off
        and all(
            past.is_in_touch(host, at_s)
            for host in (request.host, run.host)
            for at_s in (request.started_s, run.arrived_s, until_s)
        )
    )


def _is_held(request: Request, past: history.History) -> bool:
    """Returns whether a request had no answer soon after its time-out."""
    # A request that is still being sent isn't kept waiting.
    due_s = request.answer.sent_s + request.timeout_s + HELD_SLACK_S
    answered_s = request.answered_s or request.answer.ended_s
    return (
        answered_s
        > due_s + TIME_MARGIN_S + past.late_between_s(due_s, answered_s)
        and request.is_whole
        and not request.is_behind
        and past.is_in_touch(request.host, request.started_s)
        and past.is_in_touch(request.host, due_s)
        and not past.is_impaired(request.host, request.started_s, due_s)
    )


def _is_late_at_target(
    request: Request, run: targets.Run, past: history.History
) -> bool:
    left_s = run.target.left_s
    return (
        left_s is not None
        and run.arrived_s > left_s + standins.DRAIN_S
        and past.is_in_touch(request.host, run.arrived_s)
        and past.is_in_touch(run.host, run.arrived_s)
        and (request.host == run.host or past.is_store_stable(run.arrived_s))
    )
