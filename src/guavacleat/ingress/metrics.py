"""Prometheus metrics of an ingress gateway."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.metricdict import MetricDict
from aioprometheus.renderer import render

from guavacleat.quarantine import CrashTracker
from guavacleat.routes.holder import RouteHolder

__all__ = ["IngressMetrics"]

# Seconds.
LATENCY_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6, 51.2)


class IngressMetrics:
    """The metrics of one gateway and their exposition."""

    def __init__(self):
        self.registry = Registry()
        self.requests = Counter(
            "guavacleat_requests_total",
            "Requests by route kind and outcome.",
            registry=self.registry,
        )
        self.latency = Histogram(
            "guavacleat_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS,
        )
        self.configuration = self._gauge(
            "guavacleat_configuration_version",
            "Version of the routing configuration in force; 0 while there is none.",
        )
        self.configurations_older = self._gauge(
            "guavacleat_configurations_older",
            "Configurations offered so far that were older than the one in force.",
        )
        self.watch_failures = self._gauge(
            "guavacleat_watch_failures",
            "Calls in a row that brought a watch no answer, by kind of object.",
        )
        self.crashes = self._gauge(
            "guavacleat_endpoint_crashes",
            "Ends of endpoints, without notice and with requests in flight, that are remembered.",
        )
        self.quarantined = self._gauge(
            "guavacleat_requests_quarantined",
            "Requests, by what they ask for, that are refused as endpoints ended under them.",
        )
        self.evacuated = self._gauge(
            "guavacleat_evacuated_data_centres",
            "Data centres whose endpoints get no new requests because operators evacuated them.",
        )
        self.cold_endpoints = self._gauge(
            "guavacleat_cold_endpoints",
            "Endpoints that get a limited rate of requests because they may be cold.",
        )
        self.limited_endpoints = self._gauge(
            "guavacleat_limited_endpoints",
            "Endpoints that name a limit of their request rate in their answers.",
        )
        self.paused_endpoints = self._gauge(
            "guavacleat_paused_endpoints",
            "Endpoints that turned this gateway away and asked it for a pause.",
        )
        self.leaving_endpoints = self._gauge(
            "guavacleat_leaving_endpoints",
            "Registered endpoints that said in their answers that they are leaving.",
        )
        self.relative_speeds = self._gauge(
            "guavacleat_engine_relative_speed",
            "Tokens per second of an engine's streams, relative to the median of its service.",
        )
        self.store_era = self._gauge(
            "guavacleat_store_era",
            "Latest era of the store that is known: how often it came back from a copy.",
        )
        self.store_calls = self._gauge(
            "guavacleat_store_calls",
            "Calls of the store so far, by type.",
        )
        self.report_bytes = self._gauge(
            "guavacleat_report_bytes",
            "Bytes of reports to other gateways so far: near, or far in other data centres.",
        )
        self.loop_lag = self._gauge(
            "guavacleat_loop_lag_seconds",
            "Longest time so far that the event loop was held up.",
        )
        self.shortened_reports = self._gauge(
            "guavacleat_reports_shortened",
            "Reports so far that left out what did not fit into a datagram.",
        )
        self.reserved_tokens = self._gauge(
            "guavacleat_reserved_tokens",
            "Tokens of each engine's memory that are kept for urgent generations, by service.",
        )
        self.largest_account_share = self._gauge(
            "guavacleat_largest_account_share",
            "Largest part of one account in the recent use of contended services, from 0 to 1.",
        )
        self.generations_dispatched = self._gauge(
            "guavacleat_generations_dispatched",
            "Generations of contended services sent to engines so far, by rank of priority.",
        )
        self.heads_skipped = self._gauge(
            "guavacleat_heads_skipped",
            "Peers' waiting generations so far that were passed, as their peers left room unused.",
        )

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)

    def count_request(self, request, outcome: str, seconds: float) -> None:
        kind = request.route.kind.value if request else "unmatched"
        self.requests.inc({"kind": kind, "outcome": outcome})
        self.latency.observe({"kind": kind}, seconds)

    def update_configuration(self, holder: RouteHolder, failures_by_kind: dict[str, int]) -> None:
        """Update the gauges of the configuration in force and of failing watches."""
        self.configuration.set({}, holder.version or 0)
        self.configurations_older.set({}, holder.older_count)
        for kind, failures in failures_by_kind.items():
            self.watch_failures.set({"kind": kind}, failures)

    def update_quarantine(self, tracker: CrashTracker) -> None:
        """Update the gauges of endpoint crashes and quarantined requests."""
        self.crashes.set({}, sum(crash.confirmed for crash in tracker.endpoint_crashes))
        self.quarantined.set({}, len(tracker.quarantined_fingerprints()))

    def update_availability(self, evacuations, throttle, registry) -> None:
        """Update the gauges of evacuated data centres and of endpoints with restrictions."""
        self.evacuated.set({}, len(evacuations.evacuated_names()))
        self.cold_endpoints.set({}, throttle.cold.count())
        self.limited_endpoints.set({}, throttle.limits.count())
        self.paused_endpoints.set({}, throttle.pauses.count())
        self.leaving_endpoints.set({}, registry.said_leaving_count())

    def update_reserves(self, tokens_by_service: dict[str, float]) -> None:
        """Update the gauge of the memory kept on each engine for urgent generations."""
        for service, tokens in tokens_by_service.items():
            self.reserved_tokens.set({"service": service}, round(tokens))

    def update_speeds(self, speeds_by_endpoint: dict[str, float]) -> None:
        """Update the gauge of the relative speeds; engines without one are removed from it."""
        self.relative_speeds.values = MetricDict()
        for endpoint, speed in speeds_by_endpoint.items():
            self.relative_speeds.set({"endpoint": endpoint}, speed)

    def update_accounts(self, usage) -> None:
        """Update the gauge from an :class:`~guavacleat.admission.account_usage.AccountUsage`."""
        self.largest_account_share.set({}, usage.largest_share())

    def update_queue(self, queues) -> None:
        """Update the gauges from a :class:`~guavacleat.admission.fleet_queues.FleetQueues`."""
        for rank, count in queues.dispatched_by_rank().items():
            self.generations_dispatched.set({"rank": str(rank)}, count)
        self.heads_skipped.set({}, queues.skipped_heads())

    def update_control_traffic(self, traffic) -> None:
        """Update the gauges from a :class:`~guavacleat.ingress.sources.ControlTraffic`."""
        for type, calls in traffic.calls_by_type.items():
            self.store_calls.set({"type": type}, calls)
        self.store_era.set({}, traffic.store_era)
        for scope, sent in traffic.bytes_by_scope.items():
            self.report_bytes.set({"scope": scope}, sent)
        self.shortened_reports.set({}, traffic.shortened_reports)

    def exposition(self) -> bytes:
        """The metrics in Prometheus text format."""
        body, _ = render(self.registry, [])
        return body
