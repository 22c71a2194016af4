"""Runs all parameter combinations and prints a table and JSON.

A cell is one combination of parameters, such as policy, load and seed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
import gc
import json
import multiprocessing
from typing import Any

PROCESS_COUNT = 2


def run_cells(
    function: Callable[[Any], dict[str, Any]], cells: Iterable[Any]
) -> list[dict[str, Any]]:
    """Runs all cells on two processes; returns one row for each."""
    with multiprocessing.Pool(PROCESS_COUNT, initializer=gc.disable) as pool:
        return pool.map(function, list(cells), chunksize=1)


def print_results(name: str, rows: Sequence[dict[str, Any]]) -> None:
    """Prints the rows as a table and then as one line of JSON."""
    columns = list(rows[0])
    texts = [[_format_value(row[column]) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(text[index]) for text in texts))
        for index, column in enumerate(columns)
    ]
    for line in [columns, *texts]:
        print("  ".join(map(str.ljust, line, widths)).rstrip())
    print(json.dumps({"measurement": name, "rows": list(rows)}))


def summarise(
    rows: Iterable[dict[str, Any]], keys: Sequence[str]
) -> list[dict[str, Any]]:
    """Aggregates the rows of several seeds.

    Args:
        rows: One row for each cell.
        keys: Columns to group the rows by.

    Returns:
        One row for each group, with the mean, minimum and maximum of each
        other column.
    """
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for row in rows:
        groups.setdefault(tuple(row[key] for key in keys), []).append(row)
    summaries = []
    for group, group_rows in groups.items():
        summary = dict(zip(keys, group, strict=True))
        summary["seeds"] = len(group_rows)
        for column in group_rows[0]:
            if column not in keys and column != "seed":
                values = [row[column] for row in group_rows]
                mean = sum(values) / len(values)
                summary[column] = round(mean, 4)
                summary[f"{column} range"] = (
                    f"{min(values):.3g}..{max(values):.3g}"
                )
        summaries.append(summary)
    return summaries


def _format_value(value: Any) -> str:
    return f"{value:.4g}" if isinstance(value, float) else str(value)
