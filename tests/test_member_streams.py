"""Tests of carobhook.transport.member_streams."""

from twisted.internet import testing

import test_mixed_builds
from carobhook.protocol import membership_messages, peer_codec
from carobhook.state import ids, members
from carobhook.transport import member_streams, peers

KEY = b"shared"
REGION = ids.Region("r")


def member(name, peers_address):
    """Return the state of an instance."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation("0" * 16),
        REGION,
        ids.FailureDomain("d"),
        "",
        peers_address,
        members.Phase.READY,
        ids.Version(0),
    )


class TestReplacedStream:
    """A stream to a known instance broke and was opened again."""

    def setup_method(self):
        """Create the streams of an instance that knows another one."""
        self.reactor = testing.MemoryReactorClock()
        self.replaced = []
        own = member("own", "127.0.0.1:1")
        self.streams = member_streams.MemberStreams(
            self.reactor,
            peers.Identity(own.name, own.incarnation, KEY),
            lambda: own,
            member_streams.MembershipCallbacks(
                lambda sender, message: None,
                lambda name: None,
                lambda: None,
                on_stream_replaced=self.replaced.append,
            ),
        )
        other = member("other", "127.0.0.1:2")
        self.streams.membership.record_heartbeat(other, self.reactor.seconds())
        self.streams.send(other.name, membership_messages.StreamClosing())

    def open_stream(self):
        """Accept the latest connection, and let it become ready."""
        stream = self.reactor.tcpClients[-1][2].buildProtocol(None)
        stream.makeConnection(test_mixed_builds.Transport())
        challenge = membership_messages.Challenge(b"n" * 16)
        stream.dataReceived(peer_codec.CODEC.encode(challenge))

    def test_instance_is_named_with_each_new_stream(self):
        """What was sent to it before may be lost."""
        self.open_stream()
        assert self.replaced == ["other"]
        self.open_stream()
        assert self.replaced == ["other", "other"]
