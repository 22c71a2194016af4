"""Requests, runs and histories of a soak, made up for tests of its checks."""

from __future__ import annotations

from review import standins
from soak import checks
from soak import history
from soak import targets

TIMEOUT_S = 5.0
PATH = "/wash-write/r1/2"
RUN_HOST = 1


def request(status=200, is_complete=True, sent_s=1.0, ended_s=1.5, **fields):
    answer = standins.Answer("r1")
    answer.status, answer.is_complete = status, is_complete
    answer.sent_s, answer.ended_s = sent_s, ended_s
    lines = ["HTTP/1.1"]
    stamp = fields.pop("stamp", "i-1.r1" if status == 200 else "")
    if stamp:
        lines.append(f"X-Cyclamendale-Server-Stamp: {stamp}")
    if status:
        answer.head = standins.Head(lines)
    values = {
        "is_idempotent": False,
        "path": PATH,
        "started_s": sent_s,
        "caller": "pickup",
        "process": 7,
    } | fields
    return checks.Request(answer, 0, timeout_s=TIMEOUT_S, **values)


def run(at_s=1.1, ended_s=1.4, **fields):
    """Returns a run of request r1 at host 1, unlike others in some fields."""
    values = {
        "service": "wash",
        "method": "POST",
        "path": PATH,
        "body": b"",
        "left_s": None,
        "tenant": standins.TENANT,
        "caller": "pickup",
        "status": 200,
        "is_broken_off": False,
        "is_dropped": False,
    } | fields
    target = targets.Target(
        None, "i-1", RUN_HOST, values["service"], None, 0.1, None
    )
    target.left_s = values["left_s"]
    head = standins.Head(
        [
            f"{values['method']} {values['path']} HTTP/1.1",
            "X-Cyclamendale-Attempt-Id: r1",
            f"X-Cyclamendale-Tenant-Id: {values['tenant']}",
            f"X-Cyclamendale-Caller-Service: {values['caller']}",
        ]
    )
    made = targets.Run(target, head, values["body"], at_s, at_s)
    made.ended_s = ended_s
    made.status = 0 if ended_s is None else values["status"]
    made.is_broken_off = values["is_broken_off"]
    made.is_dropped = values["is_dropped"]
    return made


def past(
    stops_s=(),
    hangups_s=(),
    starts_s=(),
    impairments=(),
    versions=(),
    late_s=(),
):
    made = history.History()
    made.stops_s[0] += stops_s
    made.hangups_s[0] += hangups_s
    made.starts_s[0] += starts_s
    made.late_s += late_s
    for hosts, from_s, until_s in impairments:
        hosts = None if hosts is None else frozenset(hosts)
        made.impairments.append(history.Impairment(hosts, from_s, until_s))
    for number, published_s, services, *keys in versions:
        made.versions.append(
            history.Version(
                number,
                published_s,
                services,
                frozenset([standins.KEY, *keys]),
            )
        )
    return made


def unanswered(sent_s=1.0, ended_s=1.5, **fields):
    return request(0, False, sent_s, ended_s, **fields)


def given_up(at_s, is_idempotent=True):
    return unanswered(ended_s=at_s, gave_up_s=at_s, is_idempotent=is_idempotent)
