"""Printing of results: a table for people, JSON for programs."""

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
        [_text(row.get(column, "")) for column in columns] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    print(f"\n{name} (commit {commit()}, {machine()})")
    for line in cells:
        print(
            "  ".join(
                cell.ljust(width)
                for cell, width in zip(line, widths, strict=True)
            ).rstrip()
        )
    if notes:
        print(notes)
    print(json.dumps({"name": name, "commit": commit(), "rows": rows}))


def commit() -> str:
    """Returns the abbreviated commit, marked when files differ from it."""
    described = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        check=False,
    )
    return described.stdout.strip() or "unknown"


def machine() -> str:
    """Returns the size of the machine."""
    python = platform.python_version()
    return f"{os.cpu_count()} processors, CPython {python}"


def _text(value: object) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
