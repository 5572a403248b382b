"""Late messages and answers, by which an old configuration was taken for a recent one."""

import pytest

import follower_fleet

CONFIG_PROPAGATION_S = follower_fleet.CONFIG_PROPAGATION_S
# Until a source that is late is left for the store, and the store has answered.
MAX_LATE_S = 6.0


def seconds_wrongly_recent(fleet):
    """Change the configuration; return how long an old one counts as recent past the bound.

    Args:
        fleet: The instances.
    """
    fleet.change_config()
    changed_at = fleet.clock.seconds()
    latest_at = changed_at
    while fleet.clock.seconds() < changed_at + CONFIG_PROPAGATION_S + MAX_LATE_S:
        fleet.run(follower_fleet.STEP_S)
        for instance in fleet.instances.values():
            if instance.version < fleet.version and instance.sync.is_config_recent:
                latest_at = fleet.clock.seconds()
    return max(0.0, latest_at - changed_at - CONFIG_PROPAGATION_S)


@pytest.mark.parametrize("late_s", [1.0, 2.0, 3.0, 4.0])
@pytest.mark.parametrize("within_s", [2.0, 3.0, 6.0])
class TestLateMessages:
    """What an instance sends, or gets, is under way for longer and longer."""

    def test_source_whose_messages_are_late_is_left_in_time(self, late_s, within_s):
        """Subscribers turn to the store, although messages of the source go on to arrive."""
        fleet = follower_fleet.Fleet(3, 1)
        fleet.source.outgoing.become_late(late_s, within_s)
        fleet.run(within_s)
        fleet.change_config()
        delays = fleet.seconds_until_in_force()
        assert len(delays) == 3
        assert max(delays.values()) <= CONFIG_PROPAGATION_S

    def test_instance_that_gets_everything_late_knows_that_it_may_be_behind(
        self, late_s, within_s
    ):
        """Late messages, and late answers of the store, confirm nothing past their sending."""
        fleet = follower_fleet.Fleet(3, 1)
        subscriber = next(i for i in fleet.instances.values() if not i.sync.is_direct)
        subscriber.incoming.become_late(late_s, within_s)
        fleet.run(within_s)
        assert seconds_wrongly_recent(fleet) == 0.0

    def test_source_that_gets_everything_late_knows_that_it_may_be_behind(
        self, late_s, within_s
    ):
        """Late answers of the store confirm nothing to the source, nor to its subscribers."""
        fleet = follower_fleet.Fleet(3, 1)
        fleet.source.incoming.become_late(late_s, within_s)
        fleet.run(within_s)
        assert seconds_wrongly_recent(fleet) == 0.0
