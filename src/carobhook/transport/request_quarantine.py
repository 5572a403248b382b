"""Learns which requests end the servers that run them, and refuses these at all instances.

An attempt without a response is followed up: if its server accepts connections neither from
this instance nor from others, runs anew, or another one is at its address, the request gets a
mark, which all instances share.
"""

import math
import secrets
import typing
from collections.abc import Callable

import attrs
from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import catalog, known_ends, lost_attempts, objects, poison
from carobhook.platform import requests
from carobhook.protocol import mark_codec, slot_messages
from carobhook.state import ids, servers
from carobhook.transport import (
    client_connections,
    end_checks,
    server_connection,
    stored_marks,
)

Finding = end_checks.Finding

# Most marks that are sent to an instance on a new stream; the latest have precedence.
_MAX_SENT_MARKS = 2_000
# A call of `tick` that comes later than this tells that the instance did not run.
_MIN_STALL_S = 1.0
# Servers register again within two seconds of the store's return, and are listed then.
_TOLD_AGAIN_S = 4.0
# Clocks of machines differ by less than this, mostly.
_CLOCK_SLACK_S = 3.0
# Of an attempt whose sending is unknown, it is assumed that it ran for no longer.
_MAX_WORK_S = 10.0


@attrs.frozen
class MarkStore:
    """Where marks are kept so that they outlast the instances.

    Attributes:
        store: The platform's store.
        wall: Returns the time of day in seconds.
    """

    store: objects.ObjectStore
    wall: Callable[[], float]


class RequestQuarantine:
    """Marks of requests at this instance; implements `flow_interfaces.AttemptObserver`.

    Args:
        reactor: Source of time.
        own: Name of this instance.
        server_catalog: Tells which run of a server is the present one.
        checks: Checks whether servers have ended.
        mark_store: Where marks are kept.
        broadcast: Sends a message to all other instances.
        on_failure: Called with the failure of a check.
    """

    def __init__(
        self,
        reactor: typing.Any,
        own: ids.InstanceId,
        server_catalog: catalog.Catalog,
        checks: end_checks.EndChecks,
        mark_store: MarkStore,
        broadcast: Callable[[typing.Any], object],
        on_failure: Callable[[typing.Any], object],
    ) -> None:
        self._reactor = reactor
        self._catalog = server_catalog
        self._checks = checks
        self._broadcast = broadcast
        self._on_failure = on_failure
        self._quarantine = poison.Quarantine(own)
        self._known_ends = known_ends.KnownEnds()
        self._wall = mark_store.wall
        self._ticked_at = reactor.seconds()
        self._untold_until = -math.inf
        self._lost_attempts = lost_attempts.LostAttempts(self._log_settled)
        self._stored_marks = stored_marks.StoredMarks(
            reactor,
            mark_store.store,
            mark_store.wall,
            stored_marks.MarkCallbacks(
                self._add_stored,
                self._remove_stored,
                lambda: self._quarantine.marks(reactor.seconds()),
                self._quarantine.is_cleared,
                on_failure,
            ),
        )

    @property
    def stored(self) -> stored_marks.StoredMarks:
        """Return the marks in the store."""
        return self._stored_marks

    def is_quarantined(self, request: client_connections.ClientRequest) -> bool:
        """Return whether a request has ended so many servers that it is refused."""
        if self._quarantine.is_empty:
            return False
        return self._quarantine.is_quarantined(fingerprint(request), self._reactor.seconds())

    def refusal_marks(
        self, request_fingerprint: poison.Fingerprint
    ) -> list[slot_messages.RequestMarked]:
        """Return messages with the marks of a request that is refused, none if it is not."""
        now = self._reactor.seconds()
        if not self._quarantine.is_quarantined(request_fingerprint, now):
            return []
        marks = self._quarantine.marks(now)
        return [_mark_message(m, now) for m in marks if m.fingerprint == request_fingerprint]

    def run_of(self, server: ids.Server) -> servers.ServerRun:
        """Return the present run of a server."""
        return self._catalog.run_of(server) or servers.ServerRun(server)

    def attempt_lost(
        self,
        request: client_connections.ClientRequest,
        run: servers.ServerRun,
        address: str,
        is_broken: bool,
        sending: lost_attempts.Sending | None = None,
    ) -> None:
        """Record an attempt that ended without a response; its server is checked later.

        Args:
            request: The request.
            run: Run of the server that had it.
            address: Address of the server, ``host:port``.
            is_broken: Whether the connection broke, rather than that the attempt was given up.
            sending: When it was sent, None if that is not known.
        """
        now = self._reactor.seconds()
        self._lost_attempts.add(
            fingerprint(request),
            run,
            address,
            requests.request_id(request.head),
            is_broken,
            now,
            _alive_at(sending),
            sending.sent_at if sending is not None else -math.inf,
        )

    def record_response(self, server: ids.Server, opened_at: float) -> None:
        """Record that a server responded, so that it has not ended before.

        Args:
            server: The server.
            opened_at: Monotonic time in seconds by which the connection was open.
        """
        self._lost_attempts.record_response(server, self._reactor.seconds(), opened_at)

    def request_answered(self, request: client_connections.ClientRequest) -> None:
        """Clear the marks of a request that a server ran without a failure."""
        if self._quarantine.is_empty:
            return
        request_fingerprint = fingerprint(request)
        names = self._quarantine.clear(request_fingerprint)
        if names:
            _log_removal(request_fingerprint, names, "answered")
            self._broadcast(slot_messages.RequestCleared(request_fingerprint, names))
            self._stored_marks.discard(request_fingerprint, names)

    def tick(self) -> None:
        """Check the servers of lost attempts, and keep the marks in the store up to date."""
        self._stored_marks.tick()
        self._record_pause()
        for run in self._lost_attempts.ended_runs(self._catalog.run_of):
            evidence = end_checks.Evidence(Finding.RUNS_ANEW, self._reactor.seconds())
            self._record_end(run, evidence, self._catalog.run_of(run.server))
        for attempt in self._lost_attempts.unlisted(self._catalog.run_of):
            if self._is_replaced(attempt):
                evidence = end_checks.Evidence(Finding.REPLACED, self._reactor.seconds())
                self._record_end(attempt.run, evidence)
        for attempt in self._lost_attempts.due(self._reactor.seconds()):
            check = defer.ensureDeferred(self._check(attempt))
            check.addErrback(self._on_failure)

    def apply_mark(
        self,
        message: slot_messages.RequestMarked,
        answer: Callable[[slot_messages.RequestCleared], object] = lambda clearing: None,
    ) -> None:
        """Add the mark of another instance, or of the store.

        A new mark is forwarded, because not every instance has a stream to every other. A known
        one is not, or instances would forward it to each other without end.

        Args:
            message: The mark.
            answer: Sends the other instance word that the mark was cleared, which it missed.
        """
        if self._quarantine.is_cleared(message.fingerprint, message.name):
            answer(slot_messages.RequestCleared(message.fingerprint, (message.name,)))
            return
        expires_at = self._reactor.seconds() + message.remaining_ms / 1000
        mark = poison.Mark(message.fingerprint, message.name, message.source, expires_at)
        # Clocks of instances differ, so an end counts from when this one learns of it.
        self._known_ends.record(message.name, self._reactor.seconds())
        if self._quarantine.add(mark):
            self._broadcast(message)

    def apply_clearing(self, message: slot_messages.RequestCleared) -> None:
        """Remove the marks of a request that a server ran at another instance.

        The message is forwarded if it is news, because not every instance has a stream to every
        other. Otherwise it is not, or instances would forward it to each other without end.
        """
        if self._quarantine.remove(message.fingerprint, message.names):
            _log_removal(message.fingerprint, message.names, "peer")
            self._broadcast(message)

    def stop(self) -> None:
        """Cancel the call to the store in progress."""
        self._stored_marks.stop()

    def mark_messages(self) -> list[slot_messages.RequestMarked]:
        """Return messages with the marks of this instance, for one that may not know them."""
        now = self._reactor.seconds()
        marks = sorted(self._quarantine.marks(now), key=lambda mark: mark.expires_at)
        return [_mark_message(mark, now) for mark in marks[-_MAX_SENT_MARKS:]]

    async def _check(self, attempt: lost_attempts.LostAttempt) -> None:
        evidence = await self._checks.check(attempt.run.server, attempt.address)
        if evidence.finding in end_checks.ENDS:
            self._record_end(attempt.run, evidence)
        elif evidence.finding is Finding.ALIVE:
            self._lost_attempts.settle(attempt.run, lost_attempts.Settlement.ALIVE)
        # Also of those that take more evidence than this check gave.
        self._lost_attempts.retry(attempt.run, self._reactor.seconds())

    def _is_replaced(self, attempt: lost_attempts.LostAttempt) -> bool:
        """Return whether the store tells of another server that took an attempt's address."""
        if self._catalog.run_of(attempt.run.server) is not None:
            return False
        other = self._catalog.usable_entry_at(attempt.address)
        return other is not None and self._started_at_end(attempt, other.run)

    def _log_settled(self, attempt: lost_attempts.LostAttempt) -> None:
        """Log why an attempt that was followed up led to no mark."""
        logs.event(
            "attempt-settled",
            request=attempt.request_id,
            server=attempt.run.server,
            born=attempt.run.started_at_ms,
            reason=attempt.settlement,
            age_ms=round((self._reactor.seconds() - attempt.lost_at) * 1000, 1),
        )

    def _record_pause(self) -> None:
        """Record the time since the last call in which no end could be noticed."""
        now = self._reactor.seconds()
        elapsed_s, self._ticked_at = now - self._ticked_at, now
        if self._catalog.store_lost_at is not None:
            self._untold_until = now + _TOLD_AGAIN_S
        if elapsed_s > _MIN_STALL_S:
            self._lost_attempts.record_stall(elapsed_s, now)
        elif now < self._untold_until:
            self._lost_attempts.record_silence(elapsed_s)

    def _started_at_end(
        self, attempt: lost_attempts.LostAttempt, later: servers.ServerRun | None
    ) -> bool:
        """Return whether a later run started when the attempt's server may have ended.

        One that started long after an attempt was lost does not tell why its server ended.
        """
        if later is None or later.started_at_ms is None:
            return False
        started_ago_s = self._wall() - later.started_at_ms / 1000
        now = self._reactor.seconds()
        lost_ago_s = now - attempt.lost_at
        sent_ago_s = now - max(attempt.sent_at, attempt.lost_at - _MAX_WORK_S)
        earliest = sent_ago_s + _CLOCK_SLACK_S
        return (
            lost_ago_s - lost_attempts.LIFETIME_S - _CLOCK_SLACK_S <= started_ago_s <= earliest
        )

    def _record_end(
        self,
        run: servers.ServerRun,
        evidence: end_checks.Evidence,
        later: servers.ServerRun | None = None,
    ) -> None:
        """Mark the requests that a server ran when it ended, here and at other instances.

        Args:
            run: Run of the server that ended.
            evidence: How that was found out.
            later: The later run of which the store tells, if that is the evidence.
        """
        now = self._reactor.seconds()
        attempts = self._lost_attempts.take(
            run, lambda attempt: self._is_concerned(attempt, evidence, later)
        )
        names = [self._name_of_end(attempt) for attempt in attempts]
        for attempt, name in zip(attempts, names, strict=True):
            self._known_ends.record(name, evidence.at)
            mark = self._quarantine.record_end(attempt.fingerprint, name, now)
            if mark is None:
                attempt.settlement = lost_attempts.Settlement.KNOWN
                self._log_settled(attempt)
                continue
            logs.warning(
                "request-marked",
                request=attempt.request_id,
                fingerprint=attempt.fingerprint.hex(),
                server=run.server,
                run=name,
                reason=evidence.finding,
            )
            self._broadcast(_mark_message(mark, now))
            self._stored_marks.save(mark)

    def _name_of_end(self, attempt: lost_attempts.LostAttempt) -> str:
        """Return a name for the end of an attempt's server, if possible the same everywhere."""
        run_name = str(attempt.run)
        if attempt.run.started_at_ms is None:
            return f"{run_name}/{secrets.token_hex(8)}"
        number = self._known_ends.number_of(run_name, attempt.alive_at)
        return known_ends.name_of_end(run_name, number)

    def _is_concerned(
        self,
        attempt: lost_attempts.LostAttempt,
        evidence: end_checks.Evidence,
        later: servers.ServerRun | None,
    ) -> bool:
        """Return whether an end of its server concerns an attempt.

        A broken path looks like an end, and may come and go. A further end of a listed run
        therefore takes more evidence than the first.
        """
        is_recent = self._lost_attempts.is_recent(attempt, evidence.at)
        if not is_recent and not self._started_at_end(attempt, later):
            return False
        if attempt.alive_at > evidence.at:
            return False
        number = self._known_ends.number_of(str(attempt.run), attempt.alive_at)
        return number == 1 or evidence.is_certain

    def _add_stored(self, stored: mark_codec.StoredMark, remaining_s: float) -> None:
        """Add a mark that the store holds; it is sent on like that of an instance."""
        self.apply_mark(
            slot_messages.RequestMarked(
                stored.fingerprint,
                stored.name,
                ids.InstanceId(stored.source),
                round(remaining_s * 1000),
            )
        )

    def _remove_stored(self, stored: mark_codec.StoredMark) -> None:
        """Remove a mark that was deleted from the store; it is sent on like a clearing."""
        names = (stored.name,)
        if self._quarantine.remove(stored.fingerprint, names):
            _log_removal(stored.fingerprint, names, "store")
            self._broadcast(slot_messages.RequestCleared(stored.fingerprint, names))


def fingerprint(request: client_connections.ClientRequest) -> poison.Fingerprint:
    """Return the fingerprint of a request; it stays the same when the client repeats it."""
    head = request.head
    host = head.get("host") or ""
    parts = (request.client, host, head.method.decode("latin-1"), head.target.decode("latin-1"))
    return poison.fingerprint_of(parts, request.body)


def _log_removal(
    request_fingerprint: poison.Fingerprint, names: tuple[str, ...], source: str
) -> None:
    """Log that marks were removed, and who or what said so."""
    logs.event(
        "marks-removed", fingerprint=request_fingerprint.hex(), marks=len(names), source=source
    )


def _alive_at(sending: lost_attempts.Sending | None) -> float:
    """Return a monotonic time in seconds, at or after which the server of an attempt ran."""
    if sending is None:
        return -math.inf
    if sending.alive_at is not None:
        return sending.alive_at
    # No instance reuses a connection that has been idle for longer.
    return sending.sent_at - server_connection.MAX_IDLE_S


def _mark_message(mark: poison.Mark, now: float) -> slot_messages.RequestMarked:
    remaining_ms = round((mark.expires_at - now) * 1000)
    return slot_messages.RequestMarked(mark.fingerprint, mark.name, mark.source, remaining_ms)
