"""Prints results as a table for people and as JSON for programs."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
import json
import os
import platform
import subprocess


def print_report(
    name: str, rows: Sequence[Mapping[str, object]], notes: str = ""
) -> None:
    """Prints rows as an aligned table and as one JSON line."""
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns] + [
        [_format_value(row.get(column, "")) for column in columns]
        for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    print(f"\n{name} (commit {describe_commit()}, {describe_machine()})")
    for line in cells:
        print(
            "  ".join(
                cell.ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ).rstrip()
        )
    if notes:
        print(notes)
    print(json.dumps({"name": name, "commit": describe_commit(), "rows": rows}))


def describe_commit() -> str:
    """Returns the abbreviated commit, marked `-dirty` if files differ."""
    completed = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return completed.stdout.strip() or "unknown"


def describe_machine() -> str:
    """Returns the number of processors and the Python version."""
    python_version = platform.python_version()
    return f"{os.cpu_count()} processors, CPython {python_version}"


def _format_value(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
