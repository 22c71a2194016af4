"""A page about what happened in the fleet, in one file of HTML."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

from cyclamendale.cli import charts
from cyclamendale.cli import log_reports
from cyclamendale.diagnosis import log_files
from cyclamendale.diagnosis import series

_STYLE = """
body { font: 14px sans-serif; max-width: 1000px; margin: 2em auto; }
svg { width: 100%; font-size: 11px; }
svg line { stroke: #ddd; }
svg text { fill: #444; }
svg text.value { text-anchor: end; }
.legend span { margin-right: 1.2em; white-space: nowrap; }
.legend i { display: inline-block; width: 0.8em; height: 0.8em;
  margin-right: 0.3em; }
.table { overflow-x: auto; }
table { border-collapse: collapse; font-size: 12px; white-space: nowrap; }
td, th { padding: 2px 8px; text-align: left; border-bottom: 1px solid #ddd; }
"""


def render_page(
    fleet: series.FleetSeries, unread: Sequence[log_files.UnreadLog]
) -> str:
    """Returns the page.

    Args:
        fleet: What happened.
        unread: Logs that could not be read.
    """
    return "\n".join(_page_lines(fleet, unread)) + "\n"


def _page_lines(
    fleet: series.FleetSeries, unread: Sequence[log_files.UnreadLog]
) -> Iterator[str]:
    columns = fleet.columns
    end_s = columns.begin_s + columns.count * columns.step_s
    yield "<!DOCTYPE html>"
    yield '<html lang="en"><head><meta charset="utf-8">'
    yield f"<title>Fleet report</title><style>{_STYLE}</style></head><body>"
    yield "<h1>Fleet report</h1>"
    yield (
        f"<p>{log_reports.format_time(columns.begin_s)} to "
        f"{log_reports.format_time(end_s)}, UTC; a column is "
        f"{columns.step_s:g} s.</p>"
    )
    yield "<h2>Requests refused or failed, by reason</h2>"
    yield from _chart(columns, fleet.failures, has_totals=True)
    yield "<h2>Processes, by version of the configuration in force</h2>"
    yield from _chart(columns, fleet.versions)
    yield "<h2>Hosts, by what they take</h2>"
    yield from _chart(columns, fleet.hosts)
    yield "<h2>Processes</h2>"
    processes = map(log_reports.make_process, fleet.lives)
    yield from _table(
        log_reports.HEADINGS, map(log_reports.process_cells, processes)
    )
    if unread:
        yield "<h2>Logs that could not be read</h2><ul>"
        yield from (f"<li>{charts.escape(str(log))}</li>" for log in unread)
        yield "</ul>"
    yield "</body></html>"


def _chart(
    columns: series.Columns, values: series.Series, has_totals: bool = False
) -> Iterator[str]:
    if values:
        yield charts.render_chart(columns, values, has_totals)
    else:
        yield "<p>None.</p>"


def _table(
    headings: Iterable[str], rows: Iterable[Iterable[str]]
) -> Iterator[str]:
    yield '<div class="table"><table>'
    yield _row("th", headings)
    for row in rows:
        yield _row("td", row)
    yield "</table></div>"


def _row(tag: str, cells: Iterable[str]) -> str:
    texts = (f"<{tag}>{charts.escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{''.join(texts)}</tr>"
