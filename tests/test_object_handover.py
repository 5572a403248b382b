"""A change of dispatcher, after which objects are found where they are in memory."""

import pytest

import region_simulation
from carobhook.coordination import object_digests, object_handover
from carobhook.protocol import slot_messages
from carobhook.state import ids

LARGE = region_simulation.LARGE
SERVER_COUNTS = {
    region_simulation.SMALL: 5,
    region_simulation.MIDDLE: 20,
    LARGE: 24,
}
SLOTS = 4
MEMORY = 13
# Work that is late wherever the object is not in memory.
TRAFFIC = region_simulation.Traffic(
    per_s=60.0, work_s=0.82, warm_s=0.25, objects=106, target_s=0.6
)
SHARD = (LARGE, region_simulation.SERVICE)
A, B = ids.Server("a"), ids.Server("b")


def use(server, name, age_ms):
    """Return the use of an object as an instance tells it."""
    return slot_messages.ObjectUse(server, object_digests.object_hash(name), age_ms)


class TestChangeOfDispatcher:
    """A dispatcher whose predecessor knew where the objects were."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_requests_find_servers_that_have_their_objects(self, seed):
        """Half of them ran anew elsewhere, late, in the second after a change (issue 55)."""
        regions = region_simulation.Regions(
            seed, server_counts=SERVER_COUNTS, slots=SLOTS, memory=MEMORY
        )
        regions.play(dict.fromkeys(SERVER_COUNTS, TRAFFIC), 10.0)
        regions.restart_dispatcher(LARGE)
        regions.play(dict.fromkeys(SERVER_COUNTS, TRAFFIC), 1.0)
        since = regions.clock.seconds()
        regions.play(dict.fromkeys(SERVER_COUNTS, TRAFFIC), 2.0)
        runs = [run for run in regions.runs if run.home == LARGE and run.at >= since]
        assert sum(run.in_time for run in runs) / len(runs) > 0.85


class TestObjectUses:
    """What an instance remembers and tells."""

    def test_latest_uses_of_the_shard_are_told(self):
        """Each server and object once, with the age of its latest use."""
        uses = object_handover.ObjectUses()
        uses.record(SHARD, A, "x", 1.0)
        uses.record((LARGE, ids.Service("other")), A, "y", 2.0)
        uses.record(SHARD, A, "x", 3.0)
        uses.record(SHARD, B, "x", 3.5)
        assert uses.latest(SHARD, 4.0) == (use(B, "x", 500), use(A, "x", 1000))

    def test_old_uses_are_not_told(self):
        """The server has replaced the object since."""
        uses = object_handover.ObjectUses()
        uses.record(SHARD, A, "x", 1.0)
        assert uses.latest(SHARD, 60.0) == ()

    def test_number_is_bounded(self):
        """A report must not hold up the reports of slots on a slow link."""
        uses = object_handover.ObjectUses()
        for number in range(2000):
            uses.record(SHARD, A, f"o{number}", 1.0)
        assert len(uses.latest(SHARD, 1.0)) == 96


class TestHandedOverObjects:
    """What several instances told a new dispatcher."""

    def test_latest_use_by_any_instance_counts(self):
        """The objects of a server are in the order of their latest uses."""
        told = object_handover.HandedOverObjects()
        told.add([use(A, "x", 900), use(A, "y", 500)], 10.0)
        found = told.add([use(A, "x", 100), use(B, "z", 5)], 10.2)
        x, y, z = (object_digests.object_hash(name) for name in "xyz")
        assert found == {A: (x, y), B: (z,)}
