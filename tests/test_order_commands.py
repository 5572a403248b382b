"""Tests of carobhook.coordination.order_commands and order_store: which orders are accepted."""

import pytest
from twisted.internet import defer, task

import store_access
from carobhook.coordination import order_commands, order_store
from carobhook.protocol import language, order_codec
from carobhook.state import codes, ids, orders

KNOWN = order_commands.KnownNames(
    {"north-a": "north", "north-b": "north", "south-a": "south"},
    ("svc", "other"),
    ("r-buy",),
    ("s1", "s2"),
)


def context(order="o1", author="selam", wall_time=1000.0, text="an order"):
    """Return the context of an order."""
    return order_commands.OrderContext(ids.OrderId(order), author, text, wall_time, KNOWN)


def apply_all(*texts, current=None, wall_time=1000.0):
    """Return the orders in force after several commands in turn."""
    current = current or orders.OrderState()
    for number, text in enumerate(texts, start=1):
        current = order_commands.apply(
            language.parse(text), current, context(f"o{number}", wall_time=wall_time)
        )
    return current


class TestApply:
    """How commands change the orders in force."""

    def test_each_order_makes_a_version_with_its_author(self):
        """The audit trail records the version, author and time of each order."""
        current = apply_all("set cap 20% per 10s", "shift svc from north to south by 10%")
        assert current.version == 2
        assert [(c.version, c.author, c.at) for c in current.changes] == [
            (1, "selam", 1000.0),
            (2, "selam", 1000.0),
        ]
        assert current.cap_of(current.shifts[0]) == orders.Cap(0.2, 10.0)

    def test_audit_trail_is_bounded(self):
        """Only the latest 200 changes are kept."""
        current = apply_all(*["set cap 20% per 10s"] * 205)
        assert (current.version, len(current.changes), current.changes[0].version) == (
            205,
            200,
            6,
        )

    @pytest.mark.parametrize(
        ("text", "code", "reason"),
        [
            (
                "shift nothing from north to south by 1%",
                "ORDER_INVALID",
                "there are: other, svc",
            ),
            ("shift svc from east to south by 1%", "ORDER_INVALID", "there are: north, south"),
            ("shift svc from north to north by 1%", "ORDER_INVALID", "both where"),
            ("shift svc from north to south by 1% cap 50% per 10s", "ORDER_OVER_CAP", "wider"),
            ("shift svc from north to south by 1% cap 10% per 5s", "ORDER_OVER_CAP", "wider"),
            ("shift svc from north to south by 1% cap 0% per 5s", "ORDER_INVALID", "0%"),
            ("set cap 0% per 10s", "ORDER_INVALID", "0%"),
            ("drain server s9", "ORDER_INVALID", "there are: s1, s2"),
            ("undrain region north", "ORDER_INVALID", "not drained"),
            ("cancel o9", "ORDER_INVALID", "no order that is under way"),
            ("set rank 1 for route r-x", "ORDER_INVALID", "there are: r-buy"),
            ("unset rank for route r-buy", "ORDER_INVALID", "there are: none"),
        ],
    )
    def test_refusal_gives_reason(self, text, code, reason):
        """A refusal says what is wrong, and lists the known names if a name is unknown."""
        with pytest.raises(order_commands.OrderError, match=reason) as caught:
            apply_all(text)
        assert caught.value.code is codes.Code[code]

    def test_emergency_cap_may_be_wider(self):
        """An emergency cap may be wider than the general one, and is stored with the order."""
        current = apply_all("shift svc from north to south by 1% emergency cap 50% per 10s")
        assert current.shifts[0].cap == orders.Cap(0.5, 10.0)

    def test_shifts_total_at_most_all_requests(self):
        """The shares of shifts of the same requests must not add up to more than 100%."""
        with pytest.raises(
            order_commands.OrderError, match="60% of svc of north are moved already"
        ):
            apply_all(
                "shift svc from north to south by 60%", "shift svc from north to south by 50%"
            )

    def test_last_failure_domain_cannot_be_drained(self):
        """A drain that would leave no failure domain to serve is refused."""
        with pytest.raises(order_commands.OrderError) as caught:
            apply_all("drain region south", "drain region north")
        assert caught.value.code is codes.Code.ORDER_OVERLOAD

    def test_drain_with_end_counts_as_drain(self):
        """A drain that ends later still counts when another drain is checked."""
        with pytest.raises(order_commands.OrderError) as caught:
            apply_all("drain region south until 23:00", "drain region north")
        assert caught.value.code is codes.Code.ORDER_OVERLOAD

    def test_ended_orders_are_kept_until_returned(self):
        """An ended order is kept until all that it moved has returned, and is then removed."""
        current = apply_all("drain region north", "undrain region north")
        assert current.drains[0].span == orders.Span(1000.0, 1000.0)
        assert apply_all("set cap 5% per 10s", current=current, wall_time=1010.0).drains
        assert not apply_all("set cap 5% per 10s", current=current, wall_time=9999.0).drains
        current = apply_all("shift svc from north to south by 10%", "cancel o1")
        assert current.shifts[0].span.ends_at == 1000.0

    def test_undrain_before_begin(self):
        """A drain that is undrained before its start never takes effect, so it is removed."""
        current = apply_all("drain region north at 23:00 until 23:30", "undrain region north")
        assert not apply_all("set cap 5% per 10s", current=current, wall_time=1061.0).drains

    def test_next_occurrence_of_time_of_day(self):
        """A time of day that has passed today means tomorrow."""
        noon = 12 * 3600.0
        current = apply_all("drain region north at 11:00 until 13:00", wall_time=noon)
        day = 24 * 3600.0
        assert current.drains[0].span == orders.Span(day + 11 * 3600, day + 13 * 3600)

    def test_orders_round_trip_through_codec(self):
        """Decoding encoded orders returns equal orders."""
        current = apply_all(
            "set cap 20% per 10s for service svc",
            "set rank 2 for route r-buy",
            "shift svc from north to south by 10% cap 5% per 10s for rank 1",
            "drain server s1 at 10:00 until 11:00",
        )
        assert order_codec.decode(order_codec.encode(current)) == current

    @pytest.mark.parametrize("value", [None, [], {"version": "x"}, {"shifts": [3]}])
    def test_malformed_orders_raise_own_error(self, value):
        """A stored value that does not hold orders raises an error of its own type."""
        with pytest.raises(order_codec.MalformedOrdersError):
            order_codec.decode(value)


class TestOrderStore:
    """Orders in the store when writes conflict, calls fail or answers are lost."""

    def setup_method(self):
        """Create an empty store."""
        self.clock = task.Clock()
        self.access = store_access.create_access(self.clock)
        self.order_store = order_store.OrderStore(self.access, lambda: defer.succeed(None))

    def submit(self, text, order="o1", author="selam", base=None):
        """Submit an order; return the orders in force after it, or the failure."""
        command = language.parse(text)
        submitted = self.order_store.submit(command, context(order, author, text=text), base)
        results = []
        defer.ensureDeferred(submitted).addBoth(results.append)
        return results[0]

    def test_concurrent_orders_are_both_kept(self):
        """The order that is written second is applied to the result of the first."""
        other = order_store.OrderStore(self.access, lambda: defer.succeed(None))
        concurrent_results = []

        def submit_concurrently():
            self.access.before_write = lambda: None
            command = language.parse("set cap 20% per 10s")
            second = other.submit(command, context("o2", "dawit"), None)
            defer.ensureDeferred(second).addBoth(concurrent_results.append)

        self.access.before_write = submit_concurrently
        current = self.submit("shift svc from north to south by 10%")
        assert concurrent_results[0].version == 1
        assert [change.order for change in current.changes] == ["o2", "o1"]
        assert current.cap == orders.Cap(0.2, 10.0)

    def test_outdated_base_is_refused(self):
        """An order based on an older version is refused; the reason names the last change."""
        self.submit("set cap 20% per 10s", "o1", "dawit")
        error = self.submit("set cap 30% per 10s", "o2", base=ids.Version(0)).value
        assert error.code is codes.Code.ORDER_CONFLICT
        assert "order o1 of dawit came first as version 1" in error.text

    def test_lost_answer_makes_one_change(self):
        """After a lost answer the order is found in the store and not applied again."""
        self.access.lost_answers = 1
        current = self.submit("shift svc from north to south by 10%")
        assert (current.version, len(current.shifts)) == (1, 1)

    def test_repeated_id_is_applied_once(self):
        """A client that sends an order again with the same id gets the first result."""
        first = self.submit("shift svc from north to south by 10%")
        assert self.submit("shift svc from north to south by 10%") == first

    def test_store_unavailable(self):
        """If the store cannot be reached, nothing changes and the result code says so."""
        self.access.down = True
        assert self.submit("set cap 20% per 10s").value.code is codes.Code.ORDER_STORE_DOWN

    def test_unknown_outcome_is_reported(self):
        """If the store fails after an answer was lost, the outcome is reported as unknown."""
        self.access.lost_answers = 1

        confirm_write = self.access._confirm_write

        def confirm_then_fail(version):
            self.access.down = True
            return confirm_write(version)

        self.access._confirm_write = confirm_then_fail
        error = self.submit("set cap 20% per 10s").value
        assert error.code is codes.Code.ORDER_UNKNOWN
        assert error.code.run is codes.RunStatus.UNKNOWN
