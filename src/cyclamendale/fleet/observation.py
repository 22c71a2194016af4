"""Request counters and latency histograms of a node, served as text."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator
from typing import Any

from hdrh import histogram
from twisted.web import resource
from twisted.web import server

from cyclamendale import clocks
from cyclamendale import refusals
from cyclamendale.fleet import journal
from cyclamendale.overload import root_admission
from cyclamendale.proxy import messages
from cyclamendale.quotas import bounds

MAX_LATENCY_MS = 60_000
"""Upper bound of the latency histograms; no request takes longer."""

LATENCY_SIGNIFICANT_DIGITS = 2
"""Precision of the latency histograms; each takes 20 KB."""

LATENCY_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Observer:
    """Records the outcomes of requests in counters and in the journal."""

    def __init__(self, clock: clocks.Clock, log: journal.Journal) -> None:
        self._clock = clock
        self._log = log
        self._counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._latencies: dict[str, Any] = {}
        self._gauges: list[tuple[str, Callable[[], float]]] = []

    def add_gauge(self, name: str, value: Callable[[], float]) -> None:
        """Adds a metric whose value is read on each scrape."""
        self._gauges.append((name, value))

    def record_answer(
        self,
        upstream_request: messages.UpstreamRequest,
        status: int,
        arrived_s: float,
    ) -> None:
        """Records a request that an upstream answered."""
        self._counts["answered", f"{status // 100}xx"] += 1
        latency_ms = (self._clock.now_s() - arrived_s) * 1000
        latencies = self._latencies.get(upstream_request.route)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                1, MAX_LATENCY_MS, LATENCY_SIGNIFICANT_DIGITS
            )
            self._latencies[upstream_request.route] = latencies
        latencies.record_value(min(MAX_LATENCY_MS, max(1, int(latency_ms))))
        if status >= 500:
            self._log.decision(
                "answered-with-failure",
                upstream_request.request_id,
                status=status,
                route=upstream_request.route,
                upstream=upstream_request.upstream_id,
                latency_ms=round(latency_ms, 1),
            )

    def record_refusal(
        self,
        request: messages.CallerRequest,
        route: str,
        customer: str,
        refusal: refusals.Refusal,
        version: int,
    ) -> None:
        """Records a request that the fleet refused or lost."""
        self._counts["refused", refusal.reason.value] += 1
        self._log.decision(
            "refused",
            request.request_id.decode("latin-1"),
            reason=refusal.reason.value,
            execution=refusal.execution.value,
            route=route,
            customer=customer,
            configuration=version,
            age_ms=round((self._clock.now_s() - request.arrived_s) * 1000, 1),
            remaining_s=request.remaining_s,
        )

    def record_shedding(
        self,
        upstream_request: messages.UpstreamRequest,
        cause: root_admission.ShedCause,
    ) -> None:
        """Records why a root request is shed at its entry node."""
        self._counts["shed-by", cause.service] += 1
        self._log.decision(
            "shed",
            upstream_request.request_id,
            service=cause.service,
            pressure=round(cause.pressure, 2),
            refused_share=round(cause.refused_share, 2),
            calls=round(cause.calls, 1),
            rank=upstream_request.rank,
        )

    def record_over_quota(
        self,
        upstream_request: messages.UpstreamRequest,
        customer: str,
        wait_s: float,
        state: bounds.QuotaState | None,
    ) -> None:
        """Records a request whose quota is exhausted.

        Args:
            upstream_request: The request.
            customer: Its customer.
            wait_s: Time after which to retry, as stated by the home.
            state: The quota, if this node is a home of it.
        """
        self._log.decision(
            "over-quota",
            upstream_request.request_id,
            customer=customer,
            wait_s=round(wait_s, 3),
            rate_per_s=state.rate_per_s if state else None,
            quota_level=round(state.level, 1) if state else None,
            demand_per_s=round(state.demand_per_s, 1) if state else None,
            reachable=round(state.reachable_share, 2) if state else None,
        )

    def record_caller_left(
        self, upstream_request: messages.UpstreamRequest
    ) -> None:
        """Records a caller that disconnected before the response."""
        self._counts["caller-left", ""] += 1
        self._log.decision(
            "caller-left",
            upstream_request.request_id,
            route=upstream_request.route,
        )

    def render_lines(self) -> Iterator[str]:
        """Yields the lines of the metrics page."""
        for (name, label), count in sorted(self._counts.items()):
            labels = f'outcome="{name}",why="{label}"'
            yield f"cyclamendale_requests{{{labels}}} {count}"
        for name, value in self._gauges:
            yield f"cyclamendale_{name} {value():.6g}"
        for route, latencies in sorted(self._latencies.items()):
            for percentile in LATENCY_PERCENTILES:
                value_ms = latencies.get_value_at_percentile(percentile)
                yield (
                    f'cyclamendale_latency_ms{{route="{route}",'
                    f'quantile="{percentile / 100}"}} {value_ms}'
                )
            count = latencies.get_total_count()
            yield f'cyclamendale_latency_count{{route="{route}"}} {count}'


class _MetricsPage(resource.Resource):
    isLeaf = True

    def __init__(self, observer: Observer) -> None:
        super().__init__()
        self._observer = observer

    def render_GET(self, request: Any) -> bytes:
        """Responds with the metrics as text."""
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        return ("\n".join(self._observer.render_lines()) + "\n").encode()


def make_metrics_site(observer: Observer) -> server.Site:
    """Returns the site that serves the metrics at `/metrics`."""
    root: Any = resource.Resource()
    root.putChild(b"metrics", _MetricsPage(observer))
    site = server.Site(root)
    site.noisy = False
    return site
