"""Checks the ends of processes against the rules (RULES.md, FAULT)."""

from __future__ import annotations

from collections.abc import Sequence
import dataclasses
import signal

from soak import checks
from soak import history
from soak import processes

LAST_SIGNALS = 5
"""Signals that the text of a finding names."""

OWN_END_SLACK_S = 1.0
"""Time after an impairment in which an end isn't the process's own."""


@dataclasses.dataclass(frozen=True)
class End:
    """The end of a process.

    Attributes:
        host: Number of its host.
        code: Its exit code, or the negative number of a signal.
        sent: The signals that were sent to it.
        started_s: When it was started.
        ended_s: When it ended.
    """

    host: int
    code: int
    sent: Sequence[processes.Sent]
    started_s: float
    ended_s: float


def find_own_end(
    end: End, past: history.History
) -> tuple[checks.Finding, str] | None:
    """Returns what is wrong with the end of a process, if anything."""
    text = f"ended with {end.code} at {end.ended_s:.3f}"
    numbers = {each.number for each in end.sent}
    if end.code == -signal.SIGHUP and signal.SIGHUP in numbers:
        last = next(e for e in reversed(end.sent) if e.number == signal.SIGHUP)
        text += (
            f", SIGHUP {(last.at_s - end.started_s) * 1000:.1f} ms after its"
            " start"
        )
        for term in end.sent:
            if term.number == signal.SIGTERM:
                text += f", {last.at_s - term.at_s:.3f} s after SIGTERM"
        if not any(each.is_handled for each in end.sent):
            return checks.Finding.EARLY_HANGUP, text
        return checks.Finding.OWN_END, text
    if end.code == -signal.SIGKILL and signal.SIGKILL in numbers:
        return None
    terms = [each for each in end.sent if each.number == signal.SIGTERM]
    if terms and end.code == 0:
        return None
    if terms and end.code == -signal.SIGTERM and not terms[0].is_handled:
        return None
    # An impairment before the start of a process didn't touch the process.
    from_s = max(end.started_s, end.ended_s - OWN_END_SLACK_S)
    if past.is_impaired(end.host, from_s, end.ended_s):
        return None
    sent_text = ", ".join(
        f"{each.number.name} {each.at_s:.3f}"
        for each in end.sent[-LAST_SIGNALS:]
    )
    return (
        checks.Finding.OWN_END,
        f"{text}, last signals sent: {sent_text or 'none'}",
    )
