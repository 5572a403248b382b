"""Whatever is late, lost or gone, an old configuration is not taken for a recent one."""

import random

import pytest

import follower_fleet

CONFIG_PROPAGATION_S = follower_fleet.CONFIG_PROPAGATION_S
# All disturbances are over within this time; a second later everything is as it was before.
DISTURBED_S = 20.0
SETTLE_S = 6.0


class DisturbedFleet:
    """Instances in whose region links become late, the store fails and instances end.

    Args:
        seed: Seed of all disturbances.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = follower_fleet.Fleet(
            self.rng.choice([2, 3, 5]), seed, has_other_region=self.rng.random() < 0.3
        )
        self.written_at = {1: self.fleet.clock.seconds()}
        self.wrong = []

    def disturb(self):
        """Begin one disturbance at random."""
        instance = self.rng.choice(list(self.fleet.instances.values()))
        disturbance = self.rng.choice(
            [self.delay_link, self.silence_store, self.lose_messages, self.change, self.change]
        )
        disturbance(instance)

    def delay_link(self, instance):
        """Let a link become late, and later come back to what it was."""
        link = self.rng.choice([instance.incoming, instance.outgoing])
        within_s = self.rng.uniform(0.5, 4.0)
        link.become_late(self.rng.uniform(0.2, 5.0), within_s)
        self.fleet.clock.callLater(within_s + 1.0, setattr, link, "delay_s", 0.0)

    def silence_store(self, instance):
        """Let the store answer an instance nothing for some seconds."""
        instance.store.go_silent()
        self.fleet.clock.callLater(
            self.rng.uniform(0.3, 5.0), setattr, instance.store, "is_silent", False
        )

    def lose_messages(self, instance):
        """Lose what an instance sends for a while, as when its streams break."""
        instance.loses_messages = True
        self.fleet.clock.callLater(
            self.rng.uniform(0.1, 2.0), setattr, instance, "loses_messages", False
        )

    def change(self, instance):
        """Write a configuration."""
        self.fleet.change_config()
        self.written_at[self.fleet.version] = self.fleet.clock.seconds()

    def run(self, seconds):
        """Simulate some seconds, and note each instance that is wrong about its age."""
        for _ in range(round(seconds / 0.05)):
            self.fleet.run(0.05)
            now = self.fleet.clock.seconds()
            for name, instance in self.fleet.instances.items():
                missing_since = [
                    at for version, at in self.written_at.items() if version > instance.version
                ]
                is_behind = now - min(missing_since, default=now) > CONFIG_PROPAGATION_S + 0.05
                if is_behind and instance.sync.is_config_recent:
                    self.wrong.append((round(now, 2), name, instance.version))


@pytest.mark.parametrize("seed", range(12))
class TestRecentConfig:
    """Random disturbances of a region."""

    def test_old_config_is_never_recent_and_the_newest_comes_into_force(self, seed):
        """During all disturbances, and some seconds after them."""
        disturbed = DisturbedFleet(seed)
        for _ in range(disturbed.rng.randint(3, 12)):
            disturbed.disturb()
            disturbed.run(disturbed.rng.uniform(0.0, DISTURBED_S / 12))
        disturbed.run(SETTLE_S)
        assert disturbed.wrong == []
        assert disturbed.fleet.versions == {disturbed.fleet.version}
