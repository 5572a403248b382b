"""Tests of carobhook.coordination.paces and steering: what orders move, and how fast."""

import itertools

import hypothesis
from hypothesis import strategies

from carobhook.coordination import catalog, paces, steering
from carobhook.state import ids, orders, servers

CAP = orders.Cap(0.1, 10.0)
REGIONS = {
    ids.FailureDomain("north-a"): ids.Region("north"),
    ids.FailureDomain("north-b"): ids.Region("north"),
    ids.FailureDomain("south-a"): ids.Region("south"),
}
SERVICES = (ids.Service("svc"),)
NORTH, SOUTH = ids.Region("north"), ids.Region("south")


def shift(share=0.5, order="o1", begins_at=0.0, ends_at=None, **fields):
    """Return a shift from north to south."""
    span = orders.Span(begins_at, ends_at)
    return orders.Shift(order, "selam", "svc", NORTH, SOUTH, share, span, **fields)


def drain(kind=orders.DrainKind.REGION, name="north", order="d1", **fields):
    """Return a drain."""
    fields = {"span": orders.Span(0.0)} | fields
    return orders.Drain(order, "selam", kind, name, **fields)


def steered(*moves, cap=CAP, **fields):
    """Return steering with some orders in force."""
    one = steering.Steering(REGIONS)
    one.advance(SERVICES, 0.0, -1.0)
    one.offer(
        orders.OrderState(
            ids.Version(1),
            tuple(m for m in moves if isinstance(m, orders.Shift)),
            tuple(m for m in moves if isinstance(m, orders.Drain)),
            cap=cap,
            **fields,
        )
    )
    return one


def view(name, zone="north-a", slots=4):
    """Return a server that may be used."""
    entry = servers.ServerEntry(
        ids.Server(name), "svc", zone, f"{name}:1", slots, servers.ServerState.READY, 0.0
    )
    return catalog.ServerView(entry, 0.0)


class TestScheduledShare:
    """The share that should have moved at a time."""

    def test_steps_of_the_cap_in_each_window(self):
        """The first step is at once, each other one a window later."""
        span = orders.Span(100.0)
        shares = [paces.scheduled_share(0.25, span, CAP, at) for at in (99, 100, 109, 110, 120)]
        assert [round(share, 9) for share in shares] == [0.0, 0.1, 0.1, 0.2, 0.25]

    def test_return_is_half_as_fast(self):
        """What an ended order moved returns in half steps, from where it had come to."""
        span = orders.Span(0.0, 15.0)
        at = [paces.scheduled_share(0.5, span, CAP, wall) for wall in (14, 15, 25, 35, 45)]
        assert [round(share, 9) for share in at] == [0.2, 0.15, 0.1, 0.05, 0.0]

    def test_duration(self):
        """The first step is at once, so the time is one window less than the steps."""
        assert [paces.duration_s(goal, CAP) for goal in (0.1, 0.25, 0.3)] == [0.0, 20.0, 20.0]


class TestCap:
    """No instance moves more than the cap within any window."""

    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        goals=strategies.lists(strategies.floats(0.05, 0.6), min_size=1, max_size=3),
        steps=strategies.lists(strategies.floats(-200.0, 200.0), min_size=1, max_size=6),
    )
    def test_whatever_the_wall_clock_does(self, goals, steps):
        """Several orders, and a wall clock that steps to and fro, move the cap at most."""
        moves = [shift(goal, f"o{number}") for number, goal in enumerate(goals)]
        one = steered(*moves)
        wall, history = 0.0, []
        for tick in range(600):
            now = tick * 0.1
            wall += 0.1 + (steps[(tick // 100) % len(steps)] if tick % 100 == 50 else 0.0)
            one.advance(SERVICES, now, wall)
            history.append((now, [one.share_of(move.order) for move in moves]))
        changes = [
            (after[0], sum(abs(a - b) for a, b in zip(after[1], before[1], strict=True)))
            for before, after in itertools.pairwise(history)
        ]
        for start, _ in changes:
            moved = sum(share for at, share in changes if start <= at < start + CAP.window_s)
            assert moved <= CAP.share + 1e-9

    def test_new_instance_takes_up_where_the_others_are(self):
        """An instance that starts while an order is half done moves no traffic back."""
        one = steering.Steering(REGIONS)
        one.offer(orders.OrderState(ids.Version(1), (shift(0.5),), cap=CAP))
        one.advance(SERVICES, 0.0, 35.0)
        assert round(one.share_of("o1"), 9) == 0.4


class TestShifts:
    """Requests that go to another region."""

    def test_each_region_gets_its_part(self):
        """Over a few requests the parts are right, without runs of one region."""
        one = steered(shift(0.3, cap=orders.Cap(1.0, 1.0)))
        one.advance(SERVICES, 1.0, 1.0)
        chosen = [one.region_for("svc", NORTH, 1, frozenset()) for _ in range(100)]
        assert chosen.count(SOUTH) == 30
        assert all(2 <= chosen[i : i + 10].count(SOUTH) <= 4 for i in range(90))
        assert one.region_for("svc", SOUTH, 1, frozenset()) == SOUTH
        assert one.region_for("other", NORTH, 1, frozenset()) == NORTH

    def test_homes_and_ranks_bind(self):
        """What must stay in its region stays, and so do other ranks."""
        one = steered(shift(1.0, cap=orders.Cap(1.0, 1.0), priority=2))
        one.advance(SERVICES, 1.0, 1.0)
        assert one.region_for("svc", NORTH, 2, frozenset()) == SOUTH
        assert one.region_for("svc", NORTH, 2, frozenset({NORTH})) == NORTH
        assert one.region_for("svc", NORTH, 0, frozenset()) == NORTH

    def test_older_orders_never_replace_newer_ones(self):
        """An order in force never reverts because an old version is heard again."""
        one = steered(shift())
        assert not one.offer(orders.OrderState(ids.Version(1)))
        assert not one.offer(orders.OrderState(ids.Version(0)))
        assert one.book.shifts

    def test_rank_of_a_route_goes_before_the_configuration(self):
        """An order sets the rank of a route; others keep theirs."""
        one = steered(priorities={"r-buy": 0})
        assert (one.priority("r-buy", 2), one.priority("r-other", 2)) == (0, 2)


class TestDrains:
    """Servers that are left without new work."""

    def test_slots_are_withheld_step_by_step(self):
        """The share withheld is that of the schedule, over all servers together."""
        one = steered(drain(), cap=orders.Cap(0.25, 10.0))
        views = [view(f"s{number}") for number in range(4)]
        found = []
        for now in (0.0, 10.0, 20.0, 30.0):
            one.advance(SERVICES, now, now)
            found.append(sum(one.withheld("svc", NORTH, views).values()))
        assert found == [4, 8, 12, 16]
        assert one.empties(views[0].entry)
        assert not one.empties(view("s9", "south-a").entry)

    def test_same_slots_stay_withheld(self):
        """Each step adds to the slots of the step before."""
        one = steered(drain(), cap=orders.Cap(0.25, 10.0))
        views = [view(f"s{number}") for number in range(4)]
        before = {}
        for now in (0.0, 10.0, 20.0, 30.0):
            one.advance(SERVICES, now, now)
            after = one.withheld("svc", NORTH, views)
            assert all(after[name] >= count for name, count in before.items())
            before = after

    def test_server_and_domain(self):
        """Only what the drain names is emptied."""
        at_once = orders.Cap(1.0, 1.0)
        one = steered(
            drain(orders.DrainKind.SERVER, "s1", cap=at_once),
            drain(orders.DrainKind.FAILURE_DOMAIN, "north-b", "d2", cap=at_once),
        )
        one.advance(SERVICES, 1.0, 1.0)
        names = [("s1", "north-a"), ("s2", "north-a"), ("s3", "north-b"), ("s4", "south-a")]
        emptied = [name for name, zone in names if one.empties(view(name, zone).entry)]
        assert emptied == ["s1", "s3"]

    def test_schedule(self):
        """A drain that has not begun withholds nothing; one that has ended returns."""
        one = steered(drain(span=orders.Span(50.0, 60.0), cap=orders.Cap(1.0, 1.0)))
        shares = []
        for now in (49.0, 51.0, 59.0, 61.0, 63.0):
            one.advance(SERVICES, now, now)
            shares.append(round(one.share_of("d1"), 9))
        assert shares == [0.0, 1.0, 1.0, 0.0, 0.0]
