"""Answers what the platform, clients and monitoring ask of an instance beside requests."""

import typing
from collections.abc import Callable

from carobhook import entry_metrics
from carobhook.coordination import directory, membership
from carobhook.platform import requests
from carobhook.protocol import client_api, http1
from carobhook.transport import client_connections

METRICS_PATH = b"/metrics"
DIRECTORY_TTL_S = 2.0
_MOST_ADDRESSES = 64

_Answer = Callable[[http1.Response], None]


class EntryAnswers:
    """Handlers of the addresses for readiness, directory and metrics.

    Args:
        reactor: Source of time.
        roster: Instances that were heard.
        metrics: Counters and histograms.
        is_ready: Tells whether clients are taken.
        ttl_max_s: Returns the longest time in seconds that clients may keep an answer.
    """

    def __init__(
        self,
        reactor: typing.Any,
        roster: membership.Membership,
        metrics: entry_metrics.EntryMetrics,
        is_ready: Callable[[], bool],
        ttl_max_s: Callable[[], float],
    ) -> None:
        self._reactor = reactor
        self._roster = roster
        self._metrics = metrics
        self._is_ready = is_ready
        self._ttl_max_s = ttl_max_s

    def take_metrics(self, inbound: client_connections.Inbound, answer: _Answer) -> None:
        """Answer with all metrics as text."""
        if inbound.head.target.partition(b"?")[0] != METRICS_PATH:
            answer(client_connections.own_answer(404))
            return
        headers = ((b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8"),)
        answer(http1.Response(200, b"OK", headers, self._metrics.render()))

    def take_readiness(self, inbound: client_connections.Inbound, answer: _Answer) -> None:
        """Answer whether this instance takes clients."""
        answer(client_connections.own_answer(200 if self._is_ready() else 503))

    def take_directory(self, inbound: client_connections.Inbound, answer: _Answer) -> None:
        """Answer where a client connects to, in the form in which it asked."""
        target = inbound.head.target
        encode = requests.encode_directory_response
        lookup = requests.parse_directory_query(target)
        if lookup is None:
            encode = client_api.lookup_response
            lookup = client_api.parse_lookup(target)
        if lookup is None:
            answer(client_connections.own_answer(404))
            return
        told = encode(
            self._addresses(lookup, inbound.client), min(self._ttl_max_s(), DIRECTORY_TTL_S)
        )
        self._metrics.count(entry_metrics.EntryMetric.LOOKUPS, str(told.status))
        answer(told)

    def _addresses(self, lookup: client_api.Lookup, client: str) -> list[str]:
        """Return where a client of a failure domain connects to."""
        now = self._reactor.seconds()
        serving = self._roster.serving(now)
        near = directory.nearest(serving, lookup.region, lookup.failure_domain)
        told = directory.choose_weighted(near, client, now)
        return [member.http for member in told[:_MOST_ADDRESSES]]
