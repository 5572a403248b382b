"""Tests of carobhook.coordination.newer_versions."""

import itertools
import random

from carobhook.coordination import newer_versions
from carobhook.state import ids

A, B, C = ids.InstanceId("a"), ids.InstanceId("b"), ids.InstanceId("c")


class TestInstanceToAsk:
    """Whom an instance asks for a newer version, and when."""

    def setup_method(self):
        """Create an instance that applies version 3 and waits for 0.25 s."""
        self.newer = newer_versions.NewerVersions(0.25, random.Random(1))

    def ask(self, announced, now, preferred=()):
        """Return whom it asks."""
        return self.newer.instance_to_ask(
            "config",
            {name: version for name, version in announced.items() if version > 3},
            lambda: preferred,
            now,
        )

    def test_own_source_has_time_to_bring_it(self):
        """Nobody is asked at once, and again only after the wait."""
        assert self.ask({A: 4}, 10.0) is None
        assert self.ask({A: 4}, 10.2) is None
        assert self.ask({A: 4}, 10.3) == A
        assert self.ask({A: 4}, 10.4) is None
        assert self.ask({A: 4}, 10.9) == A

    def test_answer_has_more_time_with_each_request(self):
        """A large object may be on its way for longer than the first wait."""
        asked_at = [n / 10 for n in range(100, 200) if self.ask({A: 4}, n / 10) is not None]
        waits_s = [later - at for at, later in itertools.pairwise(asked_at)]
        assert [round(wait_s, 1) for wait_s in waits_s] == [0.5, 1.0, 2.0, 2.0, 2.0, 2.0]

    def test_wait_begins_anew_with_the_next_version(self):
        """What the own source has brought meanwhile is not asked for."""
        self.ask({A: 4}, 10.0)
        assert self.ask({A: 3, B: 2}, 10.1) is None
        assert self.ask({A: 4}, 11.0) is None
        assert self.ask({A: 4}, 11.3) == A

    def test_holder_of_the_newest_version_is_asked(self):
        """Preferred instances are asked first, if they have it."""
        announced = {A: 4, B: 5, C: 5}
        self.ask(announced, 10.0)
        assert self.ask(announced, 11.0, preferred=[A, C]) == C
        assert self.ask(announced, 12.0, preferred=[A]) in (B, C)

    def test_nobody_is_asked_without_others(self):
        """An instance that is alone has the newest version."""
        assert self.ask({}, 10.0) is None
