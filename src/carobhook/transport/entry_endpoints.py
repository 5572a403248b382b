"""HTTP endpoints of an instance for readiness checks, directory lookups and metrics."""

import time
import typing
from collections.abc import Callable, Sequence

from carobhook import entry_metrics, logs
from carobhook.coordination import directory, lookup_shares, membership, moved_clients
from carobhook.platform import requests
from carobhook.protocol import client_api, http1
from carobhook.state import ids, members
from carobhook.transport import client_connections

METRICS_PATH = b"/metrics"
# Maximum time for which clients may cache a response to a directory lookup. Clients connect to
# the cached addresses, so an instance that stops must accept connections for longer than this.
DIRECTORY_TTL_S = 2.0
_MAX_ADDRESSES = 64

_Responder = Callable[[http1.Response], None]


class EntryEndpoints:
    """Handlers for readiness checks, directory lookups and metrics.

    Args:
        reactor: Source of time.
        known_members: Instances that this instance knows.
        metrics: Counters and histograms.
        phase: Returns the phase of this instance.
        ttl_max_s: Returns the configured upper limit, in seconds, on how long clients may cache
            a response to a directory lookup.
        wall_time: Returns the time of day in seconds. All directories choose alike by it.
    """

    def __init__(
        self,
        reactor: typing.Any,
        known_members: membership.Membership,
        metrics: entry_metrics.EntryMetrics,
        phase: Callable[[], members.Phase],
        ttl_max_s: Callable[[], float],
        wall_time: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._known_members = known_members
        self._metrics = metrics
        self._phase = phase
        self._ttl_max_s = ttl_max_s
        self._wall_time = wall_time
        self._shares = lookup_shares.LookupShares()
        self._split = moved_clients.LookupSplit()

    def handle_metrics(
        self, request: client_connections.ClientRequest, respond: _Responder
    ) -> None:
        """Respond with all metrics as text."""
        if request.head.target.partition(b"?")[0] != METRICS_PATH:
            respond(client_connections.local_response(404))
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8"),)
        respond(http1.Response(200, b"OK", headers, self._metrics.render()))

    def handle_readiness(
        self, request: client_connections.ClientRequest, respond: _Responder
    ) -> None:
        """Respond with status 200 if this instance accepts requests of clients, else 503."""
        is_ready = self._phase() is members.Phase.READY
        respond(client_connections.local_response(200 if is_ready else 503))

    def handle_directory(
        self, request: client_connections.ClientRequest, respond: _Responder
    ) -> None:
        """Respond to a directory lookup of the platform or of the client API.

        The path of the lookup determines the format of the query and of the response.
        """
        target = request.head.target
        encode = requests.encode_directory_response
        lookup = requests.parse_directory_query(target)
        if lookup is None:
            encode = client_api.lookup_response
            lookup = client_api.parse_lookup(target)
        if lookup is None:
            respond(client_connections.local_response(404))
            return
        response = encode(
            self._addresses(lookup, request.client), min(self._ttl_max_s(), DIRECTORY_TTL_S)
        )
        self._metrics.count(entry_metrics.EntryMetric.LOOKUPS, str(response.status))
        respond(response)

    def _addresses(self, lookup: client_api.Lookup, client: str) -> list[str]:
        """Return the addresses of the instances that a client should use.

        An instance that starts may have heard of no other in the client's region yet. It then
        names none, so that the client asks another directory, which knows more.

        Args:
            lookup: The client's region and failure domain.
            client: Address of the client's host.
        """
        now = self._reactor.seconds()
        serving = self._known_members.serving(now)
        moved_share = moved_clients.region_share(serving, lookup.region)
        is_elsewhere = self._split.leads_elsewhere(lookup.region, moved_share)
        nearest = directory.nearest(serving, lookup.region, lookup.failure_domain, is_elsewhere)
        chosen = directory.choose_weighted(nearest, client, self._wall_time())
        if any(member.region == lookup.region for member in serving):
            self._record_share(lookup.region, chosen, serving, now)
        elif chosen:
            if self._phase() is members.Phase.STARTING:
                return []
            logs.event(
                "lookup-outside-region",
                region=lookup.region,
                zone=lookup.failure_domain,
                ready=self._phase() is members.Phase.READY,
                serving=len(serving),
                known=len(self._known_members.live(now)),
            )
        return [member.http for member in chosen[:_MAX_ADDRESSES]]

    def _record_share(
        self,
        region: ids.Region,
        chosen: Sequence[members.Member],
        serving: Sequence[members.Member],
        now: float,
    ) -> None:
        """Count an answer, and log how many of the region's clients are led elsewhere."""
        elsewhere = sum(member.region != region for member in chosen)
        for _ in range(elsewhere):
            self._metrics.count(entry_metrics.EntryMetric.LOOKUPS_ELSEWHERE, region)
        report = self._shares.record(region, chosen, now)
        if report is None:
            return
        in_region = [member for member in serving if member.region == region]
        logs.warning(
            "lookups-elsewhere",
            region=region,
            share=round(report.share, 2),
            previous=round(report.previous, 2),
            lookups=report.lookups,
            in_region=len(in_region),
            slow=sum(member.is_slow for member in in_region),
            slow_elsewhere=sum(member.is_slow for member in serving if member.region != region),
        )
