"""Commands that read the nodes' logs; they ask no node."""

from __future__ import annotations

from collections.abc import Generator
import pathlib
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from expression import effect
from expression import Error
from expression import Ok
from expression import Result

from cyclamendale.cli import arguments
from cyclamendale.cli import base
from cyclamendale.cli import faults
from cyclamendale.cli import log_faults
from cyclamendale.cli import log_reports
from cyclamendale.cli import reports
from cyclamendale.diagnosis import log_blocks
from cyclamendale.diagnosis import log_files
from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives
from cyclamendale.diagnosis import request_trace

_LOGS_ARGUMENT = argument(
    "logs", "Logs of all nodes: files or folders of JSON lines.", multiple=True
)
_LOGS_HELP = (
    "Reads whole folders, and names every log that it can't read. Give the "
    "logs of all nodes: the cause is often in that of another host.\n"
)


class TraceCommand(base.OperatorCommand):
    """`trace`: follows a request over the logs of all nodes to its cause."""

    name = "trace"
    description = "Follows one request over all logs to the cause."
    help = (
        _LOGS_HELP + "Exit codes: 0 done, 2 no log can be read, 7 no line is "
        "about the request."
    )
    arguments: ClassVar[list[Argument]] = [
        argument("request", "Id of the request, as its caller sent it."),
        _LOGS_ARGUMENT,
    ]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        request = yield from arguments.to_short_text(
            "request", self.argument("request")
        )
        files = log_files.LogFiles(map(pathlib.Path, self.argument("logs")))
        tracer = request_trace.RequestTracer(request)
        tracer.add_lines(files.lines(tracer.selection))
        period = tracer.period()
        if period is not None:
            moments = files.lines_between(tracer.moment_selection, *period)
            tracer.add_lines(moments)
        trace = tracer.trace()
        yield from _check_read(files)
        unread = tuple(files.unread)
        if trace.cause is None:
            yield from Error(
                log_faults.NotLogged(
                    request,
                    files.read_count,
                    unread,
                    tuple(map(log_reports.make_process, trace.ended)),
                )
            )
        return log_reports.TraceReport(trace, unread)


class ProcessesCommand(base.OperatorCommand):
    """`processes`: shows the lives of all processes."""

    name = "processes"
    description = "Shows when each process started, stopped or ended."
    help = _LOGS_HELP + "Exit codes: 0 done, 2 no log can be read."
    arguments: ClassVar[list[Argument]] = [_LOGS_ARGUMENT]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        files = log_files.LogFiles(map(pathlib.Path, self.argument("logs")))
        selection = log_blocks.Selection(log_lines.PROCESS_EVENTS)
        lives = process_lives.collect_lives(files.lines(selection))
        yield from _check_read(files)
        return log_reports.ProcessesReport(
            tuple(map(log_reports.make_process, lives)), tuple(files.unread)
        )


def _check_read(files: log_files.LogFiles) -> Result[None, faults.Fault]:
    if files.read_count:
        return Ok(None)
    return Error(log_faults.NoLogRead(tuple(files.unread)))
