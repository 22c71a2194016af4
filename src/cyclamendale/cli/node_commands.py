"""Commands that query a node."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any, ClassVar

from cleo.helpers import option
from cleo.io.inputs.option import Option
from expression import effect
from expression import Error

from cyclamendale import explanation as explanations
from cyclamendale import ids
from cyclamendale import timeline
from cyclamendale.cli import arguments
from cyclamendale.cli import base
from cyclamendale.cli import faults
from cyclamendale.cli import local_commands
from cyclamendale.cli import reports
from cyclamendale.intents import explain

_EXIT_CODE_HELP = "Exit codes: 0 done, 2 usage, 6 node not reached"


class ExplainCommand(base.OperatorCommand):
    """`explain`: shows entries in force and why a request was refused."""

    name = "explain"
    description = "Shows which file decided an entry or a refusal."
    help = (
        "Without options: all entries in force on the node. A field without "
        "a file has its default. With --request: the response or refusal of "
        "that request, if it is still in the nodes' event logs.\n"
        + _EXIT_CODE_HELP
        + ", 7 not known."
    )
    own_options: ClassVar[list[Option]] = [
        base.NODE_OPTION,
        option("entry", description="kind/name of one entry.", flag=False),
        option(
            "folder",
            description="Explain a local folder; no node is asked.",
            flag=False,
        ),
        option("request", description="Id of a request.", flag=False),
    ]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        kind, name = yield from self.convert_option(
            "entry", arguments.to_entry, default=(None, None)
        )
        request = yield from self.convert_option(
            "request", arguments.to_short_text
        )
        if request is not None:
            report = yield from self._explain_request(request)
            return report
        if self.option("folder") is not None:
            entries = yield from self._explain_folder(kind, name)
            version, node = None, None
        else:
            answer = yield from base.query_node(
                self, lambda client: client.configuration(kind, name)
            )
            entries, version, node = answer.entries, answer.version, answer.node
        if name is not None and not entries:
            yield from Error(
                faults.NotFound(faults.Sought.ENTRY, f"{kind}/{name}")
            )
        return reports.EntriesReport(version, node, tuple(entries))

    @effect.result[list[explain.ExplainedEntry], faults.Fault]()
    def _explain_folder(
        self, kind: str | None, name: str | None
    ) -> Generator[Any, Any, list[explain.ExplainedEntry]]:
        files = yield from local_commands.read_paths([self.option("folder")])
        configuration = yield from local_commands.check_files(files)
        return [
            entry
            for entry in explain.explain_entries(configuration)
            if kind in (None, entry.kind) and name in (None, entry.name)
        ]

    @effect.result[reports.Report, faults.Fault]()
    def _explain_request(
        self, request: ids.RequestId
    ) -> Generator[Any, Any, reports.Report]:
        query = timeline.TimelineQuery(request=request)
        merged = yield from base.query_node(
            self, lambda client: client.merged_timeline(query)
        )
        explanation = explanations.explain_request(merged, request)
        if not explanation.outcomes:
            yield from Error(
                faults.NotFound(
                    faults.Sought.REQUEST, request, tuple(merged.unreachable)
                )
            )
        return reports.RequestReport(explanation)


class StatusCommand(base.OperatorCommand):
    """`status`: shows the nodes and the rollout of the configuration."""

    name = "status"
    description = "Shows all nodes and where the configuration is in force."
    help = (
        "The node queries all others it knows and lists those it cannot "
        "reach. A failure domain is in-force, not-yet-reached or unknown.\n"
        + _EXIT_CODE_HELP
        + "."
    )
    own_options: ClassVar[list[Option]] = [base.NODE_OPTION]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        fleet = yield from base.query_node(self, lambda client: client.status())
        return reports.StatusReport(fleet)


class TimelineCommand(base.OperatorCommand):
    """`timeline`: shows the events of all nodes in causal order."""

    name = "timeline"
    description = "Shows the events of all nodes in causal order."
    help = (
        "All filters given must match. Nodes that could not be reached are "
        "listed at the end.\n" + _EXIT_CODE_HELP + "."
    )
    own_options: ClassVar[list[Option]] = [
        base.NODE_OPTION,
        option("request", description="Events of one request.", flag=False),
        option("customer", description="Events of one customer.", flag=False),
        option(
            "file",
            description="Events that one intent file decided.",
            flag=False,
        ),
        option(
            "since",
            description="Events since a duration ago (90s, 5m, 2h, 1d) or an "
            "ISO 8601 time, UTC unless it has an offset.",
            flag=False,
        ),
        option(
            "limit",
            description="Number of newest events to show (default "
            f"{timeline.DEFAULT_LIMIT_EVENTS}).",
            flag=False,
        ),
    ]

    @effect.result[reports.Report, faults.Fault]()
    def perform(self) -> Generator[Any, Any, reports.Report]:
        """See base class."""
        command_services = self.make_services()
        request = yield from self.convert_option(
            "request", arguments.to_short_text
        )
        customer = yield from self.convert_option(
            "customer", arguments.to_short_text
        )
        file = yield from self.convert_option("file", arguments.to_short_text)
        since_ms = yield from self.convert_option(
            "since",
            lambda name, text: arguments.to_since_ms(
                name, text, command_services.clock.wall_s()
            ),
            default=0,
        )
        limit = yield from self.convert_option(
            "limit",
            arguments.integer_between(1, timeline.MAX_LIMIT_EVENTS),
            default=timeline.DEFAULT_LIMIT_EVENTS,
        )
        query = timeline.TimelineQuery(
            request=request,
            customer=customer,
            file=file,
            since_ms=since_ms,
            limit_events=limit,
        )
        merged = yield from base.query_node(
            self, lambda client: client.merged_timeline(query), command_services
        )
        return reports.TimelineReport(merged)
