"""Cost of storing and distributing configuration by number of files.

Usage: python -m measure.configuration_size [files ...]
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import json
import sys
import time
import tracemalloc

import msgspec
from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from cyclamendale import ids
from cyclamendale.configuration import changes
from cyclamendale.configuration import documents
from cyclamendale.configuration import snapshot
from cyclamendale.configuration import store
from cyclamendale.peer import network
from cyclamendale.peer.generated.configuration import ttypes
from cyclamendale.store import http_api
from cyclamendale.store import table

FILE_COUNTS = (50, 200, 800, 3200)
TEXT_REPEATS = 50
"""Repetitions of a short text in a file, for a size of 200 to 400 bytes."""

TIMING_REPEATS = 20


@dataclasses.dataclass
class Costs:
    """Costs at one number of files; the field names are column titles."""

    files: int
    head_row_bytes: int
    version_row_bytes: int
    manifest_bytes: int
    full_fetch_bytes: int
    delta_bytes: int
    apply_delta_ms: float
    answer_delta_ms: float
    memory_bytes: int


def _file_name(number: int) -> ids.IntentFileName:
    return ids.IntentFileName(f"{number:04}-customer.toml")


def _apply_change(
    old: snapshot.Snapshot, change: changes.Change
) -> snapshot.Snapshot:
    version = ids.ConfigVersion(old.version + 1)
    head = documents.Head(old.version, "", "", change.change_id, ())
    manifest = changes.apply_change(head, old.folder.manifest, change).ok
    contents = dict(old.folder.contents)
    for data in change.puts.values():
        contents[documents.digest_of(data)] = data
    digest = documents.digest_of(documents.encode(manifest))
    return snapshot.Snapshot(version, digest, store.Folder(manifest, contents))


def _make_change(base_version: int, file_numbers: range) -> changes.Change:
    return changes.Change(
        ids.ConfigVersion(base_version),
        {
            _file_name(n): b"%d,%d;" % (base_version, n) * TEXT_REPEATS
            for n in file_numbers
        },
        frozenset(),
        "operator@example",
        ids.ChangeId(f"{base_version:032x}"),
    )


def _make_fetch_reply(
    new: snapshot.Snapshot, known_version: int
) -> network.ThriftStruct:
    return ttypes.FetchReply(
        version=new.version,
        manifest=bytes.fromhex(new.digest),
        changes=[
            ttypes.FileChange(
                change.file,
                change.version,
                change.change_id,
                change.writer,
                change.content,
            )
            for change in new.changes_since(ids.ConfigVersion(known_version))
        ],
    )


def _make_head(new: snapshot.Snapshot) -> documents.Head:
    recent = [
        documents.RecentChange(ids.ChangeId(f"{n:032x}"), new.version)
        for n in range(documents.MAX_RECENT_CHANGES)
    ]
    return documents.Head(
        version=new.version,
        manifest=new.digest,
        writer="operator@example",
        change_id=recent[0].change_id,
        recent=tuple(recent),
        bundle=new.digest,
        bundle_version=new.version,
    )


def _make_history_entry(new: snapshot.Snapshot) -> documents.HistoryEntry:
    return documents.HistoryEntry(
        version=new.version,
        manifest=new.digest,
        writer="operator@example",
        change_id=ids.ChangeId(f"{new.version:032x}"),
        base_version=new.version,
        puts={_file_name(0): new.digest},
        removes=(),
        removals_since=documents.NO_VERSION,
        written_ms=int(time.time() * 1000),
    )


def _row_bytes(document: msgspec.Struct) -> int:
    """Returns the size of a row in an HTTP answer of the platform."""
    row = table.Row(documents.HEAD_KEY, documents.encode(document), 1)
    return len(msgspec.json.encode(http_api.ReadResponse(row)))


def _wire_bytes(message: network.ThriftStruct) -> int:
    buffer = TTransport.TMemoryBuffer()
    message.write(TBinaryProtocol.TBinaryProtocolAccelerated(buffer))
    return len(buffer.getvalue())


def _min_cpu_ms(function: Callable[[], object]) -> float:
    times_s = []
    for _ in range(TIMING_REPEATS):
        started_s = time.process_time()
        function()
        times_s.append(time.process_time() - started_s)
    return round(min(times_s) * 1000, 3)


def measure_costs(file_count: int) -> Costs:
    """Measures the costs at one number of files."""
    tracemalloc.start()
    old = _apply_change(
        snapshot.make_empty(), _make_change(0, range(file_count))
    )
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    new = _apply_change(old, _make_change(1, range(1)))
    delta = snapshot.Delta(
        new.version,
        new.digest,
        False,
        documents.NO_VERSION,
        tuple(new.changes_since(old.version)),
    )
    return Costs(
        files=file_count,
        head_row_bytes=_row_bytes(_make_head(new)),
        version_row_bytes=_row_bytes(_make_history_entry(new)),
        manifest_bytes=len(documents.encode(new.folder.manifest)),
        full_fetch_bytes=_wire_bytes(_make_fetch_reply(new, 0)),
        delta_bytes=_wire_bytes(_make_fetch_reply(new, 1)),
        apply_delta_ms=_min_cpu_ms(lambda: old.apply(delta)),
        answer_delta_ms=_min_cpu_ms(lambda: _make_fetch_reply(new, 1)),
        memory_bytes=memory_bytes,
    )


def main(arguments: list[str]) -> None:
    """Prints the results as a table and as JSON."""
    sizes = [int(argument) for argument in arguments] or FILE_COUNTS
    results = [measure_costs(file_count) for file_count in sizes]
    names = [field.name for field in dataclasses.fields(Costs)]
    print(" | ".join(names))
    for result in results:
        print(" | ".join(str(getattr(result, name)) for name in names))
    print(json.dumps([dataclasses.asdict(result) for result in results]))


if __name__ == "__main__":
    main(sys.argv[1:])
