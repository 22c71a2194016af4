"""Lines of logs, as nodes write them."""

from __future__ import annotations

import json
import pathlib

from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import request_trace

REQUEST = "77aa01be"
BEGIN_S = 1_796_600_000.0
"""Time of the samples' zero."""

PIDS = {"a-1": 11, "a-2": 12, "b-3": 13}
ADDRESSES = {node: f"10.0.0.{pid}:7000" for node, pid in PIDS.items()}


def raw(time_s, node, event, **fields):
    """Returns a line as a node writes it, at a time since zero."""
    head = {
        "time": round(BEGIN_S + time_s, 3),
        "level": "INFO",
        "node": node,
        "pid": fields.pop("pid", PIDS.get(node, 0)),
        "event": event,
    }
    return json.dumps(head | fields, separators=(",", ":")) + "\n"


def line(time_s, node, event, log="", **fields):
    """Returns a decoded line; it is in the log of its node."""
    data = raw(time_s, node, event, **fields).encode()
    return log_lines.decode(data, log or f"{node}.log")


def about(time_s, node, event, **fields):
    """Returns a decoded line about the request."""
    return line(time_s, node, event, request=REQUEST, **fields)


def refused(time_s, node, reason, execution="not-run", **fields):
    """Returns the line about the refusal of the request."""
    return about(
        time_s,
        node,
        "refused",
        reason=reason,
        execution=execution,
        route="wash-read",
        customer="bahu773",
        configuration=4,
        **{"age_ms": 100.0, **fields},
    )


def started(node, time_s=-100.0, **fields):
    """Returns the line about the start of a node."""
    return line(
        time_s,
        node,
        "start",
        address=ADDRESSES[node],
        service="wash",
        failure_domain="north",
        **fields,
    )


def fleet():
    """Returns the lines about the starts of all nodes."""
    return [started(node) for node in PIDS]


def trace(lines):
    """Returns the trace of the request."""
    tracer = request_trace.RequestTracer(REQUEST)
    tracer.add_lines(lines)
    return tracer.trace()


def write_log(folder, name, *lines):
    """Writes a log of raw lines; returns its path."""
    path = pathlib.Path(folder) / name
    path.write_text("".join(lines))
    return path
