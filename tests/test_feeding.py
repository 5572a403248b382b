"""Tests of carobhook.coordination.feeding."""

from carobhook.coordination import feeding
from carobhook.state import ids

OWN, OTHER, THIRD = ids.InstanceId("own"), ids.InstanceId("other"), ids.InstanceId("third")


class TestSourceChoice:
    """From whom an instance learns the store's changes."""

    def test_alone_or_first_it_follows_the_store(self):
        """Without another candidate, or as the first one, it watches by itself."""
        choice = feeding.SourceChoice(OWN)
        assert choice.decide([], True, 0.0).direct
        assert choice.decide([OWN, OTHER], True, 0.0).direct

    def test_it_watches_until_the_other_proves_itself(self):
        """A feed is asked for, and used once it is proved to be fresh."""
        choice = feeding.SourceChoice(OWN)
        step = choice.decide([OTHER], True, 0.0)
        assert step.direct
        assert step.ask == OTHER
        choice.told_fresh(OTHER, True, 0.1)
        assert not choice.decide([OTHER], True, 0.2).direct

    def test_proofs_that_stop_are_noticed_within_two_seconds(self):
        """Silence of the source, or a gap in what it told, leads back to the store."""
        choice = feeding.SourceChoice(OWN)
        choice.told_fresh(OTHER, True, 0.0)
        assert not choice.decide([OTHER], True, 0.9).direct
        assert choice.decide([OTHER], True, 1.5).direct
        choice.told_fresh(OTHER, True, 2.0)
        choice.told_fresh(OTHER, False, 2.1)
        assert choice.decide([OTHER], True, 2.2).direct

    def test_a_new_source_must_prove_itself(self):
        """The proofs of the former source count for nothing."""
        choice = feeding.SourceChoice(OWN)
        choice.told_fresh(OTHER, True, 0.0)
        assert choice.decide([THIRD], True, 0.1).direct


class TestSubscribers:
    """Who is told."""

    def test_proofs_are_sent_at_their_interval(self):
        """A proof goes to every subscriber, not more often than needed."""
        held = feeding.Subscribers()
        held.add(OTHER)
        assert held.due(10.0) == [OTHER]
        assert held.due(10.1) == []
        assert held.due(10.4) == [OTHER]
        held.remove(OTHER)
        assert held.names == []
