"""Names the cause of a request's failure from the lines about it."""

from __future__ import annotations

from collections.abc import Callable
import itertools

import msgspec

from cyclamendale import refusals
from cyclamendale.diagnosis import findings
from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives
from cyclamendale.diagnosis import request_case

MAX_NAMED = 5
"""Number of hosts that a sentence names."""


_FAILURE_TEXTS = {
    "not-connected": "it took no connection",
    "broken": "its connection ended during the response",
    "garbled": "its response was not whole or not its own",
    "too-large": "its response was too large",
}

_REASON_TEXTS = {
    refusals.RefusalReason.KEY_MISSING.value: "it had no key",
    refusals.RefusalReason.KEY_UNKNOWN.value: "its key is not in force",
    refusals.RefusalReason.KEY_WITHDRAWN.value: "its key is withdrawn",
    refusals.RefusalReason.ROUTE_UNKNOWN.value: "its route is not in force",
    refusals.RefusalReason.DEPTH.value: "its chain of calls is too deep",
    refusals.RefusalReason.TOO_LARGE.value: "it was too large",
    refusals.RefusalReason.BAD_REQUEST.value: "it was malformed",
    refusals.RefusalReason.RETRY_BUDGET.value: "too many were repeated",
    refusals.RefusalReason.NOT_READY.value: (
        "the node had no configuration yet"
    ),
}


def find_cause(case: request_case.Case) -> findings.Cause:
    """Returns the cause of what became of a request."""
    if case.final is None:
        return _explain_without_answer(case)
    cause = _explain_final(case, case.final)
    execution = case.final.text("execution")
    if execution == refusals.Execution.NOT_RUN.value:
        sentence = f"{cause.sentence}; it did not run."
    elif execution:
        sentence = f"{cause.sentence}; it may have run."
    else:
        sentence = f"{cause.sentence}."
    return msgspec.structs.replace(cause, sentence=sentence)


def _explain_final(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    if final.event == log_lines.Event.CALLER_LEFT:
        sentence = f"Its caller left {final.node} before the response"
        return findings.Cause(findings.CauseKind.CALLER_LEFT, sentence)
    if final.event == log_lines.Event.ANSWERED_WITH_FAILURE:
        return findings.Cause(
            findings.CauseKind.UPSTREAM_FAILED,
            f"Upstream {final.text('upstream')} answered with status "
            f"{final.text('status')} after "
            f"{findings.seconds(case.begin_s, final.time_s)}, and {final.node} "
            "passed it on",
        )
    explain = _EXPLANATIONS.get(final.text("reason"), _explain_refused)
    return explain(case, final)


def _explain_refused(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    reason = final.text("reason")
    version = final.text("configuration")
    in_force = f" (configuration {version} in force)" if version else ""
    why = _REASON_TEXTS.get(reason, reason)
    sentence = f"Refused by {final.node}: {why}{in_force}"
    return findings.Cause(findings.CauseKind.REFUSED, sentence)


def _explain_quota(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    customer = final.text("customer")
    known = _quota_line(case, customer, final.time_s)
    begin = f"Refused by quota at {final.node}: "
    if known is None:
        silent = tuple(
            line
            for line in case.view.between(
                log_lines.Event.QUOTA_HOME_SILENT,
                case.begin_s - request_case.MARGIN_S,
                final.time_s,
            )
            if line.node == final.node
        )
        why = "did not answer" if silent else "gave no permit"
        sentence = f"{begin}the home of customer {customer} {why}"
        return findings.Cause(findings.CauseKind.QUOTA, sentence, silent)
    level = known.number("quota_level") or 0.0
    rate = f"its rate of {known.text('rate_per_s')} per second"
    reachable = known.number("reachable")
    if reachable is not None and reachable < 1:
        why = f"only {reachable:.0%} of its quota can be reached"
    elif level < 0:
        why = f"it is over {rate} (level {level:g})"
    else:
        why = f"it is within {rate}, and more came at once than its part"
    evidence = () if known in case.lines else (known,)
    sentence = f"{begin}customer {customer}, {why}"
    return findings.Cause(findings.CauseKind.QUOTA, sentence, evidence)


def _quota_line(
    case: request_case.Case, customer: str, at_s: float
) -> log_lines.LogLine | None:
    """Returns what a home of the quota knew, at best about this request."""
    own = case.last(log_lines.Event.OVER_QUOTA)
    if own is not None and own.number("quota_level") is not None:
        return own
    return min(
        case.view.quota_lines(
            customer, at_s - request_case.MARGIN_S, at_s + request_case.MARGIN_S
        ),
        key=lambda line: abs(line.time_s - at_s),
        default=None,
    )


def _explain_shed(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    shed = case.last(log_lines.Event.SHED)
    sentence = f"Shed at its first node, {final.node}"
    if shed is not None:
        share = shed.number("refused_share") or 0.0
        sentence += (
            f": service {shed.text('service')} has no room (pressure "
            f"{shed.text('pressure')}, {share:.0%} of rank "
            f"{shed.text('rank')} is refused)"
        )
    return findings.Cause(findings.CauseKind.SHED, sentence)


def _explain_no_room(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    if case.sent is None:
        sentence = f"Refused by {final.node}, which had no room for it"
        return findings.Cause(findings.CauseKind.SHED, sentence)
    host = case.host_text(case.sent)
    sentence = f"Refused at {host}, whose queue could not finish it in time"
    return findings.Cause(findings.CauseKind.SHED, sentence)


def _explain_no_target(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    closed = case.view.closed_hosts(final.time_s)
    route = final.text("route")
    sentence = f"{final.node} knew no host that took requests of route {route}"
    if case.sent is not None:
        sentence += f", last tried {case.host_text(case.sent)}"
    named = dict(itertools.islice(closed.items(), MAX_NAMED))
    if named:
        rest = len(closed) - len(named)
        more = f" and {rest} more" if rest else ""
        states = ", ".join(
            f"{node} {host.state}" for node, host in named.items()
        )
        sentence += f" (closed then: {states}{more})"
    evidence = tuple(host.line for host in named.values())
    return findings.Cause(findings.CauseKind.NO_TARGET, sentence, evidence)


def _explain_leaving(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    life = case.view.life_of(final)
    if life is not None and life.stop_s is not None:
        since = findings.seconds(life.stop_s, final.time_s)
        sentence = f"Refused by {final.node}, which was stopping since {since}"
        return findings.Cause(
            findings.CauseKind.LEAVING,
            sentence,
            findings.end_lines(case, [life]),
        )
    node = case.node_of(case.sent)
    stopping = node and case.view.stopping_life(node, final.time_s)
    sentence = f"Refused at {case.host_text(case.sent)}, which was leaving"
    evidence = findings.end_lines(case, [stopping]) if stopping else ()
    return findings.Cause(findings.CauseKind.LEAVING, sentence, evidence)


def _explain_upstream(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    failed = case.last(
        log_lines.Event.UPSTREAM_FAILED, log_lines.Event.UPSTREAM_REFUSED
    )
    if failed is None:
        sentence = (
            f"The upstream of {case.host_text(case.sent)} failed or refused"
        )
        return findings.Cause(findings.CauseKind.UPSTREAM_FAILED, sentence)
    failure = failed.text("failure")
    what = _FAILURE_TEXTS.get(failure, failure)
    if failed.event == log_lines.Event.UPSTREAM_REFUSED:
        what = f"it refused with status {failed.text('status')}"
    sentence = f"Upstream {failed.text('upstream')} of {failed.node}: {what}"
    return findings.Cause(findings.CauseKind.UPSTREAM_FAILED, sentence)


def _explain_lost(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    if case.last(log_lines.Event.UPSTREAM_FAILED) is not None:
        return _explain_upstream(case, final)
    life = case.view.life_of(final)
    gave_up = case.last(log_lines.Event.GAVE_UP)
    if gave_up is None and life is not None and life.stop_s is not None:
        return _explain_end_of_grace(case, final, life)
    ran = case.ran or case.sent
    where = f"Lost at {case.host_text(ran)}"
    if ran is not None and ran.text("after_status"):
        sentence = (
            f"{where}: its upstream answered with status "
            f"{ran.text('after_status')}, and no other host ran it"
        )
        return findings.Cause(findings.CauseKind.UPSTREAM_FAILED, sentence)
    for life in process_lives.ended_within(
        case.view.lives,
        case.begin_s,
        final.time_s + request_case.CLOCK_DIFFERENCE_S,
    ):
        if life.node == case.node_of(ran):
            sentence = f"{where}: {findings.describe_end(life, final.time_s)}"
            evidence = findings.end_lines(case, [life])
            return findings.Cause(
                findings.CauseKind.PROCESS_ENDED, sentence, evidence
            )
    silent = findings.silent_links(
        case, final, ran.text("host") if ran else None
    )
    if silent:
        sentence = f"{where}: the host or the way to it was silent"
        return findings.Cause(findings.CauseKind.LOST_AT_HOST, sentence, silent)
    sentence = f"{where}: the connection to it ended, and no log says why"
    return findings.Cause(findings.CauseKind.LOST_AT_HOST, sentence)


def _explain_end_of_grace(
    case: request_case.Case,
    final: log_lines.LogLine,
    life: process_lives.Life,
) -> findings.Cause:
    assert life.stop_s is not None
    since = findings.seconds(life.stop_s, final.time_s)
    sentence = (
        f"{final.node}, which was stopping since {since}, gave it up at the "
        "end of its grace period"
    )
    silent = case.last(log_lines.Event.UPSTREAM_SILENT)
    if silent is not None:
        sentence += (
            f"; upstream {silent.text('upstream')} of {silent.node} had it"
        )
    evidence = findings.end_lines(case, [life])
    return findings.Cause(findings.CauseKind.PROCESS_ENDED, sentence, evidence)


def _explain_deadline(
    case: request_case.Case, final: log_lines.LogLine
) -> findings.Cause:
    took = findings.seconds(case.begin_s, final.time_s)
    begin = f"Its time was over after {took}"
    silent = case.last(log_lines.Event.UPSTREAM_SILENT)
    if silent is not None:
        sentence = (
            f"{begin}: upstream {silent.text('upstream')} of {silent.node} "
            "gave no response"
        )
        return findings.Cause(findings.CauseKind.DEADLINE, sentence)
    links = findings.silent_links(case, final, None)
    if links:
        hosts = sorted({case.host_text(line, "peer") for line in links})
        sentence = f"{begin}: no word came from {', '.join(hosts[:MAX_NAMED])}"
        return findings.Cause(findings.CauseKind.LOST_AT_HOST, sentence, links)
    killed = findings.killed_lives(case, case.begin_s, final.time_s)
    if killed:
        end = findings.describe_end(killed[0], final.time_s)
        sentence = f"{begin}, and no host logged a failure; meanwhile {end}"
        evidence = findings.end_lines(case, killed[:1])
        return findings.Cause(
            findings.CauseKind.PROCESS_ENDED, sentence, evidence
        )
    sentence = f"{begin}, and no host logged a failure: probably it was at work"
    return findings.Cause(findings.CauseKind.DEADLINE, sentence)


def _explain_without_answer(case: request_case.Case) -> findings.Cause:
    """Explains a request about which no line says what its caller got."""
    forwarded = case.sent
    lives = [
        life
        for life in findings.killed_lives(
            case, case.begin_s, case.end_s + request_case.MAX_REQUEST_S
        )
        if forwarded is None or life is case.view.life_of(forwarded)
    ]
    if lives:
        ends = "; ".join(
            findings.describe_end(life, case.end_s)
            for life in lives[:MAX_NAMED]
        )
        sentence = f"No node logged what its caller got: {ends}."
        evidence = findings.end_lines(case, lives[:MAX_NAMED])
        return findings.Cause(
            findings.CauseKind.PROCESS_ENDED, sentence, evidence
        )
    if forwarded is not None:
        why = forwarded.text("reason") or forwarded.text("after_status")
        sentence = (
            f"No failure is logged after {forwarded.node} sent it elsewhere "
            f"({why} at {case.host_text(forwarded)}): it was answered, or is "
            "still in work."
        )
        return findings.Cause(findings.CauseKind.NO_FAILURE, sentence)
    sentence = (
        f"Only {case.lines[-1].node} logged it; what its caller got is in no "
        "log that was read."
    )
    return findings.Cause(findings.CauseKind.UNKNOWN, sentence)


_EXPLANATIONS: dict[
    str, Callable[[request_case.Case, log_lines.LogLine], findings.Cause]
] = {
    refusals.RefusalReason.QUOTA.value: _explain_quota,
    refusals.RefusalReason.QUOTA_UNAVAILABLE.value: _explain_quota,
    refusals.RefusalReason.SHED.value: _explain_shed,
    refusals.RefusalReason.QUEUE_FULL.value: _explain_no_room,
    refusals.RefusalReason.NO_TARGET.value: _explain_no_target,
    refusals.RefusalReason.LEAVING.value: _explain_leaving,
    refusals.RefusalReason.UPSTREAM_FAILED.value: _explain_upstream,
    refusals.RefusalReason.UPSTREAM_REFUSED.value: _explain_upstream,
    refusals.RefusalReason.LOST.value: _explain_lost,
    refusals.RefusalReason.DEADLINE.value: _explain_deadline,
}
"""Explanations by reasons of refusals; for others the reason is the cause."""
