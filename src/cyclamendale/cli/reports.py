"""Reports that successful commands print for the operator."""

from __future__ import annotations

import abc
from collections.abc import Iterator, Mapping
import datetime
from typing import Any

import msgspec

from cyclamendale import events
from cyclamendale import explanation as explanations
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.cli import exit_codes
from cyclamendale.cli import faults
from cyclamendale.configuration import documents
from cyclamendale.intents import explain


class Report(msgspec.Struct, frozen=True):
    """Result of a command; its fields form the JSON output."""

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """Returns the exit code of the command."""
        return exit_codes.ExitCode.OK

    @abc.abstractmethod
    def lines(self) -> Iterator[str]:
        """Yields the lines of the human-readable output."""


class CheckReport(Report, frozen=True):
    """A folder passed the checks; `entries` counts entries by kind."""

    files: int
    entries: dict[str, int]

    def lines(self) -> Iterator[str]:
        """See base class."""
        counts = ", ".join(
            f"{count} {kind}" for kind, count in self.entries.items()
        )
        yield f"{self.files} files are valid: {counts}"


class DigestReport(Report, frozen=True):
    """The digest that identifies a key."""

    digest: ids.KeyDigest

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield self.digest


class ChangeReport(Report, frozen=True):
    """A change was accepted or was not needed.

    Attributes:
        version: Version on the platform that contains the change.
        changed: Whether the change created that version; False if the
            configuration already had the requested state.
        puts: Files written.
        removes: Files removed.
        kept: Files that pruning left because they withdraw a key.
        change_id: Id of the change.
        spread: Rollout by failure domain, if a node was queried.
        spread_error: Why the rollout is not known, if the query failed.
    """

    version: ids.ConfigVersion
    changed: bool
    puts: tuple[ids.IntentFileName, ...] = ()
    removes: tuple[ids.IntentFileName, ...] = ()
    kept: tuple[ids.IntentFileName, ...] = ()
    change_id: ids.ChangeId | None = None
    spread: tuple[timeline.FailureDomainStatus, ...] | None = None
    spread_error: faults.NodeFailed | None = None

    @property
    def exit_code(self) -> exit_codes.ExitCode:
        """See base class."""
        everywhere = all(
            domain.reach is timeline.Reach.IN_FORCE
            for domain in self.spread or ()
        )
        if everywhere and self.spread_error is None:
            return exit_codes.ExitCode.OK
        return exit_codes.ExitCode.NOT_YET_IN_FORCE

    def lines(self) -> Iterator[str]:
        """See base class."""
        if self.changed:
            yield f"version {self.version} accepted, change {self.change_id}"
        else:
            yield f"nothing to change, version {self.version}"
        yield from (f"put {file}" for file in self.puts)
        yield from (f"removed {file}" for file in self.removes)
        yield from (f"kept {file}: it withdraws a key" for file in self.kept)
        yield from _spread_lines(self.spread or ())
        if self.spread_error is not None:
            yield "it is not known where this version is in force:"
            yield from self.spread_error.lines()


def _spread_lines(
    domains: tuple[timeline.FailureDomainStatus, ...],
) -> Iterator[str]:
    for domain in domains:
        lowest = domain.lowest_version
        lowest_text = "" if lowest is None else f" (lowest version {lowest})"
        yield f"{domain.failure_domain}: {domain.reach.value}{lowest_text}"


class HistoryReport(Report, frozen=True):
    """The latest versions, newest first."""

    versions: tuple[documents.HistoryEntry, ...]

    def lines(self) -> Iterator[str]:
        """See base class."""
        for entry in self.versions:
            yield (
                f"version {entry.version} {format_time(entry.written_ms)} "
                f"by {entry.writer}, change {entry.change_id}"
            )
            yield from (f"  put {file}" for file in entry.puts)
            yield from (f"  removed {file}" for file in entry.removes)


class EntriesReport(Report, frozen=True):
    """Configuration entries, with the file that decided each field.

    Attributes:
        version: Configuration version; None for a local folder.
        node: The node that was queried; None for a local folder.
        entries: The entries.
    """

    version: ids.ConfigVersion | None
    node: ids.NodeId | None
    entries: tuple[explain.ExplainedEntry, ...]

    def lines(self) -> Iterator[str]:
        """See base class."""
        if self.version is not None:
            yield f"version {self.version} on {self.node}"
        for entry in self.entries:
            yield f"{entry.kind}/{entry.name}"
            for field in entry.fields:
                value = msgspec.json.encode(field.value).decode()
                yield f"  {field.name} = {value}  # {field.file or 'default'}"


class RequestReport(Report, frozen=True):
    """Outcomes of a request."""

    explanation: explanations.RequestExplanation

    def lines(self) -> Iterator[str]:
        """See base class."""
        for outcome in self.explanation.outcomes:
            head = f"{format_time(outcome.stamp.wall_ms)} {outcome.node}"
            route = f" on route {outcome.route}" if outcome.route else ""
            if outcome.reason is None:
                yield f"{head} served{route}, status {outcome.status}"
                continue
            yield (
                f"{head} refused{route}: {outcome.reason}, {outcome.execution}"
            )
            if outcome.file is not None:
                yield f"  decided by {outcome.file}@{outcome.version}"
        yield from _unreachable_lines(self.explanation.unreachable)


class StatusReport(Report, frozen=True):
    """Status of the fleet, as collected by one node."""

    fleet: timeline.FleetStatus

    def lines(self) -> Iterator[str]:
        """See base class."""
        yield f"version {self.fleet.version}"
        yield from _spread_lines(tuple(self.fleet.failure_domains))
        for status in self.fleet.nodes:
            yield _format_node(status)
        yield from _unreachable_lines(self.fleet.unreachable)


def _format_node(status: timeline.NodeStatus) -> str:
    parts = [
        status.node,
        status.failure_domain,
        f"version {status.version}",
        f"{status.members} members",
    ]
    if status.service is not None:
        parts.append(
            f"{status.service} {status.upstream_state}, "
            f"{status.in_flight} running, {status.queued} waiting"
        )
    if status.held_shards:
        parts.append(f"{status.held_shards} shards held")
    if status.table_reachable is False:
        parts.append("table unreachable")
    if status.leaving:
        parts.append("leaving")
    return "  ".join(parts)


class TimelineReport(Report, frozen=True):
    """Events of all reachable nodes in causal order."""

    timeline: timeline.MergedTimeline

    def lines(self) -> Iterator[str]:
        """See base class."""
        if self.timeline.truncated:
            yield "earlier events are left out"
        yield from map(_format_event, self.timeline.events)
        yield from _unreachable_lines(self.timeline.unreachable)


def _format_event(event: events.RecordedEvent) -> str:
    time = f"{format_time(event.stamp.wall_ms)}+{event.stamp.counter}"
    fields = format_fields(event.fields)
    return f"{time} {event.node} {event.kind} {fields}".rstrip()


def format_fields(fields: Mapping[str, Any]) -> str:
    """Returns the fields that have a value as text."""
    return " ".join(
        f"{name}={value}" for name, value in fields.items() if value is not None
    )


def escape_unprintable(text: str) -> str:
    """Returns text without control characters.

    Events and files may contain sequences that would act on the operator's
    terminal.
    """
    return "".join(c if c.isprintable() else repr(c)[1:-1] for c in text)


def _unreachable_lines(nodes: list[ids.NodeId]) -> Iterator[str]:
    return (f"not reached: {node}" for node in nodes)


def format_time(wall_ms: int) -> str:
    """Returns a time in milliseconds since the epoch as ISO 8601 text."""
    try:
        moment = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    except (OverflowError, ValueError, OSError):
        # A node's clock may be wrong by any amount; its events are still
        # shown.
        return f"{wall_ms}ms"
    return moment.strftime("%Y-%m-%dT%H:%M:%S.") + f"{wall_ms % 1000:03d}Z"
