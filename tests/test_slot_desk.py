"""Tests of carobhook.transport.slot_desk: asks between instances, and their ends."""

from twisted.internet import task

from carobhook.coordination import catalog, membership, steering
from carobhook.protocol import slot_messages
from carobhook.state import allocation, codes, ids, members, routing, servers
from carobhook.transport import slot_desk, slot_shards

NORTH = ids.Region("north")
SERVICE = ids.Service("svc")
ZONE = ids.FailureDomain("north-a")
BOUNDS = slot_shards.SlotBounds(0.2, 58, 10.0, 1.5, 5.0, 0.05)


def member(name):
    """Return a ready member."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation(f"{name:0<16}"),
        NORTH,
        ZONE,
        f"{name}:1",
        f"{name}:2",
        members.Phase.READY,
        ids.Version(1),
    )


class Deployment:
    """Desks of some instances that know each other, with streams that can be cut."""

    def __init__(self, *names, slots=2):
        self.clock = task.Clock()
        self.cut = set()
        self.desks, self.rosters = {}, {}
        for name in names:
            self.add(ids.InstanceId(name), slots)
        for roster in self.rosters.values():
            for name in names:
                roster.record_heartbeat(member(name), 0.0)

    def add(self, name, slots):
        """Add an instance that knows one server."""
        known = catalog.Catalog()
        policy = routing.ServicePolicy(SERVICE, "/health", 100, 3.0, 5.0)
        known.replace_config_if_newer(routing.RoutingConfig(1, (), {SERVICE: policy}))
        known.put(
            servers.ServerEntry(
                ids.Server("i-1"), SERVICE, ZONE, "s:1", slots, servers.ServerState.READY, 0.0
            ),
            0.0,
        )
        self.rosters[name] = membership.Membership(name)
        self.desks[name] = slot_desk.SlotDesk(
            self.clock,
            name,
            {ZONE: NORTH},
            self.rosters[name],
            known,
            steering.Steering({ZONE: NORTH}),
            Streams(self, name),
            BOUNDS,
            lambda region: self.visible(name),
        )

    def visible(self, name):
        """Return the part of all instances that one sees."""
        return len(self.rosters[name].live(self.clock.seconds())) / len(self.rosters)

    @property
    def owner(self):
        """Return the instance that gives out the slots."""
        any_roster = next(iter(self.rosters.values()))
        return membership.shard_owner(NORTH, SERVICE, any_roster.serving(0.0))

    def ask(self, name, number, target_s=1.0):
        """Ask at an instance; return where its answer arrives."""
        now = self.clock.seconds()
        wish = allocation.SlotRequest(
            ids.RequestId(f"{name}-{number}"),
            SERVICE,
            "route",
            None,
            1,
            now + target_s,
            now + 5.0,
        )
        answers = []
        self.desks[name].ask(wish, NORTH).addCallbacks(answers.append, lambda _: None)
        return answers

    def lose(self, gone):
        """Let every other instance notice that one is gone."""
        for name, roster in self.rosters.items():
            if name != gone:
                roster.remove(gone)
        for name, desk in self.desks.items():
            if name != gone:
                desk.lost(gone)
                desk.members_changed()


class Streams:
    """Streams of one instance to the others."""

    def __init__(self, deployment, own):
        self.deployment = deployment
        self.own = own

    def send(self, name, message):
        """Deliver a message at once, unless the stream is cut."""
        if (self.own, name) in self.deployment.cut:
            return False
        self.deployment.desks[name].received(self.own, message)
        return True


class TestAsks:
    """Asks of several instances at one dispatcher."""

    def test_slots_are_counted_over_all_instances(self):
        """Two slots are given out once, whoever asks, and again when they are free."""
        one = Deployment("a", "b", "c")
        first, second = one.ask("a", 1), one.ask("b", 1)
        third = one.ask("c", 1, target_s=9.0)
        assert [len(first), len(second), len(third)] == [1, 1, 0]
        one.desks["a"].ended(ids.RequestId("a-1"), allocation.AttemptOutcome.ANSWERED)
        assert isinstance(third[0], allocation.SlotGrant)

    def test_dispatcher_that_cannot_be_reached(self):
        """The ask is refused, as not run, as soon as a stream should stand again."""
        one = Deployment("a", "b", "c")
        asker = next(name for name in one.desks if name != one.owner)
        one.cut.add((asker, one.owner))
        answers = one.ask(asker, 1)
        one.clock.pump([0.05] * 4)
        assert answers == []
        one.clock.pump([0.05] * 2)
        assert answers[0].code is codes.Code.DISPATCHER_SILENT
        assert answers[0].code.run is codes.RunStatus.NOT_RUN

    def test_stream_that_is_opened_anew_carries_what_waits(self):
        """After a restart of all, streams stand a moment later than instances are ready."""
        one = Deployment("a", "b", "c")
        asker = next(name for name in one.desks if name != one.owner)
        one.cut.add((asker, one.owner))
        answers = one.ask(asker, 1)
        one.clock.advance(0.1)
        one.cut.clear()
        one.clock.advance(0.05)
        assert isinstance(answers[0], allocation.SlotGrant)
        one.clock.pump([0.05] * 10)
        assert len(answers) == 1

    def test_withdrawn_ask_frees_its_place(self):
        """A client that leaves while it waits takes nobody's slot."""
        one = Deployment("a", "b", slots=1)
        one.ask("a", 1)
        now = one.clock.seconds()
        wish = allocation.SlotRequest(
            ids.RequestId("b-9"), SERVICE, "route", None, 1, now + 9.0, now + 9.0
        )
        one.desks["b"].ask(wish, NORTH).addErrback(lambda _: None).cancel()
        one.desks["a"].ended(ids.RequestId("a-1"), allocation.AttemptOutcome.ANSWERED)
        assert isinstance(one.ask("a", 2)[0], allocation.SlotGrant)


class TestTakeover:
    """A dispatcher that ends."""

    def test_waiting_asks_go_to_the_next_one(self):
        """Slots in use are told to it, and what waited is asked again."""
        one = Deployment("a", "b", "c")
        before = one.owner
        others = [name for name in one.desks if name != before]
        held = [one.ask(others[0], 1), one.ask(others[0], 2)]
        waiting = one.ask(others[0], 3, target_s=9.0)
        assert [len(answers) for answers in held] == [1, 1]
        one.lose(before)
        assert one.owner != before
        assert waiting == []
        one.desks[others[0]].ended(
            ids.RequestId(f"{others[0]}-1"), allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(waiting[0], allocation.SlotGrant)

    def test_slots_that_another_instance_holds_count_at_once(self):
        """A new dispatcher gives out no slot that an instance holds which has not told yet."""
        one = Deployment("a", "b", "c")
        before = one.owner
        others = [name for name in one.desks if name != before]
        held = [one.ask(others[0], 1), one.ask(others[1], 1)]
        waiting = one.ask(others[0], 2, target_s=9.0)
        assert [len(answers) for answers in held] == [1, 1]
        one.lose(before)
        assert one.owner != before
        assert waiting == []
        one.desks[others[1]].ended(
            ids.RequestId(f"{others[1]}-1"), allocation.AttemptOutcome.ANSWERED
        )
        assert isinstance(waiting[0], allocation.SlotGrant)

    def test_slots_that_are_not_told_hold_up_nothing_for_long(self):
        """An instance that does not tell of its slots is waited for only a moment."""
        one = Deployment("a", "b", "c")
        before = one.owner
        others = [name for name in one.desks if name != before]
        one.lose(before)
        after = one.owner
        silent = next(name for name in others if name != after)
        one.cut.add((silent, after))
        one.desks[after]._shards.hand_over((NORTH, SERVICE))
        answers = one.ask(after, 1)
        assert answers == []
        one.clock.advance(0.25)
        one.desks[after].tick()
        assert isinstance(answers[0], allocation.SlotGrant)

    def test_slots_of_an_instance_that_ends_are_freed(self):
        """Its requests end with it."""
        one = Deployment("a", "b", "c", slots=1)
        gone = next(name for name in one.desks if name != one.owner)
        other = next(name for name in one.desks if name not in (gone, one.owner))
        one.ask(gone, 1)
        waiting = one.ask(other, 1, target_s=9.0)
        assert waiting == []
        one.lose(gone)
        assert isinstance(waiting[0], allocation.SlotGrant)

    def test_instance_that_is_not_the_dispatcher_says_so(self):
        """It gives out nothing, and the one that asked looks again."""
        one = Deployment("a", "b", "c")
        wrong = next(name for name in one.desks if name != one.owner)
        sent = []
        one.desks[wrong]._peers.send = lambda name, message: sent.append(message) or True
        now = one.clock.seconds()
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
            ZONE,
        )
        one.desks[wrong].received(ids.InstanceId("elsewhere"), message)
        assert sent == [slot_messages.NotDispatcher(ids.RequestId("x"))]
