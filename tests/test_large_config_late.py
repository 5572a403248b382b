"""A configuration of thousands of routes that came late, as it was sent again and again."""

import random

import pytest

import follower_fleet

CONFIG_PROPAGATION_S = follower_fleet.CONFIG_PROPAGATION_S
# 5 Mbit/s.
LINK_BYTES_PER_S = 625_000.0
SIZE = 14
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"


def create_routes(count, rng):
    """Return routes with names that share nothing, as the store keeps them."""

    def word():
        return "".join(rng.choices(LETTERS, k=7))

    return [
        {
            "Name": f"r-{word()}",
            "Host": f"{word()}.example",
            "PathPrefix": f"/{word()}/",
            "Kind": rng.choice(["safe", "unsafe", "download"]),
            "Timeout": "4000ms",
            "TargetLatency": "1620ms",
            "Priority": 1,
            "Service": "catalogue",
            "MaxAttempts": 2,
            "SessionAffinity": True,
            "HomeRegions": [],
        }
        for _ in range(count)
    ]


class TestLargeConfig:
    """Changes of a configuration that takes some time on the links of its subscribers."""

    def setup_method(self):
        """Start a region with links of 5 Mbit/s."""
        self.rng = random.Random(43)
        self.fleet = follower_fleet.Fleet(SIZE, 1, link_bytes_per_s=LINK_BYTES_PER_S)
        self.routes = []

    def change(self, added_count):
        """Add routes, and return after how many seconds they are in force everywhere."""
        self.routes = self.routes + create_routes(added_count, self.rng)
        self.fleet.change_config(self.routes)
        delays = self.fleet.seconds_until_in_force(limit_s=10.0)
        assert len(delays) == SIZE
        return max(delays.values())

    def repeated_bytes(self):
        """Return the bytes that instances were sent of what they had already."""
        return sum(i.sync.feed_bytes.repeated for i in self.fleet.instances.values())

    @pytest.mark.parametrize("count", [1100, 2200, 4000])
    def test_large_config_is_in_force_in_time(self, count):
        """The bound holds up to nearly the largest value that the store takes."""
        assert self.change(count) <= CONFIG_PROPAGATION_S

    def test_changes_of_a_large_config_are_in_force_in_time(self):
        """A change that follows right after another one does not wait behind its copies."""
        delays = [self.change(count) for count in (3000, 1, 1, 1)]
        assert max(delays) <= CONFIG_PROPAGATION_S

    def test_large_config_is_sent_to_each_subscriber_once(self):
        """What is under way is not asked for again."""
        before = self.repeated_bytes()
        self.change(3000)
        self.fleet.run(3.0)
        assert self.repeated_bytes() == before
