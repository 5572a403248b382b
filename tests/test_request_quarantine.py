"""Tests of carobhook.transport.request_quarantine: which lost attempts become marks."""

from twisted.internet import defer, task

import store_access
from carobhook.coordination import catalog, lost_attempts, poison
from carobhook.protocol import http1, slot_messages
from carobhook.state import ids, servers
from carobhook.transport import client_connections, end_checks, request_quarantine

Finding = end_checks.Finding
SERVER = ids.Server("s")
WALL_S = 1e9


def entry(born_ms=1_000, name=SERVER):
    """Return the entry of a server."""
    return servers.ServerEntry(
        name, "svc", "north-a", "s:1", 4, servers.ServerState.READY, 0.0, born_ms
    )


def request(path=b"/fatal"):
    """Return a request of a client."""
    head = http1.RequestHead(b"GET", path, ((b"Host", b"shop"),))
    return client_connections.ClientRequest(head, b"", "10.0.0.1", 0.0)


class Instance:
    """The quarantine of one instance, whose checks find what the test says."""

    def __init__(self, clock=None, name="i1"):
        self.clock = clock or task.Clock()
        if clock is None:
            self.clock.advance(100.0)
        self.known = catalog.Catalog()
        self.known.put(entry(), 0.0)
        self.finding, self.is_certain = Finding.UNREACHABLE, True
        self.checks, self.sent, self.failures = 0, [], []
        access = store_access.create_access(self.clock)
        self.quarantine = request_quarantine.RequestQuarantine(
            self.clock,
            name,
            self.known,
            self,
            request_quarantine.MarkStore(access, lambda: WALL_S + self.clock.seconds()),
            self.sent.append,
            self.failures.append,
        )

    def check(self, server, address):
        """Return what a check finds."""
        self.checks += 1
        evidence = end_checks.Evidence(self.finding, self.clock.seconds(), self.is_certain)
        return defer.succeed(evidence)

    def lose(self, alive_for_s=0.0, is_broken=True, path=b"/fatal", is_relayed=False):
        """Lose an attempt that was sent now, on a connection that worked some time ago."""
        now = self.clock.seconds()
        sending = lost_attempts.Sending(now, None if is_relayed else now - alive_for_s)
        run = self.quarantine.run_of(SERVER)
        self.quarantine.attempt_lost(request(path), run, "s:1", is_broken, sending)

    def run(self, seconds):
        """Let time pass with the periodic work."""
        for _ in range(round(seconds * 10)):
            self.clock.advance(0.1)
            self.quarantine.tick()
        assert self.failures == []

    def count(self, path=b"/fatal"):
        """Return the number of marks of a request."""
        wanted = request_quarantine.fingerprint(request(path))
        messages = self.quarantine.mark_messages()
        return sum(message.fingerprint == wanted for message in messages)

    @property
    def refuses(self):
        """Return whether the request is refused."""
        return self.quarantine.is_quarantined(request())


class TestEndsOfOneListedRun:
    """All ends of a run that the store told last were one mark."""

    def test_three_ends_quarantine(self):
        """The server starts again each time, and the store does not tell."""
        instance = Instance()
        sent = 0
        while not instance.refuses and sent < 8:
            instance.lose()
            instance.run(2.0)
            sent += 1
        assert sent == poison.MARK_LIMIT

    def test_relayed_attempts(self):
        """Their connections are unknown, but never idle for more than four seconds."""
        instance = Instance()
        for expected in (1, 2, 3):
            instance.lose(is_relayed=True)
            instance.run(2.0)
            assert instance.count() == expected
            instance.lose(is_relayed=True)
            instance.run(4.0)
            assert instance.count() == expected

    def test_connections_that_were_dead_already(self):
        """They were opened before the end, and are found broken after it."""
        instance = Instance()
        instance.lose()
        instance.run(2.0)
        for _ in range(4):
            instance.lose(alive_for_s=3.0)
            instance.run(0.2)
        assert instance.count() == 1

    def test_copies_on_one_run(self):
        """Five copies that one end takes, one of them given up only then."""
        instance = Instance()
        for _ in range(4):
            instance.lose()
        instance.run(0.3)
        instance.lose(alive_for_s=0.4, is_broken=False)
        instance.run(2.0)
        assert instance.count() == 1

    def test_path_that_comes_and_goes(self):
        """Connections time out here and at others again and again: one mark at most."""
        instance = Instance()
        instance.is_certain = False
        for _ in range(6):
            instance.lose()
            instance.run(2.0)
        assert instance.count() == 1

    def test_reset_after_an_end(self):
        """The next run resets connections, and goes on."""
        instance = Instance()
        instance.lose()
        instance.run(2.0)
        instance.finding = Finding.ALIVE
        for _ in range(6):
            instance.lose()
            instance.run(2.0)
        assert instance.count() == 1

    def test_attempt_that_was_sent_after_the_finding(self):
        """It was sent while others were asked, so the finding says nothing of its server."""
        instance = Instance()
        instance.lose(is_broken=False)
        waiting = defer.Deferred()
        at = instance.clock.seconds() + 1.0
        instance.check = lambda server, address: waiting
        instance.run(1.5)
        instance.lose(path=b"/later")
        waiting.callback(end_checks.Evidence(Finding.UNREACHABLE, at))
        assert (instance.count(), instance.count(b"/later")) == (1, 0)


class TestEndsAtTwoInstances:
    """One end that two instances notice must be one mark."""

    def test_same_names_for_each_end(self):
        """Each has a copy on the server at each end, and they tell each other of marks."""
        first = Instance()
        second = Instance(first.clock, "i2")
        for expected in (1, 2, 3):
            for instance in (first, second):
                instance.lose()
            for _ in range(20):
                first.run(0.1)
                second.quarantine.tick()
                self.tell(first, second)
                self.tell(second, first)
            assert first.count() == second.count() == expected

    def test_end_of_which_another_instance_told(self):
        """The connection had worked before it, so the attempt belongs to that end."""
        first = Instance()
        second = Instance(first.clock, "i2")
        first.lose(path=b"/other")
        first.run(0.3)
        self.tell(first, second)
        second.lose(alive_for_s=1.0)
        second.run(0.3)
        second.lose()
        second.run(0.3)
        assert {m.name for m in second.quarantine.mark_messages()} == {"s/1000", "s/1000#2"}

    def tell(self, sender, receiver):
        """Deliver the marks that an instance has sent."""
        sent, sender.sent[:] = list(sender.sent), []
        for message in sent:
            if isinstance(message, slot_messages.RequestMarked):
                receiver.quarantine.apply_mark(message)


class TestChecksThatTellNothing:
    """A check was made once, also if it told nothing."""

    def test_check_is_made_again(self):
        """The path of this instance is broken for three seconds."""
        instance = Instance()
        instance.finding = Finding.UNKNOWN
        instance.lose()
        instance.run(3.0)
        assert instance.count() == 0
        instance.finding = Finding.REPLACED
        instance.run(3.0)
        assert instance.count() == 1

    def test_intervals_grow(self):
        """A server that never tells costs five checks."""
        instance = Instance()
        instance.finding = Finding.UNKNOWN
        instance.lose()
        instance.run(20.0)
        assert 3 <= instance.checks <= 5

    def test_known_answer_is_not_asked_for_again(self):
        """A server that is alive costs one check."""
        instance = Instance()
        instance.finding = Finding.ALIVE
        instance.lose()
        instance.run(20.0)
        assert instance.checks == 1

    def test_further_end_that_is_confirmed_later(self):
        """Connections time out first, and are refused then."""
        instance = Instance()
        instance.lose()
        instance.run(2.0)
        instance.is_certain = False
        instance.lose()
        instance.run(1.0)
        assert instance.count() == 1
        instance.is_certain = True
        instance.run(3.0)
        assert instance.count() == 2


class TestStoreThatIsAway:
    """The doubt about a server was dropped after six seconds, whatever the store told."""

    def lose_during_outage(self, away_s=20.0):
        """Return an instance whose server is alive again, with its id, when it is checked."""
        instance = Instance()
        instance.finding = Finding.ALIVE
        instance.known.record_outage(instance.clock.seconds())
        instance.run(1.0)
        instance.lose()
        instance.run(away_s)
        instance.known.record_answer(instance.clock.seconds())
        return instance

    def tell(self, instance, started_ago_s):
        """Let the store tell of a later start."""
        started_at_s = WALL_S + instance.clock.seconds() - started_ago_s
        instance.known.put(entry(round(started_at_s * 1000)), instance.clock.seconds())
        instance.run(0.5)

    def test_start_at_the_time_of_the_loss(self):
        """The store is back after twenty seconds, and tells of it two seconds later."""
        instance = self.lose_during_outage()
        instance.run(2.0)
        self.tell(instance, started_ago_s=21.5)
        assert instance.count() == 1

    def test_start_long_after_the_loss(self):
        """The server was restarted on purpose during the outage."""
        instance = self.lose_during_outage()
        self.tell(instance, started_ago_s=8.0)
        assert instance.count() == 0

    def test_start_long_before_the_loss(self):
        """The store had told nothing of it before the attempt was sent."""
        instance = self.lose_during_outage()
        self.tell(instance, started_ago_s=60.0)
        assert instance.count() == 0

    def test_unknown_start(self):
        """It may be any time during the outage."""
        instance = self.lose_during_outage()
        instance.known.put(entry(None), instance.clock.seconds())
        instance.run(0.5)
        assert instance.count() == 0

    def test_end_that_is_noticed_long_after_the_loss(self):
        """Another request ends the server at the end of the outage."""
        instance = self.lose_during_outage()
        instance.finding = Finding.UNREACHABLE
        instance.lose(path=b"/other")
        instance.run(1.0)
        assert (instance.count(), instance.count(b"/other")) == (0, 1)

    def test_doubt_ends_in_any_case(self):
        """The store is away for hours."""
        instance = self.lose_during_outage(away_s=121.0)
        self.tell(instance, started_ago_s=121.0)
        assert instance.count() == 0

    def test_planned_restart_without_an_outage(self):
        """It comes seven seconds after a reset."""
        instance = Instance()
        instance.finding = Finding.ALIVE
        instance.lose()
        instance.run(7.0)
        self.tell(instance, started_ago_s=0.5)
        assert instance.count() == 0


class TestFrozenInstance:
    """An attempt was dropped in the moment in which its server was to be checked."""

    def test_check_after_ten_seconds(self):
        """The instance stands still right after an attempt was lost."""
        instance = Instance()
        instance.run(1.0)
        instance.lose()
        instance.clock.advance(10.0)
        instance.run(0.5)
        assert instance.count() == 1

    def test_end_long_after_the_freeze(self):
        """The time after it counts as ever."""
        instance = Instance()
        instance.finding = Finding.ALIVE
        instance.run(1.0)
        instance.lose()
        instance.clock.advance(10.0)
        instance.run(7.0)
        instance.finding = Finding.UNREACHABLE
        instance.lose(path=b"/other")
        instance.run(1.0)
        assert (instance.count(), instance.count(b"/other")) == (0, 1)

    def test_attempt_that_is_lost_as_the_instance_goes_on(self):
        """The time in which it stood still before that is none of the attempt's."""
        instance = Instance()
        instance.finding = Finding.ALIVE
        instance.run(1.0)
        instance.clock.advance(10.0)
        instance.lose()
        instance.run(7.0)
        instance.finding = Finding.UNREACHABLE
        instance.lose(path=b"/other")
        instance.run(1.0)
        assert (instance.count(), instance.count(b"/other")) == (0, 1)


class TestOtherServerInTheListing:
    """An instance that is cut from the servers could not ask who is at an address."""

    def replace(self, instance, started_ago_s):
        """Let the store list another server at the address in place of the former one."""
        now = instance.clock.seconds()
        started_at_s = WALL_S + now - started_ago_s
        instance.known.remove(SERVER, now)
        instance.known.put(entry(round(started_at_s * 1000), ids.Server("t")), now)
        instance.run(3.0)

    def test_start_at_the_time_of_the_loss(self):
        """Others reach a listener there, and the store tells that it is another server."""
        instance = Instance()
        instance.finding = Finding.UNKNOWN
        instance.lose()
        instance.run(2.0)
        self.replace(instance, started_ago_s=1.0)
        assert instance.count() == 1

    def test_end_after_a_check_that_found_the_server_alive(self):
        """A server goes on with a request that was given up, and ends after its check."""
        instance = Instance()
        instance.finding = Finding.ALIVE
        instance.lose(is_broken=False)
        instance.run(2.0)
        assert instance.checks == 1
        self.replace(instance, started_ago_s=0.1)
        assert instance.count() == 1

    def test_server_that_was_alive_and_has_gone(self):
        """One that nothing replaces may have left as planned."""
        instance = Instance()
        instance.finding = Finding.ALIVE
        instance.lose(is_broken=False)
        instance.run(2.0)
        instance.known.remove(SERVER, instance.clock.seconds())
        instance.run(3.0)
        assert instance.count() == 0

    def test_start_long_before_the_loss(self):
        """The entry is that of a server that had the address before."""
        instance = Instance()
        instance.finding = Finding.UNKNOWN
        instance.lose()
        instance.run(2.0)
        self.replace(instance, started_ago_s=60.0)
        assert instance.count() == 0

    def test_server_that_is_listed_still(self):
        """Both are listed with the address, so it is not known which of them is there."""
        instance = Instance()
        instance.finding = Finding.UNKNOWN
        instance.lose()
        instance.run(2.0)
        instance.known.put(entry(round((WALL_S + 101.0) * 1000), ids.Server("t")), 102.0)
        instance.run(3.0)
        assert instance.count() == 0
