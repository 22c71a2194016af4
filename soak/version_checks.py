"""Checks that requests are handled as the configuration in force allows."""

from __future__ import annotations

import collections
from collections.abc import Iterable, Iterator

from review import standins
from soak import checks
from soak import history
from soak import targets

APPLY_S = float(standins.BOUNDS["config_apply_s"])
ROLLBACK_SLACK_S = float(standins.BOUNDS["rollback_slack_s"])
SLOWED_FACTOR = 8
"""Factor of the rollback slack of a host that is slowed (RULES.md)."""

NOT_ALLOWED = (401, 403, 404)


def find_broken_promises(
    requests: Iterable[checks.Request],
    runs: Iterable[targets.Run],
    past: history.History,
) -> Iterator[tuple[checks.Finding, str]]:
    """Yields requests that weren't handled as a version in force allows."""
    runs_by_id = checks.group(runs)
    by_process = collections.defaultdict(list)
    for request in requests:
        own_runs = runs_by_id.get(request.answer.attempt_id, [])
        for finding in _check(request, own_runs, past):
            yield finding, checks.describe(request, own_runs)
        if request.process is not None:
            by_process[request.process].append((request, own_runs))
    for handled in by_process.values():
        yield from _find_regressions(handled, past)


def _check(
    request: checks.Request, runs: list[targets.Run], past: history.History
) -> Iterator[checks.Finding]:
    answer = request.answer
    if runs and not _allowing(request, runs, past):
        yield checks.Finding.ROUTE
    if answer.status in NOT_ALLOWED and all(
        _allows(version, request)
        for version in past.versions_until(answer.ended_s)
    ):
        yield checks.Finding.CONFIG
    if _is_handled_as_older(request, runs, past):
        yield checks.Finding.OLD_VERSION


def _allowing(
    request: checks.Request, runs: list[targets.Run], past: history.History
) -> list[history.Version]:
    """Returns the versions that a request was handled by; all if unknown."""
    versions = past.versions_until(request.answer.ended_s)
    if runs:
        services = {run.service for run in runs}
        return [
            version
            for version in versions
            if version.services.get(request.prefix) in services
            and _allows(version, request)
        ]
    if request.answer.status in NOT_ALLOWED:
        return [each for each in versions if not _allows(each, request)]
    return versions


def _allows(version: history.Version, request: checks.Request) -> bool:
    """Returns whether a version has the route and the key of a request."""
    has_key = not request.key or request.key in version.keys
    has_route = request.prefix in version.services
    return {401: has_key, 404: has_route}.get(
        request.answer.status, has_key and has_route
    )


def _is_handled_as_older(
    request: checks.Request, runs: list[targets.Run], past: history.History
) -> bool:
    sent_s = request.started_s
    confirmed = past.versions_until(sent_s - APPLY_S)
    allowing = _allowing(request, runs, past)
    return bool(
        confirmed
        and allowing
        and allowing[-1].number < confirmed[-1].number
        and past.is_in_touch(request.host, sent_s)
        and past.is_store_stable(sent_s)
    )


def _find_regressions(
    handled: list[tuple[checks.Request, list[targets.Run]]],
    past: history.History,
) -> Iterator[tuple[checks.Finding, str]]:
    """Yields requests that one process handled as an older version allows."""
    newest_seen = 0
    seen: list[tuple[float, int]] = []
    for request, runs in sorted(handled, key=lambda each: each[0].started_s):
        allowing = _allowing(request, runs, past)
        slack_s = ROLLBACK_SLACK_S
        from_s = request.started_s - history.CONTACT_S
        if past.is_impaired(request.host, from_s, request.started_s):
            slack_s *= SLOWED_FACTOR
        floor = max(
            (
                number
                for at_s, number in seen
                if request.started_s - at_s > slack_s
            ),
            default=0,
        )
        if allowing and allowing[-1].number < floor:
            yield (
                checks.Finding.REGRESSED,
                f"{checks.describe(request, runs)}, which version {floor}"
                " doesn't allow",
            )
        if runs and allowing and allowing[0].number > newest_seen:
            newest_seen = allowing[0].number
            seen.append((max(run.at_s for run in runs), newest_seen))
