"""Tests of carobhook.transport.slot_allocator: slot requests between instances."""

import attrs
import pytest
from twisted.internet import task

from carobhook.coordination import catalog, membership, steering
from carobhook.protocol import slot_messages
from carobhook.state import allocation, codes, ids, members, routing, servers
from carobhook.transport import shard_limits, slot_allocator

NORTH = ids.Region("north")
SERVICE = ids.Service("svc")
DOMAIN = ids.FailureDomain("north-a")
LIMITS = shard_limits.SlotLimits(0.2, 58, 10.0, 1.5, 5.0, 0.05)


def member(name):
    """Return a ready member."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation(f"{name:0<16}"),
        NORTH,
        DOMAIN,
        f"{name}:1",
        f"{name}:2",
        members.Phase.READY,
        ids.Version(1),
    )


def requested(request_id):
    """Return the message that requests a slot."""
    return slot_messages.SlotRequested(
        request_id,
        NORTH,
        SERVICE,
        "route",
        None,
        1,
        1000.0,
        5000.0,
        False,
        frozenset(),
        frozenset(),
        None,
    )


class Deployment:
    """Slot allocators of several instances that know each other.

    Args:
        names: Names of the instances.
        slots: Number of slots of the only server.

    Attributes:
        cut: Pairs of a sender and a receiver; the sender has no stream to the receiver.
    """

    def __init__(self, *names, slots=2):
        self.clock = task.Clock()
        self.cut = set()
        self.allocators, self.memberships = {}, {}
        for name in names:
            self.add(ids.InstanceId(name), slots)
        for table in self.memberships.values():
            for name in names:
                table.record_heartbeat(member(name), 0.0)

    def add(self, name, slots):
        """Add an instance whose catalog has one server."""
        server_catalog = catalog.Catalog()
        policy = routing.ServicePolicy(SERVICE, "/health", 100, 3.0, 5.0)
        server_catalog.replace_config_if_newer(routing.RoutingConfig(1, (), {SERVICE: policy}))
        server_catalog.put(
            servers.ServerEntry(
                ids.Server("i-1"), SERVICE, DOMAIN, "s:1", slots, servers.ServerState.READY, 0.0
            ),
            0.0,
        )
        self.memberships[name] = membership.Membership(name)
        self.allocators[name] = slot_allocator.SlotAllocator(
            self.clock,
            name,
            {DOMAIN: NORTH},
            self.memberships[name],
            server_catalog,
            steering.Steering({DOMAIN: NORTH}),
            Streams(self, name),
            LIMITS,
            lambda region: self.visible_share(name),
        )

    def visible_share(self, name):
        """Return the fraction of all instances that one of them considers live."""
        return len(self.memberships[name].live(self.clock.seconds())) / len(self.memberships)

    @property
    def owner(self):
        """Return the instance that dispatches for the service."""
        any_membership = next(iter(self.memberships.values()))
        return membership.shard_owner(NORTH, SERVICE, any_membership.serving(0.0))

    def request_slot(self, name, number, target_s=1.0):
        """Request a slot as an instance; return a list that receives the decision."""
        now = self.clock.seconds()
        request = allocation.SlotRequest(
            ids.RequestId(f"{name}-{number}"),
            SERVICE,
            "route",
            None,
            1,
            now + target_s,
            now + 5.0,
        )
        decisions = []
        self.allocators[name].request_slot(request, NORTH).addCallbacks(
            decisions.append, lambda _: None
        )
        return decisions

    def kill(self, dead):
        """Remove an instance from the memberships of all others."""
        for name, table in self.memberships.items():
            if name != dead:
                table.remove(dead)
        for name, allocator in self.allocators.items():
            if name != dead:
                allocator.remove_instance(dead)
                allocator.update_owners()


class Streams:
    """Streams of one instance to the others."""

    def __init__(self, deployment, own):
        self.deployment = deployment
        self.own = own

    def send(self, name, message):
        """Deliver a message at once, unless the stream is cut."""
        if (self.own, name) in self.deployment.cut:
            return False
        self.deployment.allocators[name].handle_message(self.own, message)
        return True


class TestSlotRequests:
    """Requests of several instances to one dispatcher."""

    def test_all_instances_share_the_slots(self):
        """Each slot is granted to one request of any instance, and again after its release."""
        deployment = Deployment("a", "b", "c")
        first, second = deployment.request_slot("a", 1), deployment.request_slot("b", 1)
        third = deployment.request_slot("c", 1, target_s=9.0)
        assert [len(first), len(second), len(third)] == [1, 1, 0]
        deployment.allocators["a"].release_slot(
            ids.RequestId("a-1"), allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(third[0], allocation.SlotGrant)

    def test_dispatcher_that_cannot_be_reached(self):
        """The request is refused after the wait for a stream, with a code that says not run."""
        deployment = Deployment("a", "b", "c")
        requester = next(name for name in deployment.allocators if name != deployment.owner)
        deployment.cut.add((requester, deployment.owner))
        decisions = deployment.request_slot(requester, 1)
        deployment.clock.pump([0.05] * 4)
        assert decisions == []
        deployment.clock.pump([0.05] * 2)
        assert decisions[0].code is codes.Code.DISPATCHER_SILENT
        assert decisions[0].code.run is codes.RunStatus.NOT_RUN

    def test_pending_request_is_sent_when_its_stream_opens(self):
        """After a restart of all instances, they are ready a moment before streams are open."""
        deployment = Deployment("a", "b", "c")
        requester = next(name for name in deployment.allocators if name != deployment.owner)
        deployment.cut.add((requester, deployment.owner))
        decisions = deployment.request_slot(requester, 1)
        deployment.clock.advance(0.1)
        deployment.cut.clear()
        deployment.clock.advance(0.05)
        assert isinstance(decisions[0], allocation.SlotGrant)
        deployment.clock.pump([0.05] * 10)
        assert len(decisions) == 1

    def test_withdrawn_request_gets_no_slot(self):
        """A client that disconnects while its request is queued uses no slot."""
        deployment = Deployment("a", "b", slots=1)
        deployment.request_slot("a", 1)
        now = deployment.clock.seconds()
        request = allocation.SlotRequest(
            ids.RequestId("b-9"), SERVICE, "route", None, 1, now + 9.0, now + 9.0
        )
        deployment.allocators["b"].request_slot(request, NORTH).addErrback(
            lambda _: None
        ).cancel()
        deployment.allocators["a"].release_slot(
            ids.RequestId("a-1"), allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(deployment.request_slot("a", 2)[0], allocation.SlotGrant)


class TestNamedLimits:
    """What a release tells of the limit that a server names."""

    def release(self, deployment, number, max_per_s):
        """Answer a request of an instance; return what the release says of the limit."""
        name = next(name for name in deployment.allocators if name != deployment.owner)
        sent = []
        allocator = deployment.allocators[name]
        deployment.request_slot(name, number)
        allocator._peers.send = lambda to, message: sent.append(message) or True
        allocator.release_slot(
            ids.RequestId(f"{name}-{number}"),
            allocation.AttemptOutcome.ANSWERED,
            allocation.RateStatement(max_per_s),
        )
        del allocator._peers.send
        allocator._send(deployment.owner, sent[0])
        return sent[0].rate

    def test_release_tells_limits_and_their_ends_only(self):
        """Frames of answers without a limit stay as builds that know of no limits expect."""
        deployment = Deployment("a", "b")
        assert self.release(deployment, 1, None) is None
        assert self.release(deployment, 2, 5.0) == allocation.RateStatement(5.0)
        deployment.clock.advance(1.0)
        assert self.release(deployment, 3, None) == allocation.RateStatement(None)
        assert self.release(deployment, 4, None) is None


class TestWithdrawnGrants:
    """Requests that are withdrawn while their grants are on their way."""

    def test_slot_of_a_withdrawn_request_is_not_lost(self):
        """The request that gets its slot hears of it; or the slot would stay in use forever."""
        deployment = Deployment("a", "b", slots=1)
        dispatcher_ = deployment.allocators[deployment.owner]
        deployment.request_slot(deployment.owner, 1)
        waiting = deployment.request_slot(deployment.owner, 2, target_s=9.0)
        assert waiting == []
        dispatcher_.handle_message(
            deployment.owner,
            slot_messages.SlotRequestWithdrawn(
                ids.RequestId(f"{deployment.owner}-1"), NORTH, SERVICE
            ),
        )
        assert isinstance(waiting[0], allocation.SlotGrant)


class TestTakeover:
    """Another instance becomes the dispatcher."""

    def test_pending_requests_go_to_the_new_dispatcher(self):
        """The new dispatcher gets a report of the held slots, and the pending requests."""
        deployment = Deployment("a", "b", "c")
        before = deployment.owner
        others = [name for name in deployment.allocators if name != before]
        held = [deployment.request_slot(others[0], 1), deployment.request_slot(others[0], 2)]
        waiting = deployment.request_slot(others[0], 3, target_s=9.0)
        assert [len(decisions) for decisions in held] == [1, 1]
        deployment.kill(before)
        assert deployment.owner != before
        assert waiting == []
        deployment.allocators[others[0]].release_slot(
            ids.RequestId(f"{others[0]}-1"), allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(waiting[0], allocation.SlotGrant)

    def test_held_slots_of_another_instance_are_not_granted(self):
        """A new dispatcher grants no slot that an instance holds but has not reported yet."""
        deployment = Deployment("a", "b", "c")
        before = deployment.owner
        others = [name for name in deployment.allocators if name != before]
        held = [deployment.request_slot(others[0], 1), deployment.request_slot(others[1], 1)]
        waiting = deployment.request_slot(others[0], 2, target_s=9.0)
        assert [len(decisions) for decisions in held] == [1, 1]
        deployment.kill(before)
        assert deployment.owner != before
        assert waiting == []
        deployment.allocators[others[1]].release_slot(
            ids.RequestId(f"{others[1]}-1"), allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(waiting[0], allocation.SlotGrant)

    def test_missing_report_of_held_slots_delays_grants_briefly(self):
        """The dispatcher stops waiting for the report of an unreachable instance."""
        deployment = Deployment("a", "b", "c")
        before = deployment.owner
        others = [name for name in deployment.allocators if name != before]
        deployment.kill(before)
        after = deployment.owner
        unreachable = next(name for name in others if name != after)
        deployment.cut.add((unreachable, after))
        deployment.allocators[after]._dispatchers.hand_over((NORTH, SERVICE))
        decisions = deployment.request_slot(after, 1)
        assert decisions == []
        deployment.clock.advance(0.25)
        deployment.allocators[after].tick()
        assert isinstance(decisions[0], allocation.SlotGrant)

    def test_slots_of_a_dead_instance_are_freed(self):
        """Requests of a dead instance ended with it, so their slots are granted to others."""
        deployment = Deployment("a", "b", "c", slots=1)
        dead = next(name for name in deployment.allocators if name != deployment.owner)
        other = next(
            name for name in deployment.allocators if name not in (dead, deployment.owner)
        )
        deployment.request_slot(dead, 1)
        waiting = deployment.request_slot(other, 1, target_s=9.0)
        assert waiting == []
        deployment.kill(dead)
        assert isinstance(waiting[0], allocation.SlotGrant)

    def test_request_to_an_instance_that_is_not_the_dispatcher(self):
        """The instance grants nothing, and answers with `NotDispatcher`."""
        deployment = Deployment("a", "b", "c")
        wrong = next(name for name in deployment.allocators if name != deployment.owner)
        sent = []
        deployment.allocators[wrong]._peers.send = lambda name, message: (
            sent.append(message) or True
        )
        now = deployment.clock.seconds()
        message = slot_messages.SlotRequested(
            ids.RequestId("x"),
            NORTH,
            SERVICE,
            "route",
            None,
            1,
            (now + 1.0) * 1000,
            (now + 5.0) * 1000,
            False,
            frozenset(),
            frozenset(),
            DOMAIN,
        )
        deployment.allocators[wrong].handle_message(ids.InstanceId("elsewhere"), message)
        assert sent == [slot_messages.NotDispatcher(ids.RequestId("x"))]


class TestTwoDispatchers:
    """A request got its slot from one dispatcher while it was sent to the next one too."""

    def request(self, number, slots):
        """Return the dispatcher's instance and its state after it got a request."""
        deployment = Deployment("a", slots=slots)
        deployment.cut.add((ids.InstanceId("a"), ids.InstanceId("b")))
        allocator = deployment.allocators["a"]
        for _ in range(number):
            deployment.request_slot("a", "other")
        allocator._dispatchers.handle_request(
            ids.InstanceId("b"),
            requested(ids.RequestId("b-1")),
        )
        return allocator, allocator._dispatchers.get_or_create((NORTH, SERVICE))

    def release(self, allocator):
        """Tell the dispatcher that the request has ended at a server of the other's choice."""
        allocator.handle_message(
            ids.InstanceId("b"),
            slot_messages.SlotReleased(
                ids.RequestId("b-1"),
                NORTH,
                SERVICE,
                ids.Server("i-2"),
                allocation.AttemptOutcome.ANSWERED,
            ),
        )

    def test_second_slot_is_freed(self):
        """It would count as used for as long as the dispatcher runs otherwise."""
        allocator, state = self.request(0, slots=1)
        assert state.dispatcher.pool.running == 1
        self.release(allocator)
        assert state.dispatcher.pool.running == 0

    def test_queued_request_is_withdrawn(self):
        """It would get a slot that nobody uses otherwise."""
        allocator, state = self.request(1, slots=1)
        assert state.dispatcher.queue_length == 1
        self.release(allocator)
        assert state.dispatcher.queue_length == 0


class TestUnneededGrant:
    """A grant for a request that has got a slot elsewhere, and has ended."""

    def test_slot_is_given_back(self):
        """The dispatcher stood still when the request came, and others granted it meanwhile."""
        deployment = Deployment("a", "b", slots=2)
        owner = deployment.owner
        other = next(name for name in deployment.allocators if name != owner)
        deployment.request_slot(other, 1)
        request_id = ids.RequestId(f"{other}-1")
        answered = allocation.AttemptOutcome.ANSWERED
        deployment.allocators[other].release_slot(request_id, answered)
        deployment.allocators[owner].handle_message(
            other,
            requested(request_id),
        )
        assert deployment.allocators[owner].loads()[0].running == 0


class TestStandstill:
    """A dispatcher that stood still was taken for dead, and others dispatched meanwhile."""

    def test_slots_released_to_another_dispatcher_are_free_again(self):
        """Each of them would be lost for as long as the instance runs otherwise."""
        deployment = Deployment("a", "b", "c", slots=2)
        owner = deployment.owner
        other = next(name for name in deployment.allocators if name != owner)
        for number in range(2):
            assert isinstance(deployment.request_slot(other, number)[0], allocation.SlotGrant)
        for name, table in deployment.memberships.items():
            if name != owner:
                table.remove(owner)
                deployment.allocators[name].update_owners()
        for number in range(2):
            deployment.allocators[other].release_slot(
                ids.RequestId(f"{other}-{number}"), allocation.AttemptOutcome.ANSWERED
            )
        deployment.clock.advance(2.0)
        for table in deployment.memberships.values():
            for name in deployment.allocators:
                table.record_heartbeat(member(name), deployment.clock.seconds())
        for _ in range(10):
            deployment.clock.advance(0.1)
            for allocator in deployment.allocators.values():
                allocator.tick()
        assert deployment.allocators[owner].loads()[0].running == 0


class TestFailedHandOver:
    """An error while the new owner of a shard is applied."""

    def test_hand_over_is_tried_again(self, monkeypatch):
        """Queued requests would stay at an instance that no longer dispatches otherwise."""
        deployment = Deployment("a", "b", "c", slots=1)
        owner = deployment.owner
        other = next(name for name in deployment.allocators if name != owner)
        deployment.request_slot(other, 1)
        deployment.request_slot(other, 2)
        allocator = deployment.allocators[other]
        switch_owner = allocator._client.switch_owner
        failures = [RuntimeError("once")]

        def fail_once(*args):
            if failures:
                raise failures.pop()
            switch_owner(*args)

        monkeypatch.setattr(allocator._client, "switch_owner", fail_once)
        for table in deployment.memberships.values():
            table.remove(owner)
        with pytest.raises(RuntimeError):
            allocator.update_owners()
        allocator.update_owners()
        assert allocator._owner_of((NORTH, SERVICE)) == deployment_owner(deployment)
        (pending,) = allocator._client._pending.values()
        assert pending.owner == deployment_owner(deployment)


def deployment_owner(deployment):
    """Return the owner that all instances compute after one was removed."""
    table = next(iter(deployment.memberships.values()))
    return membership.shard_owner(NORTH, SERVICE, table.serving(0.0))


class TestMissingStream:
    """An instance has a stream to its dispatcher, and there is none in return, or it is new.

    A decision that is not sent leaves the request waiting until its deadline, with its slot in
    use at the dispatcher.
    """

    def setup_method(self):
        """Create a deployment whose dispatcher has no stream to another instance."""
        self.deployment = Deployment("a", "b", "c", slots=1)
        self.owner = self.deployment.owner
        self.other = next(n for n in self.deployment.allocators if n != self.owner)
        # The dispatcher starts, and waits for the reports of held slots.
        self.tick(0.5)
        self.deployment.cut.add((self.owner, self.other))

    def tick(self, seconds):
        """Let some time pass."""
        for _ in range(round(seconds / 0.1)):
            self.deployment.clock.advance(0.1)
            for table in self.deployment.memberships.values():
                for name in self.deployment.allocators:
                    table.record_heartbeat(member(name), self.deployment.clock.seconds())
            for allocator in self.deployment.allocators.values():
                allocator.tick()

    def record_messages(self):
        """Return a list that receives the messages to the instance without a stream."""
        received = []
        self.deployment.allocators[self.other].handle_message = lambda sender, message: (
            received.append(message)
        )
        return received

    def test_grant_is_sent_when_the_stream_opens(self):
        """The first request to a dispatcher in another region has no stream for its answer."""
        decisions = self.deployment.request_slot(self.other, 1)
        self.tick(0.2)
        self.deployment.cut.clear()
        self.tick(0.2)
        assert isinstance(decisions[0], allocation.SlotGrant)

    def test_refusal_is_sent_when_the_stream_opens(self):
        """The request would be refused at its deadline only."""
        received = self.record_messages()
        elsewhere = frozenset({ids.Region("south")})
        unmet = attrs.evolve(requested(ids.RequestId("1")), homes=elsewhere)
        self.deployment.allocators[self.owner].handle_message(self.other, unmet)
        self.tick(0.2)
        self.deployment.cut.clear()
        self.tick(0.2)
        assert [type(message) for message in received] == [slot_messages.SlotRefused]

    def test_loads_are_sent_when_the_stream_opens(self):
        """The operator's answer would lack the shards of this instance."""
        received = self.record_messages()
        query = slot_messages.LoadQuery("1")
        self.deployment.allocators[self.owner].handle_message(self.other, query)
        self.tick(0.2)
        self.deployment.cut.clear()
        self.tick(0.2)
        assert [(m.id, len(m.loads)) for m in received] == [("1", 1)]

    def test_messages_keep_their_order(self):
        """What is sent once the stream is open comes after what had to wait for it."""
        held = self.deployment.allocators[self.owner]
        received = self.record_messages()
        held.handle_message(self.other, requested(ids.RequestId("1")))
        self.deployment.cut.clear()
        withdrawn = slot_messages.SlotRequestWithdrawn(ids.RequestId("1"), NORTH, SERVICE)
        held.handle_message(self.other, withdrawn)
        held.handle_message(self.other, requested(ids.RequestId("2")))
        assert [message.grant.ask_id for message in received] == ["1", "2"]

    def test_messages_to_a_lost_instance_are_dropped(self):
        """Its next run does not know the requests."""
        decisions = self.deployment.request_slot(self.other, 1)
        self.deployment.allocators[self.owner].remove_instance(self.other)
        self.deployment.cut.clear()
        self.tick(0.2)
        assert decisions == []

    def test_old_messages_are_dropped_with_a_line(self, caplog):
        """An instance without a stream for long is cut off, and is not sent what is old."""
        decisions = self.deployment.request_slot(self.other, 1)
        self.tick(2.0)
        self.deployment.cut.clear()
        self.tick(0.2)
        assert decisions == []
        assert "messages-dropped" in caplog.text

    def test_slot_that_is_released_without_a_stream_is_freed(self):
        """A stream closes while a request runs for long; its dispatcher would lose the slot."""
        self.deployment.cut.clear()
        assert self.deployment.request_slot(self.other, 1)
        self.deployment.cut.add((self.other, self.owner))
        answered = allocation.AttemptOutcome.ANSWERED
        self.deployment.allocators[self.other].release_slot(
            ids.RequestId(f"{self.other}-1"), answered
        )
        self.tick(0.2)
        self.deployment.cut.clear()
        self.tick(0.2)
        assert self.deployment.allocators[self.owner].loads()[0].running == 0


class TestReplacedStream:
    """The stream to a dispatcher broke, and what was written to it last may be lost."""

    def setup_method(self):
        """Create a deployment with one slot, and choose an instance that does not dispatch."""
        self.deployment = Deployment("a", "b", "c", slots=1)
        self.owner = self.deployment.owner
        self.other = next(n for n in self.deployment.allocators if n != self.owner)

    def lose(self, sender, receiver):
        """Lose what an instance writes to another one."""
        streams = self.deployment.allocators[sender]._peers
        send = streams.send
        streams.send = lambda name, message: name == receiver or send(name, message)
        return lambda: setattr(streams, "send", send)

    def test_pending_request_is_sent_again(self):
        """It would wait until its deadline."""
        restore = self.lose(self.other, self.owner)
        decisions = self.deployment.request_slot(self.other, 1)
        restore()
        self.deployment.allocators[self.other].renew_stream(self.owner)
        assert isinstance(decisions[0], allocation.SlotGrant)

    def test_queued_requests_that_the_dispatcher_removed(self):
        """It takes the end of a stream for the end of the instance, and frees its slots too."""
        self.deployment.request_slot(self.other, 1)
        waiting = self.deployment.request_slot(self.other, 2, target_s=9.0)
        self.deployment.allocators[self.owner].remove_instance(self.other)
        self.deployment.allocators[self.other].renew_stream(self.owner)
        assert self.deployment.allocators[self.owner].loads()[0].running == 1
        self.deployment.allocators[self.other].release_slot(
            ids.RequestId(f"{self.other}-1"), allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(waiting[0], allocation.SlotGrant)

    def test_request_that_is_queued_still(self):
        """It is queued once, and gets one slot."""
        held = self.deployment.request_slot(self.owner, 1)
        waiting = self.deployment.request_slot(self.other, 1, target_s=9.0)
        self.deployment.allocators[self.other].renew_stream(self.owner)
        load = self.deployment.allocators[self.owner].loads()[0]
        assert (load.running, load.waiting) == (1, 1)
        self.deployment.allocators[self.owner].release_slot(
            held[0].ask_id, allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(waiting[0], allocation.SlotGrant)
        assert self.deployment.allocators[self.owner].loads()[0].running == 1

    def test_grant_that_was_lost_is_sent_again(self):
        """The request has its slot already, and gets no second one."""
        restore = self.lose(self.owner, self.other)
        decisions = self.deployment.request_slot(self.other, 1)
        restore()
        assert decisions == []
        self.deployment.allocators[self.other].renew_stream(self.owner)
        assert isinstance(decisions[0], allocation.SlotGrant)
        assert self.deployment.allocators[self.owner].loads()[0].running == 1
        self.deployment.allocators[self.other].release_slot(
            decisions[0].ask_id, allocation.AttemptOutcome.ANSWERED
        )
        assert self.deployment.allocators[self.owner].loads()[0].running == 0

    def test_release_that_was_lost(self):
        """The stream was dead for a while; the instance holds and wants nothing any more."""
        decisions = self.deployment.request_slot(self.other, 1)
        restore = self.lose(self.other, self.owner)
        self.deployment.allocators[self.other].release_slot(
            decisions[0].ask_id, allocation.AttemptOutcome.ANSWERED
        )
        restore()
        self.deployment.clock.advance(2.0)
        self.deployment.allocators[self.other].renew_stream(self.owner)
        assert self.deployment.allocators[self.owner].loads()[0].running == 0

    def test_grant_that_comes_twice(self):
        """The slot in use is not given back."""
        decisions = self.deployment.request_slot(self.other, 1)
        self.deployment.allocators[self.owner].handle_message(
            self.other, requested(decisions[0].ask_id)
        )
        load = self.deployment.allocators[self.owner].loads()[0]
        assert (load.running, load.waiting) == (1, 0)

    def test_request_that_comes_twice(self):
        """Its instance took another one for the dispatcher meanwhile; it is queued once."""
        self.deployment.request_slot(self.owner, 1)
        for _ in range(2):
            self.deployment.allocators[self.owner].handle_message(
                self.other, requested(ids.RequestId("1"))
            )
        assert self.deployment.allocators[self.owner].loads()[0].waiting == 1
