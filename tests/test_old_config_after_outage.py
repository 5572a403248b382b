"""After an outage of the store, an instance served by an old configuration for too long."""

import random

import follower_fleet
from carobhook.coordination import store_feed

CONFIG_PROPAGATION_S = follower_fleet.CONFIG_PROPAGATION_S


def delay_after_outage(size, seed):
    """Return after how many seconds a change made at the store's return is in force everywhere.

    Args:
        size: Number of instances.
        seed: Seed of the length of the outage and of all other times.
    """
    fleet = follower_fleet.Fleet(size, seed)
    fleet.stop_answers()
    fleet.run(random.Random(seed).uniform(3.0, 8.0))
    fleet.resume_answers()
    fleet.change_config()
    delays = fleet.seconds_until_in_force()
    assert len(delays) == size
    return max(delays.values())


class TestSilentStore:
    """The store answers nothing for some seconds, and takes a change when it is back."""

    def test_instance_that_follows_the_store_itself_is_in_time(self):
        """A call that was sent during the outage does not hold the next one up."""
        late = {}
        for seed in range(40):
            delay_s = delay_after_outage(1, seed)
            if delay_s > CONFIG_PROPAGATION_S:
                late[seed] = delay_s
        assert not late

    def test_region_is_in_time(self):
        """The last of several instances has the change in time, whichever it follows."""
        late = {}
        for seed in (28, 258, 270, *range(1000, 1004)):
            delay_s = delay_after_outage(3, seed)
            if delay_s > CONFIG_PROPAGATION_S:
                late[seed] = delay_s
        assert not late

    def test_store_is_not_taken_for_lost_until_the_next_change(self):
        """An answer without changes is an answer; so is one to a probe of a subscriber."""
        fleet = follower_fleet.Fleet(3, 1)
        fleet.stop_answers()
        fleet.run(5.0)
        assert fleet.lost_count == 3
        fleet.resume_answers()
        fleet.run(10.0)
        assert fleet.lost_count == 0

    def test_return_is_noticed_in_time(self):
        """An instance knows that the store answers again although no object has changed."""
        fleet = follower_fleet.Fleet(3, 1)
        fleet.stop_answers()
        fleet.run(5.0)
        assert fleet.lost_count == 3
        fleet.resume_answers()
        fleet.run(CONFIG_PROPAGATION_S)
        assert fleet.lost_count == 0


class TestUnconfirmedSource:
    """A new source of changes has not heard anything from the store yet."""

    def test_subscriber_is_no_more_confirmed_than_its_source(self):
        """A watch confirms nothing before its first answer, though probes are answered."""
        fleet = follower_fleet.Fleet(3, 1)
        former = next(i for i in fleet.instances.values() if i.sync.is_direct)
        _, second, third = store_feed.candidates(former.members.values(), follower_fleet.REGION)
        source, subscriber = fleet.instances[second], fleet.instances[third]
        source.store.is_mute = True
        former.stop()
        followed = set()
        for _ in range(40):
            fleet.run(0.1)
            followed.add(subscriber.sync.is_direct)
            confirmed_at = max(
                source.sync.config_confirmed_at, subscriber.store.watch_answered_at
            )
            assert subscriber.sync.config_confirmed_at <= confirmed_at + 0.01
        assert followed == {False, True}


class TestRegionWithoutStore:
    """The store answers the instances of one region, and none of another."""

    def test_change_that_others_apply_comes_into_force(self):
        """Who hears in heartbeats of a newer version gets it from an instance that has it."""
        fleet = follower_fleet.Fleet(4, 1, has_other_region=True)
        for name in fleet.names[:3]:
            fleet.instances[name].store.go_silent()
        fleet.run(5.0)
        fleet.change_config()
        delays = fleet.seconds_until_in_force()
        assert len(delays) == 4
        assert max(delays.values()) <= CONFIG_PROPAGATION_S
