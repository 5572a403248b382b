"""Checks whether a backend server accepts connections, from here and from other instances.

A connection that cannot be opened does not tell whether the server has ended or the path to it
is broken. Another instance has another path.
"""

import random
import secrets
import typing
from collections.abc import Awaitable, Callable, Sequence

from twisted.internet import defer

from carobhook.protocol import path_messages
from carobhook.state import ids
from carobhook.transport import shared_calls

# Number of other instances that are asked.
_MAX_ASKED = 2
# Time for their answers: opening a connection and the way there and back.
_ANSWER_WAIT_S = 1.0
# An answer for which there is no stream yet is sent again after this time, this many times.
_RESEND_S = 0.1
_MAX_RESENDS = 5


class ReachChecks:
    """Checks of servers by this instance, and for others that ask.

    Args:
        reactor: Source of timers.
        rng: Chooses the instances that are asked.
        probe: Returns whether a server accepts a connection of this instance.
        is_known: Returns whether a server has an address; nothing else is probed for others.
        is_trusted: Returns whether a failed probe of a server by this instance says anything
            of that server.
        peers: Returns the other instances that can be asked.
        send: Sends a message to an instance; returns False if there is no stream to it.
    """

    def __init__(
        self,
        reactor: typing.Any,
        rng: random.Random,
        probe: Callable[[str], Awaitable[bool]],
        is_known: Callable[[str], bool],
        is_trusted: Callable[[str], Awaitable[bool]],
        peers: Callable[[], Sequence[ids.InstanceId]],
        send: Callable[[ids.InstanceId, typing.Any], bool],
    ) -> None:
        self._reactor = reactor
        self._rng = rng
        self._is_known = is_known
        self._is_trusted = is_trusted
        self._peers = peers
        self._send = send
        self._pending: dict[str, defer.Deferred] = {}
        self._probes = shared_calls.SharedCalls(probe)

    async def has_ended(self, address: str) -> bool:
        """Return whether a server accepts connections neither from here nor from elsewhere.

        Args:
            address: Address of the server, ``host:port``.
        """
        if await self._probes.call(address):
            return False
        return await self.reach_of_others(address) is not path_messages.Reach.REACHED

    async def reach_of_others(self, address: str) -> path_messages.Reach:
        """Return whether one of the other instances that were asked reaches a server.

        UNKNOWN is returned if none of them can tell.

        Args:
            address: Address of the server, ``host:port``.
        """
        candidates = list(self._peers())
        self._rng.shuffle(candidates)
        answers: list[defer.Deferred] = []
        for name in candidates:
            if len(answers) == _MAX_ASKED:
                break
            answer = self._ask(name, address)
            if answer is not None:
                answers.append(answer)
        found = path_messages.Reach.UNKNOWN
        for answer in answers:
            reach = await answer
            if reach is path_messages.Reach.REACHED:
                return reach
            if reach is path_messages.Reach.UNREACHED:
                found = reach
        return found

    def handle_message(
        self, sender: ids.InstanceId, message: path_messages.ReachMessage
    ) -> None:
        """Answer the query of another instance, or record its answer."""
        if isinstance(message, path_messages.ReachReport):
            pending = self._pending.pop(message.id, None)
            if pending is not None:
                pending.callback(message.reach)
            return
        if not self._is_known(message.address):
            unknown = path_messages.ReachReport(message.id, path_messages.Reach.UNKNOWN)
            self._send_report(sender, unknown, _MAX_RESENDS)
            return
        checked = defer.ensureDeferred(self._reach(message.address))
        checked.addCallback(self._answer, sender, message.id)

    def stop(self) -> None:
        """Answer the queries in progress as unknown."""
        for query_id in list(self._pending):
            self._expire(query_id)

    async def _reach(self, address: str) -> path_messages.Reach:
        """Return whether this instance reaches a server."""
        if await self._probes.call(address):
            return path_messages.Reach.REACHED
        if await self._is_trusted(address):
            return path_messages.Reach.UNREACHED
        return path_messages.Reach.UNKNOWN

    def _ask(self, name: ids.InstanceId, address: str) -> defer.Deferred | None:
        """Ask an instance; return the deferred answer, None without a stream to it."""
        query_id = secrets.token_hex(8)
        if not self._send(name, path_messages.ReachQuery(query_id, address)):
            return None
        answer: defer.Deferred = defer.Deferred()
        self._pending[query_id] = answer
        timer = self._reactor.callLater(_ANSWER_WAIT_S, self._expire, query_id)
        answer.addCallback(_cancel_timer, timer)
        return answer

    def _expire(self, query_id: str) -> None:
        pending = self._pending.pop(query_id, None)
        if pending is not None:
            pending.callback(path_messages.Reach.UNKNOWN)

    def _answer(
        self, reach: path_messages.Reach, sender: ids.InstanceId, query_id: str
    ) -> None:
        self._send_report(sender, path_messages.ReachReport(query_id, reach), _MAX_RESENDS)

    def _send_report(
        self, to: ids.InstanceId, report: path_messages.ReachReport, resends: int
    ) -> None:
        if not self._send(to, report) and resends > 0:
            self._reactor.callLater(_RESEND_S, self._send_report, to, report, resends - 1)


def _cancel_timer(result: typing.Any, timer: typing.Any) -> typing.Any:
    if timer.active():
        timer.cancel()
    return result
