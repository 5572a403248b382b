"""Metrics of an entry instance, served as text on the metrics address."""

import enum
import typing
from collections.abc import Callable, Mapping

import attrs
import prometheus_client
from prometheus_client import registry

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)


class Kind(enum.Enum):
    """Prometheus type of a metric."""

    COUNTER = "counter"
    HISTOGRAM = "histogram"
    GAUGE = "gauge"


@attrs.frozen
class MetricInfo:
    """Name, type and meaning of one metric.

    Attributes:
        name: Name of the metric.
        kind: Type of the metric.
        labels: Names of its labels. Each has few distinct values, as every combination of them
            is a time series of its own.
        text: Meaning of the metric, as one sentence for its help text.
    """

    name: str
    kind: Kind
    labels: tuple[str, ...]
    text: str


class EntryMetric(enum.Enum):
    """All metrics of an entry instance."""

    REQUESTS = MetricInfo(
        "carobhook_requests_total",
        Kind.COUNTER,
        ("service", "code"),
        "Requests that ended, by service and result code.",
    )
    REQUEST_TIME = MetricInfo(
        "carobhook_request_seconds",
        Kind.HISTOGRAM,
        ("service",),
        "Time from a request's arrival to the end of its answer.",
    )
    SLOT_WAIT = MetricInfo(
        "carobhook_slot_wait_seconds",
        Kind.HISTOGRAM,
        ("service",),
        "Time from a request's arrival to its first slot or its refusal.",
    )
    REPEATS = MetricInfo(
        "carobhook_repeats_total",
        Kind.COUNTER,
        ("service",),
        "Sends of requests beyond the first.",
    )
    LOOKUPS = MetricInfo(
        "carobhook_lookups_total", Kind.COUNTER, ("status",), "Answers of the directory."
    )
    LOOKUPS_ELSEWHERE = MetricInfo(
        "carobhook_lookup_addresses_elsewhere_total",
        Kind.COUNTER,
        ("region",),
        "Addresses of other regions in answers of the directory, by the clients' region.",
    )
    KEYS_REFUSED = MetricInfo(
        "carobhook_keys_refused_total",
        Kind.COUNTER,
        ("code",),
        "Requests refused as their key is missing or unknown, by result code.",
    )
    IN_FLIGHT = MetricInfo(
        "carobhook_requests_in_flight", Kind.GAUGE, (), "Requests that wait or run."
    )
    CLIENT_CONNECTIONS = MetricInfo(
        "carobhook_client_connections", Kind.GAUGE, (), "Open connections of clients."
    )
    CLIENTS_BLOCKED = MetricInfo(
        "carobhook_client_connections_blocked",
        Kind.GAUGE,
        (),
        "Connections of clients whose responses wait for the client to read.",
    )
    CLIENT_BYTES = MetricInfo(
        "carobhook_client_bytes_held",
        Kind.GAUGE,
        (),
        "Bytes held for clients: request bodies, and responses not sent yet.",
    )
    BODIES_REFUSED = MetricInfo(
        "carobhook_bodies_refused_total",
        Kind.COUNTER,
        ("bound",),
        "Request bodies not read for lack of memory, by the bound: process or client.",
    )
    CONNECTIONS_DROPPED = MetricInfo(
        "carobhook_client_connections_dropped_total",
        Kind.COUNTER,
        (),
        "Connections that ended with bytes of their client dropped, which may be requests.",
    )
    SERVER_CONNECTIONS = MetricInfo(
        "carobhook_server_connections_opened",
        Kind.GAUGE,
        (),
        "Connections to backend servers opened since the start.",
    )
    SURPLUS_RESPONSES = MetricInfo(
        "carobhook_surplus_responses",
        Kind.GAUGE,
        (),
        "Responses of backend servers since the start that belonged to no request under way.",
    )
    STORE_CALLS = MetricInfo(
        "carobhook_store_calls", Kind.GAUGE, (), "Calls to the store since the start."
    )
    STORE_LOST = MetricInfo(
        "carobhook_store_lost", Kind.GAUGE, (), "1 while the store does not answer, else 0."
    )
    STORE_ERA = MetricInfo(
        "carobhook_store_era",
        Kind.GAUGE,
        (),
        "Era of the store, which rises when it comes back from an older copy; 0 if unknown.",
    )
    SERVERS = MetricInfo(
        "carobhook_servers_usable", Kind.GAUGE, (), "Backend servers that may get requests."
    )
    SERVERS_LIMITED = MetricInfo(
        "carobhook_servers_limited",
        Kind.GAUGE,
        (),
        "Backend servers whose answers to this instance name a limit of requests a second.",
    )
    MEMBERS = MetricInfo(
        "carobhook_instances_serving", Kind.GAUGE, (), "Instances heard lately that serve."
    )
    CONFIG_VERSION = MetricInfo(
        "carobhook_config_version", Kind.GAUGE, (), "Configuration version in force here."
    )
    CONFIG_AGE = MetricInfo(
        "carobhook_config_age_seconds",
        Kind.GAUGE,
        (),
        "Time since it was last known that no newer configuration exists.",
    )
    FEED_RECEIVED = MetricInfo(
        "carobhook_feed_received_bytes",
        Kind.GAUGE,
        (),
        "Bytes of store objects that other instances sent to this one since the start.",
    )
    FEED_REPEATED = MetricInfo(
        "carobhook_feed_repeated_bytes",
        Kind.GAUGE,
        (),
        "Those bytes of which this instance had the object in that version already.",
    )
    ORDERS_VERSION = MetricInfo(
        "carobhook_orders_version", Kind.GAUGE, (), "Version of the operators' orders in force."
    )
    READY = MetricInfo("carobhook_ready", Kind.GAUGE, (), "1 while clients are taken, else 0.")
    EVENT_LOOP_DELAY = MetricInfo(
        "carobhook_event_loop_delay_seconds",
        Kind.HISTOGRAM,
        (),
        "Delay of the periodic call of the event loop, made ten times a second.",
    )
    DISPATCH_TIME = MetricInfo(
        "carobhook_dispatch_seconds",
        Kind.GAUGE,
        (),
        "Time since the start that this instance's dispatchers took for their decisions.",
    )
    SLOT_REQUESTS_QUEUED = MetricInfo(
        "carobhook_slot_requests_queued",
        Kind.GAUGE,
        (),
        "Slot requests in the queues of this instance's dispatchers.",
    )
    QUOTA_GRANTED = MetricInfo(
        "carobhook_quota_tokens_granted",
        Kind.GAUGE,
        (),
        "Tokens of accounts' quotas that this instance granted as a counter since the start.",
    )
    QUOTA_REFUSED = MetricInfo(
        "carobhook_quota_refused",
        Kind.GAUGE,
        (),
        "Requests that dispatchers here refused since the start because of a quota.",
    )
    QUOTA_WAITED = MetricInfo(
        "carobhook_quota_waited",
        Kind.GAUGE,
        (),
        "Requests that waited here for the answer of a quota's counter since the start.",
    )
    QUOTA_FALLBACK = MetricInfo(
        "carobhook_quota_fallback",
        Kind.GAUGE,
        (),
        "Requests admitted here since the start while the counter of their quota was silent.",
    )
    TASK_FAILURES = MetricInfo(
        "carobhook_task_failures_total",
        Kind.COUNTER,
        ("part",),
        "Unexpected errors in parts of the instance, which went on or were started again.",
    )
    REQUESTS_RELAYED = MetricInfo(
        "carobhook_requests_relayed",
        Kind.GAUGE,
        (),
        "Requests sent to servers through other instances since the start.",
    )
    PATHS_BROKEN = MetricInfo(
        "carobhook_paths_broken",
        Kind.GAUGE,
        (),
        "Backend servers that other instances reach and this one does not.",
    )
    MACHINE_SLOWNESS = MetricInfo(
        "carobhook_machine_slowness",
        Kind.GAUGE,
        (),
        "Time that work takes on this machine now, as a multiple of the usual time.",
    )
    PEERS_OLDER = MetricInfo(
        "carobhook_peers_older",
        Kind.GAUGE,
        (),
        "Streams to instances whose build speaks an earlier version of the protocol.",
    )
    LINES_OMITTED = MetricInfo(
        "carobhook_log_lines_omitted",
        Kind.GAUGE,
        (),
        "Log lines left out since the start, as more came than the budget or reader bears.",
    )


class EntryMetrics:
    """Collects the metrics of an instance and renders them as text.

    Args:
        gauges: Functions that return the current value of each gauge.
    """

    def __init__(self, gauges: Mapping[EntryMetric, Callable[[], float]]) -> None:
        self._registry = registry.CollectorRegistry()
        self._collectors: dict[EntryMetric, typing.Any] = {}
        for metric in EntryMetric:
            info = metric.value
            if info.kind is Kind.COUNTER:
                collector: typing.Any = prometheus_client.Counter(
                    info.name, info.text, info.labels, registry=self._registry
                )
            elif info.kind is Kind.HISTOGRAM:
                collector = prometheus_client.Histogram(
                    info.name,
                    info.text,
                    info.labels,
                    registry=self._registry,
                    buckets=_BUCKETS_S,
                )
            else:
                collector = prometheus_client.Gauge(
                    info.name, info.text, registry=self._registry
                )
                collector.set_function(gauges[metric])
            self._collectors[metric] = collector

    def count(self, metric: EntryMetric, *labels: str) -> None:
        """Increment a counter by one."""
        self._child(metric, labels).inc()

    def observe(self, metric: EntryMetric, seconds: float, *labels: str) -> None:
        """Record a duration in seconds in a histogram."""
        self._child(metric, labels).observe(seconds)

    def _child(self, metric: EntryMetric, labels: tuple[str, ...]) -> typing.Any:
        """Return what counts for labels; the library has no child without labels."""
        collector = self._collectors[metric]
        return collector.labels(*labels) if labels else collector

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)
