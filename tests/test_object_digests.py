"""What regions tell each other of the objects of lent servers."""

from carobhook.coordination import object_digests, work_times
from carobhook.state import ids

FIRST, SECOND = ids.Server("s1"), ids.Server("s2")


def recent(*keys):
    """Return the recent objects of a server, the latest last."""
    objects = work_times.RecentObjects()
    for key in keys:
        objects.touch(key)
    return objects


def servers(digests):
    """Return the names of the servers in a digest."""
    return [server for server, _ in digests]


class TestDigestSender:
    """What is told in which report."""

    def test_latest_objects_first(self):
        """Their order tells how long ago the server handled them."""
        sender = object_digests.DigestSender()
        ((_, hashes),) = sender.next_digests([(FIRST, recent("a", "b"))], 0.0)
        assert hashes == (object_digests.object_hash("b"), object_digests.object_hash("a"))

    def test_number_of_objects_is_bounded(self):
        """A server may have handled hundreds."""
        objects = recent(*(f"o{number}" for number in range(500)))
        ((_, hashes),) = object_digests.DigestSender().next_digests([(FIRST, objects)], 0.0)
        assert len(hashes) <= 32

    def test_unchanged_objects_are_told_again_after_seconds(self):
        """A new dispatcher of the borrower has heard nothing."""
        sender = object_digests.DigestSender()
        lent = [(FIRST, recent("a"))]
        assert servers(sender.next_digests(lent, 0.0)) == [FIRST]
        assert servers(sender.next_digests(lent, 0.5)) == []
        assert servers(sender.next_digests(lent, 5.0)) == [FIRST]

    def test_changed_objects_are_told_at_once(self):
        """Another order of the same objects is no change."""
        sender = object_digests.DigestSender()
        sender.next_digests([(FIRST, recent("a", "b"))], 0.0)
        assert servers(sender.next_digests([(FIRST, recent("b", "a"))], 0.5)) == []
        assert servers(sender.next_digests([(FIRST, recent("b", "c"))], 0.5)) == [FIRST]

    def test_all_of_many_servers_are_told_in_turn(self):
        """One report is bounded, and those told longest ago come first."""
        sender = object_digests.DigestSender()
        lent = [(ids.Server(f"s{number:03}"), recent("a")) for number in range(150)]
        told = [
            server for step in range(4) for server in servers(sender.next_digests(lent, step))
        ]
        assert sorted(told) == [server for server, _ in lent]

    def test_server_that_is_lent_again(self):
        """What was told before it was taken back is not known any more."""
        sender = object_digests.DigestSender()
        lent = [(FIRST, recent("a"))]
        sender.next_digests(lent, 0.0)
        sender.next_digests([], 0.5)
        assert servers(sender.next_digests(lent, 1.0)) == [FIRST]


class TestToldObjects:
    """What a borrower knows."""

    def test_holders_and_depth(self):
        """An object may be at several servers."""
        told = object_digests.ToldObjects()
        told.record(FIRST, tuple(map(object_digests.object_hash, "ab")))
        told.record(SECOND, tuple(map(object_digests.object_hash, "b")))
        assert set(told.holders("b")) == {FIRST, SECOND}
        assert (told.depth(FIRST, "b"), told.depth(SECOND, "b")) == (1, 0)
        assert told.depth(SECOND, "a") is None
        assert set(told.holders("c")) == set()

    def test_new_statement_replaces_the_former(self):
        """Objects that were driven out are not expected there."""
        told = object_digests.ToldObjects()
        told.record(FIRST, (object_digests.object_hash("a"),))
        told.record(FIRST, (object_digests.object_hash("b"),))
        assert set(told.holders("a")) == set()
        assert set(told.holders("b")) == {FIRST}

    def test_servers_that_are_gone_are_forgotten(self):
        """Nothing is kept of them."""
        told = object_digests.ToldObjects()
        told.record(FIRST, (1, 2))
        told.record(SECOND, (2, 3))
        told.retain({SECOND: None})
        assert list(told._depths) == [SECOND]
        assert told._servers == {2: {SECOND}, 3: {SECOND}}
