"""Tests of carobhook.transport.member_streams."""

import attrs
from twisted.internet import testing

import test_mixed_builds
from carobhook.protocol import membership_messages, peer_codec, slot_messages
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
        """Accept the latest connection, and let it become ready; return its transport."""
        stream = self.reactor.tcpClients[-1][2].buildProtocol(None)
        transport = test_mixed_builds.Transport()
        stream.makeConnection(transport)
        challenge = membership_messages.Challenge(b"n" * 16)
        stream.dataReceived(peer_codec.CODEC.encode(challenge))
        return transport

    def test_instance_is_named_with_each_new_stream(self):
        """What was sent to it before may be lost."""
        self.open_stream()
        assert self.replaced == ["other"]
        self.open_stream()
        assert self.replaced == ["other", "other"]

    def test_state_is_sent_before_what_was_lost(self):
        """The receiver has to know the sender to answer what is sent once more."""
        message = slot_messages.NotDispatcher(ids.RequestId("1"))
        self.streams._callbacks = attrs.evolve(
            self.streams._callbacks,
            on_stream_replaced=lambda name: self.streams.send(name, message),
        )
        frames = self.open_stream().read_frames()
        assert [frame[0] for frame in frames] == [
            "Hello",
            "Heartbeat",
            "RosterTold",
            "SlotMoved",
        ]


class SentMessages:
    """Takes the place of the streams to other instances, and keeps what is broadcast."""

    def __init__(self):
        self.broadcasts = []

    def broadcast(self, message):
        """Keep a message."""
        self.broadcasts.append(message)

    def connect(self, address):
        """Open no stream."""

    def send(self, address, message):
        """Send nothing, as there is no stream."""
        return False

    def set_addresses(self, addresses):
        """Open and close no streams."""


class Run:
    """One run of an instance, which announces its state in heartbeats."""

    def __init__(self, reactor, name, run, phase=members.Phase.STARTING):
        self.reactor = reactor
        self.own = attrs.evolve(
            member(name, f"{name}:2"), incarnation=ids.Incarnation(run * 16), phase=phase
        )
        self.lost, self.changes = [], []
        self.streams = member_streams.MemberStreams(
            reactor,
            peers.Identity(self.own.name, self.own.incarnation, KEY),
            lambda: self.own,
            member_streams.MembershipCallbacks(
                lambda sender, message: None,
                self.lost.append,
                lambda: self.changes.append(None),
            ),
        )
        self.streams._peers = SentMessages()

    def announce(self, phase):
        """Enter a phase, and return the state that the next heartbeat announces."""
        self.reactor.advance(0.1)
        self.own = attrs.evolve(self.own, phase=phase)
        self.streams.send_heartbeats()
        return self.streams._peers.broadcasts[-1].member

    def receive(self, sender, *listed, lost=(), is_whole=False):
        """Handle an update of another instance."""
        update = membership_messages.RosterUpdate(tuple(listed), tuple(lost), is_whole)
        self.streams._handle_message(ids.InstanceId(sender), update)

    def known(self, name):
        """Return the state of an instance as this one knows it."""
        return self.streams.membership.get(ids.InstanceId(name))


class TestOldCopies:
    """Others report what they know of an instance that was restarted, each at its own time.

    A present run that is taken for lost loses its slots, its queued slot requests and the
    requests that are relayed through it.
    """

    def setup_method(self):
        """Start an observer, and let an instance announce two runs."""
        self.reactor = testing.MemoryReactorClock()
        self.reactor.advance(100.0)
        self.observer = Run(self.reactor, "own", "9", members.Phase.READY)
        self.observer.announce(members.Phase.READY)
        former = Run(self.reactor, "m", "a")
        self.former_ready = former.announce(members.Phase.READY)
        self.former_leaving = former.announce(members.Phase.LEAVING)
        present = Run(self.reactor, "m", "b")
        self.starting = present.announce(members.Phase.STARTING)
        self.ready = present.announce(members.Phase.READY)

    def test_restart_is_learned_from_an_update(self):
        """The former run is lost, once."""
        self.observer.receive("r1", self.former_leaving, is_whole=True)
        self.observer.receive("r2", self.ready, is_whole=True)
        assert self.observer.known("m") == self.ready
        assert self.observer.lost == ["m"]

    def test_former_run_is_not_taken_for_the_present_one(self):
        """An instance that has a new stream lists all that it knows, also what is old."""
        self.observer.receive("r1", self.ready, is_whole=True)
        for old in (self.former_leaving, self.former_ready):
            self.observer.receive("r2", old, is_whole=True)
            assert self.observer.known("m") == self.ready
        assert self.observer.lost == []

    def test_earlier_phase_of_the_present_run(self):
        """It does not take an instance out of the directory that has become ready since."""
        self.observer.receive("r1", self.ready, is_whole=True)
        changes = len(self.observer.changes)
        self.observer.receive("r2", self.starting, is_whole=True)
        assert self.observer.known("m") == self.ready
        assert len(self.observer.changes) == changes

    def test_loss_of_the_former_run(self):
        """It does not remove the present run, of which another instance has told already."""
        self.observer.receive("r1", self.former_leaving, is_whole=True)
        self.observer.receive("r2", self.ready, is_whole=True)
        self.observer.receive("r1", lost=["m"])
        assert self.observer.known("m") == self.ready
        assert self.observer.lost == ["m"]

    def test_loss_of_the_present_run(self):
        """It removes the instance."""
        self.observer.receive("r1", self.ready, is_whole=True)
        self.observer.receive("r1", lost=["m"])
        assert self.observer.known("m") is None
        assert self.observer.lost == ["m"]

    def test_list_of_the_former_run_does_not_keep_the_present_one_alive(self):
        """It says nothing of the present run."""
        self.observer.receive("r1", self.ready, is_whole=True)
        self.observer.receive("r2", self.former_leaving, is_whole=True)
        for _ in range(4):
            self.reactor.advance(0.4)
            self.observer.receive("r2")
        self.observer.announce(members.Phase.READY)
        assert self.observer.lost == ["m"]

    def test_later_state_that_was_reported_before_an_old_one_is_restored(self):
        """After a loss, the first list that names the instance may be an old one."""
        self.observer.receive("r1", self.former_leaving, is_whole=True)
        self.observer.receive("r2", self.ready, is_whole=True)
        self.observer.receive("r3", self.ready, is_whole=True)
        self.observer.receive("r3", lost=["m"])
        self.observer.receive("r1")
        self.observer.receive("r2")
        assert self.observer.known("m") == self.ready

    def test_late_heartbeat_of_the_former_run(self):
        """An instance that has stood still reads the streams of both runs in any order."""
        for announced in (self.ready, self.former_leaving):
            heartbeat = membership_messages.Heartbeat(announced)
            self.observer.streams._handle_message(announced.name, heartbeat)
        assert self.observer.known("m") == self.ready
        assert self.observer.lost == []

    def test_heartbeat_of_a_machine_whose_clock_began_anew(self):
        """The present run is known even if its announcements look older than the former's."""
        reactor = testing.MemoryReactorClock()
        self.observer.receive("r1", self.former_leaving, is_whole=True)
        restarted = Run(reactor, "m", "c").announce(members.Phase.READY)
        heartbeat = membership_messages.Heartbeat(restarted)
        self.observer.streams._handle_message(restarted.name, heartbeat)
        assert self.observer.known("m") == restarted
