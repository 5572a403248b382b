"""Tests of carobhook.coordination.server_paths."""

from carobhook.coordination import server_paths


def failed(*addresses, now=1.0):
    """Return paths on which no connection could be opened."""
    paths = server_paths.ServerPaths()
    for address in addresses:
        paths.record_failure(address, now)
    return paths


class TestCut:
    """When an instance takes itself for cut from all servers."""

    def test_three_servers_and_no_sound_from_any(self):
        """Two may have ended; with three, the instance itself is more likely at fault."""
        assert not failed("a", "b").is_cut(1.0)
        assert failed("a", "b", "c").is_cut(1.0)

    def test_server_that_answers_meanwhile_disproves_it(self):
        """A zone of servers is lost, and the others go on answering."""
        paths = failed("a", "b", "c")
        paths.record_response("d", False, 1.1)
        assert not paths.is_cut(1.1)

    def test_servers_that_nobody_reaches_do_not_count(self):
        """Three servers have ended, as another instance confirms for one of them."""
        paths = failed("a", "b", "c")
        paths.record_server_fault("b")
        assert not paths.is_cut(1.0)

    def test_unconfirmed_failures_are_forgotten(self):
        """Without new failures, an instance that nobody could ask tries again."""
        paths = failed("a", "b", "c")
        assert not paths.is_cut(6.1)
        paths.retain(lambda address: True, 6.1)
        assert paths.due_probes(6.1) == []

    def test_new_connection_that_works_ends_it(self):
        """One server that responds on one is enough."""
        paths = failed("a", "b", "c")
        paths.record_response("a", True, 2.0)
        assert not paths.is_cut(2.0)

    def test_connections_that_are_reset_at_once_do_not_end_it(self):
        """Something on the path accepts connections and resets them."""
        paths = failed("a", "b", "c")
        for address in "abc":
            paths.record_failure(address, 2.0)
        assert paths.is_cut(2.0)


class TestBlockedPath:
    """Which servers are reached through other instances."""

    def test_path_is_blocked_once_another_instance_reaches_the_server(self):
        """Until then the server itself may be at fault."""
        paths = failed("a")
        assert not paths.is_blocked("a", 1.0)
        paths.record_reached_by_other("a", 1.2)
        assert paths.is_blocked("a", 1.2)
        assert not paths.is_blocked("b", 1.2)
        assert paths.broken_count == 1
        paths.record_response("a", False, 2.0)
        assert paths.is_blocked("a", 2.0)
        paths.record_response("a", True, 3.0)
        assert not paths.is_blocked("a", 3.0)

    def test_all_paths_of_a_cut_instance_are_blocked(self):
        """Also those to servers that it has not tried."""
        assert failed("a", "b", "c").is_blocked("d", 1.0)

    def test_attempts_become_rarer(self):
        """A path that stays broken is tried after 0.5, 1, 2 and then every 4 seconds."""
        paths = failed("a", now=0.0)
        paths.record_reached_by_other("a", 0.0)
        probed = [now / 4 for now in range(80) if paths.due_probes(now / 4)]
        assert probed == [0.5, 1.5, 3.5, 7.5, 11.5, 15.5, 19.5]

    def test_few_paths_are_tried_at_once(self):
        """The others follow with the next call."""
        paths = failed(*"abcdef", now=0.0)
        first = paths.due_probes(0.5)
        assert len(first) == 3
        assert len({*first, *paths.due_probes(0.5)}) == 6

    def test_server_that_is_gone_is_forgotten(self):
        """Its address may belong to another server later."""
        paths = failed("a")
        paths.record_reached_by_other("a", 1.0)
        paths.retain(lambda address: False, 1.0)
        assert not paths.is_blocked("a", 1.0)


class TestSilence:
    """Servers that are checked as none is heard any more."""

    def test_requests_at_three_servers_and_silence(self):
        """One that started a moment ago says nothing yet."""
        started = [("a", 0.0), ("b", 0.1), ("c", 0.2), ("d", 0.9)]
        assert server_paths.silent_addresses(started, 0.0, 1.0, 0.6) == ["a", "b", "c"]

    def test_any_server_that_is_heard_is_enough(self):
        """A slow service alone is no reason."""
        started = [("a", 0.0), ("b", 0.0), ("c", 0.0)]
        assert server_paths.silent_addresses(started, 0.5, 1.0, 0.6) == []

    def test_one_silent_server_is_checked(self):
        """An instance whose requests need one server only would never find that it is cut."""
        assert server_paths.silent_addresses([("a", 0.0)], 0.0, 1.0, 0.6) == ["a"]
        assert server_paths.silent_addresses([("a", 0.5)], 0.0, 1.0, 0.6) == []


class TestFewServers:
    """An instance that knows fewer servers than the failures that it used to need."""

    def test_all_servers_are_enough(self):
        """With one or two known servers, it was never found cut."""
        for count in (1, 2):
            paths = server_paths.ServerPaths(lambda count=count: count)
            for number in range(count):
                assert not paths.is_cut(1.0)
                paths.record_failure(f"s{number}", 1.0)
            assert paths.is_cut(1.0)

    def test_no_server_is_known(self):
        """Without servers there is nothing to be cut from."""
        assert not server_paths.ServerPaths(lambda: 0).is_cut(1.0)


class TestEvidence:
    """What an instance knows of a path before it sends a request on it."""

    def test_nothing_heard(self):
        """An instance that just started knows nothing, and one that was quiet any more."""
        paths = server_paths.ServerPaths()
        assert not paths.is_proven("a", 1.0)
        paths.record_response("b", False, 1.0)
        assert paths.is_proven("a", 1.9)
        assert not paths.is_proven("a", 2.1)

    def test_new_connections_need_evidence_of_their_own(self):
        """A connection of before may live on while new ones are refused."""
        paths = server_paths.ServerPaths()
        paths.record_response("b", False, 1.0)
        assert not paths.opened_lately(1.0)
        paths.record_response("b", True, 1.0)
        assert paths.opened_lately(1.9)
        assert not paths.opened_lately(2.1)

    def test_path_that_failed(self):
        """Other servers that are heard say nothing of it."""
        paths = failed("a")
        paths.record_response("b", True, 1.1)
        assert not paths.is_proven("a", 1.1)
        assert paths.is_proven("b", 1.1)
        assert paths.failed_lately("a", 1.4)
        assert not paths.failed_lately("a", 1.6)
