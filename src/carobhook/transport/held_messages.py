"""Messages that wait a moment for a stream to their receiver."""

import typing

import attrs

from carobhook import logs
from carobhook.state import ids

# A stream to a live instance opens in less time, also after one that broke.
_MAX_WAIT_S = 1.0
# Messages that wait for one receiver.
_MAX_MESSAGES = 1024


class PeerSender(typing.Protocol):
    """Sends messages to other instances."""

    def send(self, name: ids.InstanceId, message: typing.Any) -> bool:
        """Send a message to an instance; return False if there is no stream to it."""


@attrs.define
class HeldMessages:
    """Messages to instances to which there is no stream yet, in their order.

    Load pattern: each side of two instances opens a stream of its own, so that the first
    request of an instance may arrive before there is a stream for its answer. The receiver of a
    lost answer would wait until its deadline.

    Args:
        peers: Sends messages to other instances.
    """

    _peers: PeerSender
    _held: dict[ids.InstanceId, list[tuple[float, typing.Any]]] = attrs.field(
        factory=dict, init=False
    )

    def send(self, to: ids.InstanceId, message: typing.Any, now: float) -> bool:
        """Send a message after those that wait; return False if there is no stream.

        Args:
            to: The receiver.
            message: The message.
            now: Monotonic time in seconds.
        """
        return self._flush(to, now) and self._peers.send(to, message)

    def deliver(self, to: ids.InstanceId, message: typing.Any, now: float) -> None:
        """Send a message now, or once there is a stream.

        Args:
            to: The receiver.
            message: The message.
            now: Monotonic time in seconds.
        """
        if self.send(to, message, now):
            return
        held = self._held.setdefault(to, [])
        if len(held) < _MAX_MESSAGES:
            held.append((now, message))
        else:
            _log_dropped(to, 1, "too-many")

    def tick(self, now: float) -> None:
        """Send the messages whose streams have opened, and drop those that are too old.

        Args:
            now: Monotonic time in seconds.
        """
        for to in list(self._held):
            self._flush(to, now)

    def remove(self, to: ids.InstanceId) -> None:
        """Drop the messages to an instance that has ended or was restarted."""
        held = self._held.pop(to, ())
        if held:
            _log_dropped(to, len(held), "member-lost")

    def _flush(self, to: ids.InstanceId, now: float) -> bool:
        """Send the messages that wait for a receiver; return whether none are left."""
        held = self._held.pop(to, None)
        if held is None:
            return True
        recent = [entry for entry in held if now - entry[0] <= _MAX_WAIT_S]
        if len(recent) < len(held):
            _log_dropped(to, len(held) - len(recent), "no-stream")
        for index, (_, message) in enumerate(recent):
            if not self._peers.send(to, message):
                self._held[to] = recent[index:]
                return False
        return True


def _log_dropped(to: ids.InstanceId, count: int, reason: str) -> None:
    logs.warning("messages-dropped", member=to, messages=count, reason=reason)
