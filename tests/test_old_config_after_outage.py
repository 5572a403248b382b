"""After an outage of the store, an instance served by an old configuration for too long."""

import random

import follower_fleet
import test_store_feed
from carobhook.coordination import store_feed

CONFIG_PROPAGATION_S = follower_fleet.CONFIG_PROPAGATION_S
TIMES = test_store_feed.TIMES


# Longest time from the store's return: a probe is given up, the next one is answered, and so is
# the call that it renews. An instance looks at its sources each tick.
RETURN_S = (
    TIMES.probe_timeout_s
    + TIMES.probe_interval_s
    + 2 * (follower_fleet.TICK_INTERVAL_S + follower_fleet.ANSWER_DELAY_S)
)


def late_delays(size, seeds, limit_s=CONFIG_PROPAGATION_S):
    """Return the delays over a limit of changes that are made at the store's return, by seed.

    Args:
        size: Number of instances, of which the last one counts.
        seeds: Seeds of the lengths of the outages and of all other times.
        limit_s: The limit in seconds.
    """
    late = {}
    for seed in seeds:
        fleet = follower_fleet.Fleet(size, seed)
        fleet.play_outage(random.Random(seed).uniform(3.0, 8.0))
        fleet.change_config()
        delays = fleet.seconds_until_in_force()
        assert len(delays) == size
        if max(delays.values()) > limit_s:
            late[seed] = max(delays.values())
    return late


class TestSilentStore:
    """The store answers nothing for some seconds, and takes a change when it is back."""

    def test_instance_that_follows_the_store_itself_is_in_time(self):
        """A call that was sent during the outage does not hold the next one up."""
        assert not late_delays(1, range(40))

    def test_answered_probe_ends_the_calls_from_before_it(self):
        """The change is not held up by the rest of such a call, nor by the delay after it."""
        assert not late_delays(1, range(40), RETURN_S)

    def test_region_is_in_time(self):
        """The last of several instances has the change in time, whichever it follows."""
        assert not late_delays(3, (28, 258, 270, *range(1000, 1004)))

    def test_store_is_not_taken_for_lost_until_the_next_change(self):
        """An answer without changes is an answer; so is one to a probe of a subscriber."""
        assert self.lost_count_after(10.0) == 0

    def test_return_is_noticed_in_time(self):
        """An instance knows that the store answers again although no object has changed."""
        assert self.lost_count_after(CONFIG_PROPAGATION_S) == 0

    def lost_count_after(self, seconds):
        """Return how many of three instances take the store for lost some time after it."""
        fleet = follower_fleet.Fleet(3, 1)
        fleet.play_outage(5.0)
        assert fleet.lost_count == 3
        fleet.run(seconds)
        return fleet.lost_count


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
