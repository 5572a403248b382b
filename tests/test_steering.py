"""Tests of carobhook.coordination.order_rollout and steering: how orders take effect."""

import itertools

import hypothesis
from hypothesis import strategies

from carobhook.coordination import catalog, order_rollout, steering
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


def steering_with(*moves, cap=CAP, **fields):
    """Return the steering of an instance that started before some orders were given."""
    instance = steering.Steering(REGIONS)
    instance.advance(SERVICES, 0.0, -1.0)
    instance.replace_if_newer(
        orders.OrderState(
            ids.Version(1),
            tuple(m for m in moves if isinstance(m, orders.Shift)),
            tuple(m for m in moves if isinstance(m, orders.Drain)),
            cap=cap,
            **fields,
        )
    )
    return instance


def server_view(name, failure_domain="north-a", slots=4):
    """Return a server that may be used."""
    entry = servers.ServerEntry(
        ids.Server(name),
        "svc",
        failure_domain,
        f"{name}:1",
        slots,
        servers.ServerState.READY,
        0.0,
    )
    return catalog.ServerView(entry, 0.0)


class TestScheduledShare:
    """The share that an order should keep moved at a given time."""

    def test_share_grows_by_cap_each_window(self):
        """The first step is taken at once, and each further one a window later."""
        span = orders.Span(100.0)
        shares = [
            order_rollout.scheduled_share(0.25, span, CAP, at)
            for at in (99, 100, 109, 110, 120)
        ]
        assert [round(share, 9) for share in shares] == [0.0, 0.1, 0.1, 0.2, 0.25]

    def test_return_at_half_rate(self):
        """After its end, an order returns its share in steps half as large as those before."""
        span = orders.Span(0.0, 15.0)
        shares = [
            order_rollout.scheduled_share(0.5, span, CAP, wall_time)
            for wall_time in (14, 15, 25, 35, 45)
        ]
        assert [round(share, 9) for share in shares] == [0.2, 0.15, 0.1, 0.05, 0.0]

    def test_duration_excludes_first_window(self):
        """The first step is taken at once, so n steps take n - 1 windows."""
        assert [order_rollout.duration_s(goal, CAP) for goal in (0.1, 0.25, 0.3)] == [
            0.0,
            20.0,
            20.0,
        ]


class TestCap:
    """No instance moves more than the cap within any window."""

    @hypothesis.settings(max_examples=60, derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        goals=strategies.lists(strategies.floats(0.05, 0.6), min_size=1, max_size=3),
        jumps=strategies.lists(strategies.floats(-200.0, 200.0), min_size=1, max_size=6),
    )
    def test_cap_holds_across_wall_clock_jumps(self, goals, jumps):
        """Several orders together stay within the cap when the wall clock jumps either way."""
        moves = [shift(goal, f"o{number}") for number, goal in enumerate(goals)]
        instance = steering_with(*moves)
        wall_time, history = 0.0, []
        for tick in range(600):
            now = tick * 0.1
            wall_time += 0.1 + (jumps[(tick // 100) % len(jumps)] if tick % 100 == 50 else 0.0)
            instance.advance(SERVICES, now, wall_time)
            history.append((now, [instance.applied_share(move.order) for move in moves]))
        changes = [
            (after[0], sum(abs(a - b) for a, b in zip(after[1], before[1], strict=True)))
            for before, after in itertools.pairwise(history)
        ]
        for start, _ in changes:
            moved = sum(share for at, share in changes if start <= at < start + CAP.window_s)
            assert moved <= CAP.share + 1e-9

    def test_new_instance_starts_at_scheduled_share(self):
        """An instance that starts while an order is partly applied moves no traffic back."""
        instance = steering.Steering(REGIONS)
        instance.replace_if_newer(orders.OrderState(ids.Version(1), (shift(0.5),), cap=CAP))
        instance.advance(SERVICES, 0.0, 35.0)
        assert round(instance.applied_share("o1"), 9) == 0.4


class TestShifts:
    """Requests that shifts send to another region."""

    def test_each_region_gets_its_share(self):
        """The shares hold within any ten requests, so no region gets long runs of requests."""
        instance = steering_with(shift(0.3, cap=orders.Cap(1.0, 1.0)))
        instance.advance(SERVICES, 1.0, 1.0)
        chosen = [instance.choose_region("svc", NORTH, 1, frozenset()) for _ in range(100)]
        assert chosen.count(SOUTH) == 30
        assert all(2 <= chosen[i : i + 10].count(SOUTH) <= 4 for i in range(90))
        assert instance.choose_region("svc", SOUTH, 1, frozenset()) == SOUTH
        assert instance.choose_region("other", NORTH, 1, frozenset()) == NORTH

    def test_home_regions_and_rank_limit_shift(self):
        """Requests bound to their home region and requests of other ranks are not shifted."""
        instance = steering_with(shift(1.0, cap=orders.Cap(1.0, 1.0), priority=2))
        instance.advance(SERVICES, 1.0, 1.0)
        assert instance.choose_region("svc", NORTH, 2, frozenset()) == SOUTH
        assert instance.choose_region("svc", NORTH, 2, frozenset({NORTH})) == NORTH
        assert instance.choose_region("svc", NORTH, 0, frozenset()) == NORTH

    def test_older_version_is_ignored(self):
        """An old version that arrives again does not replace newer orders in force."""
        instance = steering_with(shift())
        assert not instance.replace_if_newer(orders.OrderState(ids.Version(1)))
        assert not instance.replace_if_newer(orders.OrderState(ids.Version(0)))
        assert instance.in_force.shifts

    def test_order_overrides_configured_rank(self):
        """An order sets the rank of one route; the other routes keep their configured ranks."""
        instance = steering_with(priorities={"r-buy": 0})
        assert (instance.route_priority("r-buy", 2), instance.route_priority("r-other", 2)) == (
            0,
            2,
        )


class TestDrains:
    """Servers whose slots drains withhold."""

    def test_slots_are_withheld_in_steps(self):
        """The number of slots withheld on all servers together follows the scheduled share."""
        instance = steering_with(drain(), cap=orders.Cap(0.25, 10.0))
        views = [server_view(f"s{number}") for number in range(4)]
        counts = []
        for now in (0.0, 10.0, 20.0, 30.0):
            instance.advance(SERVICES, now, now)
            counts.append(sum(instance.withheld_slots("svc", NORTH, views).values()))
        assert counts == [4, 8, 12, 16]
        assert instance.is_fully_drained(views[0].entry)
        assert not instance.is_fully_drained(server_view("s9", "south-a").entry)

    def test_withheld_slots_only_grow(self):
        """Slots that one step withholds stay withheld in the next."""
        instance = steering_with(drain(), cap=orders.Cap(0.25, 10.0))
        views = [server_view(f"s{number}") for number in range(4)]
        before = {}
        for now in (0.0, 10.0, 20.0, 30.0):
            instance.advance(SERVICES, now, now)
            after = instance.withheld_slots("svc", NORTH, views)
            assert all(after[name] >= count for name, count in before.items())
            before = after

    def test_drain_of_server_and_of_domain(self):
        """Only the server or failure domain that a drain names is drained."""
        at_once = orders.Cap(1.0, 1.0)
        instance = steering_with(
            drain(orders.DrainKind.SERVER, "s1", cap=at_once),
            drain(orders.DrainKind.FAILURE_DOMAIN, "north-b", "d2", cap=at_once),
        )
        instance.advance(SERVICES, 1.0, 1.0)
        server_domains = [
            ("s1", "north-a"),
            ("s2", "north-a"),
            ("s3", "north-b"),
            ("s4", "south-a"),
        ]
        drained = [
            name
            for name, domain in server_domains
            if instance.is_fully_drained(server_view(name, domain).entry)
        ]
        assert drained == ["s1", "s3"]

    def test_scheduled_drain(self):
        """A drain has no effect before its start, and its slots return after its end."""
        instance = steering_with(drain(span=orders.Span(50.0, 60.0), cap=orders.Cap(1.0, 1.0)))
        shares = []
        for now in (49.0, 51.0, 59.0, 61.0, 63.0):
            instance.advance(SERVICES, now, now)
            shares.append(round(instance.applied_share("d1"), 9))
        assert shares == [0.0, 1.0, 1.0, 0.0, 0.0]
