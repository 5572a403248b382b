"""Tests of how configurations are decoded and their routes found, at thousands of routes."""

import copy
import random

import pytest

import test_large_config_late
import test_restored_store
from carobhook.platform import objects as platform_objects


def spec(version, routes):
    """Return the ``Spec`` of a configuration."""
    return {**test_restored_store.config(version), "Routes": routes}


class TestConfigDecoder:
    """Configurations that follow each other."""

    def setup_method(self):
        """Create some routes, and a decoder that has decoded them."""
        self.routes = test_large_config_late.create_routes(50, random.Random(1))
        self.decoder = platform_objects.ConfigDecoder()
        self.first = self.decoder.decode(spec(1, self.routes))

    def test_unchanged_routes_are_not_decoded_again(self):
        """They are the same objects; a changed one is not."""
        routes = copy.deepcopy(self.routes)
        routes[7]["Timeout"] = "1500ms"
        second = self.decoder.decode(spec(2, routes))
        changed = [
            number
            for number, pair in enumerate(zip(self.first.routes, second.routes, strict=True))
            if pair[0] is not pair[1]
        ]
        assert changed == [7]
        assert second.routes[7].timeout_s == 1.5

    def test_result_does_not_depend_on_what_was_decoded_before(self):
        """Routes may be changed, added, removed, moved and named like others."""
        rng = random.Random(2)
        routes = copy.deepcopy(self.routes)
        for version in range(2, 60):
            routes = copy.deepcopy(routes)
            rng.choice(routes)["Timeout"] = f"{rng.randrange(100, 9000)}ms"
            rng.choice(routes)["Name"] = rng.choice(routes)["Name"]
            routes.insert(rng.randrange(len(routes)), routes.pop())
            if rng.random() < 0.5:
                routes.pop(rng.randrange(len(routes)))
                routes += test_large_config_late.create_routes(1, rng)
            raw = spec(version, routes)
            assert self.decoder.decode(raw) == platform_objects.ConfigDecoder().decode(raw)

    @pytest.mark.parametrize("route", [None, [], "r", {"Name": []}, {"Name": "r"}, {}])
    def test_malformed_route_changes_nothing(self, route):
        """The configuration is refused as a whole, and the next one is decoded."""
        with pytest.raises(platform_objects.MalformedObjectError):
            self.decoder.decode(spec(2, [*self.routes, route]))
        assert self.decoder.decode(spec(3, self.routes)).routes == self.first.routes


class TestMatch:
    """Which route a path has."""

    def route_of(self, prefixes, path):
        """Return the prefix of the route that a path has among those of one host."""
        routes = test_large_config_late.create_routes(len(prefixes), random.Random(1))
        for route, prefix in zip(routes, prefixes, strict=True):
            route.update(Host="Shop.example", PathPrefix=prefix)
        config = platform_objects.ConfigDecoder().decode(spec(1, routes))
        found = config.match("shop.Example:80", path)
        return found.prefix if found is not None else None

    @pytest.mark.parametrize(
        ("path", "prefix"),
        [
            ("/a/b/c", "/a/b/"),
            ("/a/b/", "/a/b/"),
            ("/a/b", "/a/"),
            ("/a/x/b/", "/a/"),
            ("/a", None),
            ("/b/a/", None),
            ("", None),
        ],
    )
    def test_longest_prefix_is_taken(self, path, prefix):
        """It has to begin the path."""
        assert self.route_of(["/a/", "/c/d/e/f/", "/a/b/"], path) == prefix

    def test_same_as_a_search_of_all_routes(self):
        """At random prefixes and paths."""
        rng = random.Random(3)

        def random_path():
            parts = rng.choices(["a", "b", "ab"], k=rng.randrange(4))
            return "/" + "".join(f"{part}/" for part in parts)

        for _ in range(200):
            prefixes, path = [random_path() for _ in range(6)], random_path() + "x"
            begins = [prefix for prefix in prefixes if path.startswith(prefix)]
            assert self.route_of(prefixes, path) == max(begins, key=len, default=None)
