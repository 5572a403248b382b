"""Attempts that ended without a response, until it is known whether their servers ended too.

A connection that broke, a client that left and a deadline that passed all leave open what
became of the server that ran the request.
"""

import enum
import itertools
import math
from collections.abc import Callable

import attrs

from carobhook.coordination import poison
from carobhook.state import ids, servers

# A connection that broke is followed up after this time, in which an ending process closes its
# other sockets too.
_BROKEN_CHECK_S = 0.05
# An attempt that this instance gave up is followed up later, as the server may go on with it.
_GIVEN_UP_CHECK_S = 1.0
# A response this long after the attempt shows that the server goes on running.
_HEARD_MARGIN_S = 0.3
# For this long, another run of the server shows that the attempt's run has ended. Time in which
# the store does not tell, or this instance does not run, does not count.
LIFETIME_S = 6.0
# An attempt is forgotten after this time in any case.
_MAX_AGE_S = 120.0
# A check that told nothing is made again after this time, and later ones after twice as long
# each time.
_RETRY_S = 0.5
# A run is checked at most this often, as a check uses a slot of the server.
_CHECK_INTERVAL_S = 0.5
# Connections to a server of which responses are remembered.
_MAX_HEARD = 32
# Limit of memory use; beyond it, the oldest entries are dropped.
_MAX_ATTEMPTS = 2_000


class Settlement(enum.Enum):
    """How an attempt was settled that led to no mark.

    UNCHECKED: No check of its server has ended yet.
    HEARD: Its server responded later.
    ALIVE: A server accepts connections at the address.
    UNKNOWN: The check of its server told nothing.
    KNOWN: The end of its server was known before, with a mark of the request.
    EVICTED: It was dropped early, as there were too many.
    """

    UNCHECKED = "unchecked"
    HEARD = "heard"
    ALIVE = "alive"
    UNKNOWN = "unknown"
    KNOWN = "known"
    EVICTED = "evicted"


# An attempt of which no more is known than this is still in doubt.
_OPEN = frozenset({Settlement.UNCHECKED, Settlement.UNKNOWN})


@attrs.frozen
class Paused:
    """Time in seconds that does not count toward the age of an attempt.

    Attributes:
        stalled_s: Time in which this instance did not run.
        untold_s: Time in which the store did not tell of servers.
    """

    stalled_s: float = 0.0
    untold_s: float = 0.0


@attrs.frozen
class Sending:
    """When an attempt was sent, and what its connection told of the server.

    Attributes:
        sent_at: Monotonic time in seconds.
        alive_at: Monotonic time in seconds, at or after which the server ran by what the
            connection tells; None if another instance has the connection.
    """

    sent_at: float
    alive_at: float | None = None


@attrs.define(eq=False)
class LostAttempt:
    """An attempt that ended without a response.

    Attributes:
        fingerprint: Fingerprint of the request.
        run: Run of the server that had the request.
        address: Address of the server, ``host:port``.
        request_id: Id that the client gave the request, for the log, or None.
        lost_at: Monotonic time in seconds at which it ended.
        check_at: Monotonic time in seconds at which the server is checked, None if it has been.
        paused: Time that does not count toward its age, at the time at which it was added.
        retry_s: Seconds until the next check if that one tells nothing.
        alive_at: Monotonic time in seconds, at or after which the server ran that the request
            was sent to.
        sent_at: Monotonic time in seconds at which it was sent, or before.
        settlement: What is known of it so far, if it leads to no mark.
    """

    fingerprint: poison.Fingerprint
    run: servers.ServerRun
    address: str
    request_id: str | None
    lost_at: float
    check_at: float | None
    alive_at: float = -math.inf
    sent_at: float = -math.inf
    paused: Paused = Paused()
    retry_s: float = _RETRY_S
    settlement: Settlement = Settlement.UNCHECKED


@attrs.define
class _Heard:
    """Responses of a server.

    A response on a connection that was open before an attempt was sent comes from the run that
    had the attempt. On one that was opened later it may come from the next run.
    """

    # Monotonic times in seconds of the last responses, by the time of their connection's
    # opening.
    _last_at: dict[float, float] = attrs.field(factory=dict, init=False)

    def record(self, opened_at: float, now: float) -> None:
        """Record a response on a connection."""
        self._last_at.pop(opened_at, None)
        self._last_at[opened_at] = now
        if len(self._last_at) > _MAX_HEARD:
            del self._last_at[next(iter(self._last_at))]

    def shows_life_after(self, attempt: LostAttempt) -> bool:
        """Return whether a response shows that an attempt's server went on running."""
        return any(
            opened_at <= attempt.sent_at and heard_at >= attempt.lost_at + _HEARD_MARGIN_S
            for opened_at, heard_at in self._last_at.items()
        )


@attrs.define
class LostAttempts:
    """Lost attempts of this instance, by the run of their server.

    Attributes:
        on_dropped: Called with an attempt that led to no mark, as it is forgotten.
    """

    on_dropped: Callable[[LostAttempt], object] = lambda attempt: None
    _by_run: dict[servers.ServerRun, list[LostAttempt]] = attrs.field(factory=dict, init=False)
    _count: int = attrs.field(default=0, init=False)
    _paused: Paused = attrs.field(default=Paused(), init=False)
    # What was heard of servers, while there are attempts.
    _heard: dict[ids.Server, _Heard] = attrs.field(factory=dict, init=False)
    # Monotonic times in seconds of the last checks, by run.
    _checked_at: dict[servers.ServerRun, float] = attrs.field(factory=dict, init=False)

    @property
    def is_empty(self) -> bool:
        """Return whether there are none."""
        return not self._by_run

    def add(
        self,
        fingerprint: poison.Fingerprint,
        run: servers.ServerRun,
        address: str,
        request_id: str | None,
        is_broken: bool,
        now: float,
        alive_at: float = -math.inf,
        sent_at: float = -math.inf,
    ) -> None:
        """Add an attempt.

        Args:
            fingerprint: Fingerprint of the request.
            run: Run of the server that had the request.
            address: Address of the server, ``host:port``.
            request_id: Id that the client gave the request, for the log, or None.
            is_broken: Whether the connection broke, rather than that the attempt was given up.
            now: Monotonic time in seconds.
            alive_at: Monotonic time in seconds, at or after which the server ran.
            sent_at: Monotonic time in seconds at which it was sent, or before.
        """
        if self._count >= _MAX_ATTEMPTS:
            self._evict(next(iter(self._by_run)))
        check_at = now + (_BROKEN_CHECK_S if is_broken else _GIVEN_UP_CHECK_S)
        attempt = LostAttempt(
            fingerprint,
            run,
            address,
            request_id,
            now,
            check_at,
            alive_at,
            sent_at,
            self._paused,
        )
        self._by_run.setdefault(run, []).append(attempt)
        self._count += 1

    def record_silence(self, untold_s: float) -> None:
        """Record that the store has told nothing for some seconds."""
        total_s = self._paused.untold_s + untold_s
        self._paused = attrs.evolve(self._paused, untold_s=total_s)

    def record_stall(self, stalled_s: float, now: float) -> None:
        """Record that this instance has not run for some seconds.

        Args:
            stalled_s: The seconds.
            now: Monotonic time in seconds.
        """
        total_s = self._paused.stalled_s + stalled_s
        for attempt in itertools.chain.from_iterable(self._by_run.values()):
            if attempt.lost_at > now - stalled_s:
                # It was lost in or after that time, of which only the rest concerns it.
                before_s = total_s - (now - attempt.lost_at)
                attempt.paused = attrs.evolve(attempt.paused, stalled_s=before_s)
        self._paused = attrs.evolve(self._paused, stalled_s=total_s)

    def is_recent(self, attempt: LostAttempt, now: float) -> bool:
        """Return whether an end of its server that is noticed now concerns an attempt.

        Args:
            attempt: The attempt.
            now: Monotonic time in seconds.
        """
        stalled_s = self._paused.stalled_s - attempt.paused.stalled_s
        return now - attempt.lost_at - stalled_s <= LIFETIME_S

    def record_response(
        self, server: ids.Server, now: float, opened_at: float = -math.inf
    ) -> None:
        """Record that a server responded, so that it goes on running.

        Args:
            server: The server.
            now: Monotonic time in seconds.
            opened_at: Monotonic time in seconds by which the connection was open.
        """
        if self._by_run:
            self._heard.setdefault(server, _Heard()).record(opened_at, now)

    def due(self, now: float) -> list[LostAttempt]:
        """Return one attempt for each server to be checked now, and drop those too old.

        A server that was heard a while after the attempt needs no check.

        Args:
            now: Monotonic time in seconds.
        """
        due = []
        for run, attempts in list(self._by_run.items()):
            if now - self._checked_at.get(run, -math.inf) >= _CHECK_INTERVAL_S:
                due += self._due_of(run, attempts, now)
            self._drop_old(run, now)
        if not self._by_run:
            self._heard.clear()
        return due

    def _due_of(
        self, run: servers.ServerRun, attempts: list[LostAttempt], now: float
    ) -> list[LostAttempt]:
        """Return the attempt for which a run is checked now, if there is one."""
        heard = self._heard.get(run.server, _Heard())
        unheard = []
        for attempt in attempts:
            if attempt.check_at is None or now < attempt.check_at:
                continue
            attempt.check_at = None
            if not self.is_recent(attempt, now):
                continue
            if heard.shows_life_after(attempt):
                attempt.settlement = Settlement.HEARD
            else:
                unheard.append(attempt)
        if unheard:
            self._checked_at[run] = now
        return unheard[:1]

    def settle(self, run: servers.ServerRun, settlement: Settlement) -> None:
        """Record what a check has found out about the attempts on a run of a server."""
        for attempt in self._checked(run):
            attempt.settlement = settlement

    def retry(self, run: servers.ServerRun, now: float) -> None:
        """Check a run again later, as a check has told nothing of its attempts.

        Args:
            run: The run.
            now: Monotonic time in seconds.
        """
        for attempt in self._checked(run):
            attempt.settlement = Settlement.UNKNOWN
            attempt.check_at = now + attempt.retry_s
            attempt.retry_s *= 2.0

    def _checked(self, run: servers.ServerRun) -> list[LostAttempt]:
        """Return the attempts on a run whose check told nothing so far."""
        return [
            attempt
            for attempt in self._by_run.get(run, ())
            if attempt.check_at is None and attempt.settlement in _OPEN
        ]

    def ended_runs(
        self, current_run: Callable[[ids.Server], servers.ServerRun | None]
    ) -> list[servers.ServerRun]:
        """Return the runs that have ended, as their servers run anew.

        Args:
            current_run: Returns the present run of a server, or None if it is not known.
        """
        return [run for run in self._by_run if current_run(run.server) not in (None, run)]

    def unlisted(
        self, current_run: Callable[[ids.Server], servers.ServerRun | None]
    ) -> list[LostAttempt]:
        """Return the first attempt on each run whose server is not listed any more.

        Args:
            current_run: Returns the present run of a server, or None if it is not known.
        """
        return [
            attempts[0]
            for run, attempts in self._by_run.items()
            if attempts and current_run(run.server) is None
        ]

    def take(
        self,
        run: servers.ServerRun,
        is_concerned: Callable[[LostAttempt], bool] = lambda attempt: True,
    ) -> list[LostAttempt]:
        """Remove and return the attempts on a run of a server.

        Args:
            run: The run.
            is_concerned: Returns whether an attempt is removed.
        """
        attempts = self._by_run.get(run, [])
        taken = [attempt for attempt in attempts if is_concerned(attempt)]
        concerned = set(taken)
        self._keep(run, [a for a in attempts if a not in concerned])
        return taken

    def _drop_old(self, run: servers.ServerRun, now: float) -> None:
        """Forget the attempts on a run that are too old."""
        attempts = self._by_run[run]
        kept = []
        for attempt in attempts:
            if self._is_old(attempt, now):
                self.on_dropped(attempt)
            else:
                kept.append(attempt)
        self._keep(run, kept)

    def _is_old(self, attempt: LostAttempt, now: float) -> bool:
        """Return whether nothing that is learned now concerns an attempt."""
        age_s = now - attempt.lost_at
        untold_s = self._paused.untold_s - attempt.paused.untold_s
        return age_s > _MAX_AGE_S or not self.is_recent(attempt, now - untold_s)

    def _keep(self, run: servers.ServerRun, attempts: list[LostAttempt]) -> None:
        """Replace the attempts on a run."""
        self._count += len(attempts) - len(self._by_run.get(run, ()))
        if attempts:
            self._by_run[run] = attempts
        else:
            self._by_run.pop(run, None)
            self._checked_at.pop(run, None)

    def _evict(self, run: servers.ServerRun) -> None:
        """Forget the attempts on a run, to make room for others."""
        for attempt in self.take(run):
            attempt.settlement = Settlement.EVICTED
            self.on_dropped(attempt)
