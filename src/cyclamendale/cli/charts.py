"""Charts of stacked columns over time, as SVG."""

from __future__ import annotations

from collections.abc import Iterator
import html
import itertools
import math

from cyclamendale.cli import reports
from cyclamendale.diagnosis import series

WIDTH = 960
HEIGHT = 260
_LEFT, _RIGHT, _TOP, _BOTTOM = 56, 8, 8, 28
_PLOT_WIDTH = WIDTH - _LEFT - _RIGHT
_PLOT_HEIGHT = HEIGHT - _TOP - _BOTTOM
_TIME_LABELS = 6
_VALUE_LABELS = 4

_COLOURS = (
    "#0072b2",
    "#e69f00",
    "#009e73",
    "#d55e00",
    "#56b4e9",
    "#cc79a7",
    "#f0e442",
    "#555555",
    "#999933",
    "#882255",
)
"""Colours that people with a colour vision deficiency can tell apart."""


def render_chart(
    columns: series.Columns, values: series.Series, has_totals: bool = False
) -> str:
    """Returns a chart with a legend, as HTML.

    Args:
        columns: The parts of time.
        values: A value for each part, by name; stacked in this order.
        has_totals: Whether the sum of a name's values has a meaning.
    """
    return "\n".join(
        (
            f'<svg viewBox="0 0 {WIDTH} {HEIGHT}" role="img">',
            *_axes(columns, values),
            *_bars(columns, values),
            "</svg>",
            '<p class="legend">',
            *_legend(values, has_totals),
            "</p>",
        )
    )


def format_clock(time_s: float) -> str:
    """Returns a time of day in UTC; a date stands apart."""
    return reports.format_time(round(time_s * 1000))[11:19]


def _top(values: series.Series) -> int:
    """Returns the highest value of the axis, which has round labels."""
    highest = max(map(sum, zip(*values.values(), strict=True)), default=0)
    step = max(1, highest / _VALUE_LABELS)
    power = 10 ** math.floor(math.log10(step))
    factor = next(f for f in (1, 2, 5, 10) if f * power >= step)
    return factor * power * _VALUE_LABELS


def _axes(columns: series.Columns, values: series.Series) -> Iterator[str]:
    top = _top(values)
    for index in range(_VALUE_LABELS + 1):
        y = _TOP + _PLOT_HEIGHT * (1 - index / _VALUE_LABELS)
        label = top * index // _VALUE_LABELS
        yield (
            f'<line x1="{_LEFT}" x2="{WIDTH - _RIGHT}" y1="{y:.1f}" '
            f'y2="{y:.1f}"/>'
        )
        yield (
            f'<text class="value" x="{_LEFT - 6}" y="{y + 4:.1f}">{label}'
            "</text>"
        )
    every = max(1, math.ceil(columns.count / _TIME_LABELS))
    for index in range(0, columns.count, every):
        x = _LEFT + _PLOT_WIDTH * index / columns.count
        label_text = format_clock(columns.begin_s + index * columns.step_s)
        yield f'<text x="{x:.1f}" y="{HEIGHT - 8}">{label_text}</text>'


def _bars(columns: series.Columns, values: series.Series) -> Iterator[str]:
    width = _PLOT_WIDTH / columns.count
    scale = _PLOT_HEIGHT / _top(values)
    heights = [0] * columns.count
    for (name, counts), colour in zip(
        values.items(), itertools.cycle(_COLOURS), strict=False
    ):
        for index, count in enumerate(counts):
            if not count:
                continue
            heights[index] += count
            y = _TOP + _PLOT_HEIGHT - heights[index] * scale
            begin = format_clock(columns.begin_s + index * columns.step_s)
            yield (
                f'<rect x="{_LEFT + index * width:.1f}" y="{y:.1f}" '
                f'width="{width:.2f}" height="{count * scale:.2f}" '
                f'fill="{colour}"><title>{begin} {escape(name)}: {count}'
                "</title></rect>"
            )


def _legend(values: series.Series, has_totals: bool) -> Iterator[str]:
    for (name, counts), colour in zip(
        values.items(), itertools.cycle(_COLOURS), strict=False
    ):
        total = f"{sum(counts)}, " if has_totals else ""
        yield (
            f'<span><i style="background:{colour}"></i>{escape(name)} '
            f"({total}at most {max(counts)})</span>"
        )


def escape(text: str) -> str:
    """Returns text for HTML; others wrote it, so it may contain anything."""
    return html.escape(reports.escape_unprintable(text))
