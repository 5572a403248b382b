"""Tests of carobhook.coordination.directory."""

import pytest

from carobhook.coordination import directory
from carobhook.state import ids, members


def member(name, domain):
    """Return a member; its region is the first part of its domain's name."""
    return members.Member(
        ids.InstanceId(name),
        ids.Incarnation("0" * 16),
        ids.Region(domain.split("-")[0]),
        ids.FailureDomain(domain),
        f"{name}:1",
        f"{name}:2",
        members.Phase.READY,
        ids.Version(1),
    )


NA1, NA2, NB1, SA1 = (
    member("na1", "north-a"),
    member("na2", "north-a"),
    member("nb1", "north-b"),
    member("sa1", "south-a"),
)


class TestNearest:
    """Which instances are nearest to clients of a failure domain."""

    @pytest.mark.parametrize(
        ("serving", "domain", "expected"),
        [
            ([NA1, NA2, NB1, SA1], "north-a", [NA1, NA2]),
            ([NA1, NA2, NB1, SA1], "north-b", [NA1, NA2, NB1]),
            ([NA1, NB1, SA1], "north-a", [NA1, NB1]),
            ([NA1, SA1], "north-b", [NA1]),
            ([SA1], "north-a", [SA1]),
            ([], "north-a", []),
        ],
    )
    def test_domain_is_preferred_to_region_and_region_to_all(self, serving, domain, expected):
        """Two instances of the domain suffice; one would leave clients no second address."""
        found = directory.nearest(serving, ids.Region("north"), ids.FailureDomain(domain))
        assert found == expected
