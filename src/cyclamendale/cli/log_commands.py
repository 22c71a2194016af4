"""Commands that read the nodes' logs; they ask no node."""

from __future__ import annotations

from collections.abc import Generator
import pathlib
from typing import Any, ClassVar

from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from expression import effect
from expression import Error
from expression import Ok
from expression import Result

from cyclamendale.cli import arguments
from cyclamendale.cli import base
from cyclamendale.cli import faults
from cyclamendale.cli import log_faults
from cyclamendale.cli import log_reports
from cyclamendale.cli import report_page
from cyclamendale.cli import reports
from cyclamendale.diagnosis import log_blocks
from cyclamendale.diagnosis import log_files
from cyclamendale.diagnosis import log_lines
from cyclamendale.diagnosis import process_lives
from cyclamendale.diagnosis import request_trace
from cyclamendale.diagnosis import series

DEFAULT_PAGE = "report.html"

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


class ReportCommand(base.OperatorCommand):
    """`report`: writes a page with plots of what happened."""

    name = "report"
    description = "Writes a page with plots of refusals, versions and hosts."
    help = (
        _LOGS_HELP + "Exit codes: 0 done, 2 no log can be read, or the page "
        "can't be written."
    )
    arguments: ClassVar[list[Argument]] = [_LOGS_ARGUMENT]
    own_options: ClassVar[list[Option]] = [
        option(
            "output",
            description="The page; one that exists is replaced (default "
            f"{DEFAULT_PAGE}).",
            flag=False,
            default=DEFAULT_PAGE,
        )
    ]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        files = log_files.LogFiles(map(pathlib.Path, self.argument("logs")))
        collector = series.SeriesCollector()
        collector.add_lines(files.lines(log_blocks.Selection(series.EVENTS)))
        yield from _check_read(files)
        fleet = collector.series()
        path = self.option("output")
        page = report_page.render_page(fleet, files.unread)
        yield from _write_page(pathlib.Path(path), page)
        columns = fleet.columns
        return log_reports.FleetReport(
            path,
            log_reports.format_time(columns.begin_s),
            columns.step_s,
            {name: sum(counts) for name, counts in fleet.failures.items()},
            len(fleet.lives),
            tuple(files.unread),
        )


def _write_page(path: pathlib.Path, page: str) -> Result[None, faults.Fault]:
    try:
        path.write_text(page, encoding="utf-8")
    except OSError as error:
        text = error.strerror or str(error)
        return Error(log_faults.UnwritablePath(str(path), text))
    return Ok(None)


def _check_read(files: log_files.LogFiles) -> Result[None, faults.Fault]:
    if files.read_count:
        return Ok(None)
    return Error(log_faults.NoLogRead(tuple(files.unread)))
