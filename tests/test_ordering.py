"""Tests of carobhook.coordination.ordering and order_store: which orders are accepted."""

import pytest
from twisted.internet import defer, task

import store_access
from carobhook.coordination import order_store, ordering
from carobhook.protocol import language, order_codec
from carobhook.state import codes, ids, orders

KNOWN = ordering.KnownNames(
    {"north-a": "north", "north-b": "north", "south-a": "south"},
    ("svc", "other"),
    ("r-buy",),
    ("s1", "s2"),
)


def context(order="o1", author="selam", wall=1000.0, text="an order"):
    """Return who gave an order."""
    return ordering.OrderContext(ids.OrderId(order), author, text, wall, KNOWN)


def given(*texts, book=None, wall=1000.0):
    """Return the orders in force after some were given one after the other."""
    book = book or orders.OrderState()
    for number, text in enumerate(texts, start=1):
        book = ordering.apply(language.parse(text), book, context(f"o{number}", wall=wall))
    return book


class TestApply:
    """What orders make of the orders in force."""

    def test_each_order_is_a_version_with_its_author(self):
        """The audit trail has who, when and what."""
        book = given("set cap 20% per 10s", "shift svc from north to south by 10%")
        assert book.version == 2
        assert [(c.version, c.author, c.at) for c in book.changes] == [
            (1, "selam", 1000.0),
            (2, "selam", 1000.0),
        ]
        assert book.cap_of(book.shifts[0]) == orders.Cap(0.2, 10.0)

    def test_audit_trail_is_bounded(self):
        """The oldest changes are forgotten."""
        book = given(*["set cap 20% per 10s"] * 205)
        assert (book.version, len(book.changes), book.changes[0].version) == (205, 200, 6)

    @pytest.mark.parametrize(
        ("text", "code", "said"),
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
    def test_refusals_say_why(self, text, code, said):
        """A refused order names what is wrong, and lists what exists."""
        with pytest.raises(ordering.OrderFault, match=said) as caught:
            given(text)
        assert caught.value.code is codes.Code[code]

    def test_emergency_cap_may_be_wider(self):
        """It is kept with the order."""
        book = given("shift svc from north to south by 1% emergency cap 50% per 10s")
        assert book.shifts[0].cap == orders.Cap(0.5, 10.0)

    def test_no_more_than_all_can_be_shifted(self):
        """Shifts of the same requests add up to the whole at most."""
        with pytest.raises(ordering.OrderFault, match="60% of svc of north are moved already"):
            given(
                "shift svc from north to south by 60%", "shift svc from north to south by 50%"
            )

    def test_last_failure_domain_cannot_be_drained(self):
        """Some failure domain must serve."""
        with pytest.raises(ordering.OrderFault) as caught:
            given("drain region south", "drain region north")
        assert caught.value.code is codes.Code.ORDER_OVERLOAD

    def test_scheduled_drains_count_among_those_that_leave_nothing(self):
        """A drain that will end is a drain until then."""
        with pytest.raises(ordering.OrderFault) as caught:
            given("drain region south until 23:00", "drain region north")
        assert caught.value.code is codes.Code.ORDER_OVERLOAD

    def test_undrain_and_cancel_keep_what_still_returns(self):
        """An ended order stays until what it moved has returned, then it is forgotten."""
        book = given("drain region north", "undrain region north")
        assert book.drains[0].span == orders.Span(1000.0, 1000.0)
        assert given("set cap 5% per 10s", book=book, wall=1010.0).drains
        assert not given("set cap 5% per 10s", book=book, wall=9999.0).drains
        book = given("shift svc from north to south by 10%", "cancel o1")
        assert book.shifts[0].span.ends_at == 1000.0

    def test_cancelled_before_it_begins(self):
        """A drain that has not begun never does."""
        book = given("drain region north at 23:00 until 23:30", "undrain region north")
        assert not given("set cap 5% per 10s", book=book, wall=1061.0).drains

    def test_times_of_day_come_next(self):
        """A time that has passed today is tomorrow's."""
        noon = 12 * 3600.0
        book = given("drain region north at 11:00 until 13:00", wall=noon)
        day = 24 * 3600.0
        assert book.drains[0].span == orders.Span(day + 11 * 3600, day + 13 * 3600)

    def test_orders_survive_the_store(self):
        """What is read back is what was written."""
        book = given(
            "set cap 20% per 10s for service svc",
            "set rank 2 for route r-buy",
            "shift svc from north to south by 10% cap 5% per 10s for rank 1",
            "drain server s1 at 10:00 until 11:00",
        )
        assert order_codec.decode(order_codec.encode(book)) == book

    @pytest.mark.parametrize("value", [None, [], {"version": "x"}, {"shifts": [3]}])
    def test_malformed_orders_are_told_apart(self, value):
        """What another writer left there is a fault of its own kind."""
        with pytest.raises(order_codec.MalformedOrdersError):
            order_codec.decode(value)


class TestOrderStore:
    """Orders in the store, whatever becomes of the calls."""

    def setup_method(self):
        """Make a store."""
        self.clock = task.Clock()
        self.access = store_access.create_access(self.clock)
        self.orders = order_store.OrderStore(self.access, lambda: defer.succeed(None))

    def submit(self, text, order="o1", author="selam", base=None):
        """Give an order; return what came of it."""
        command = language.parse(text)
        submitted = self.orders.submit(command, context(order, author, text=text), base)
        found = []
        defer.ensureDeferred(submitted).addBoth(found.append)
        return found[0]

    def test_two_at_once_are_both_kept(self):
        """The one that comes second is judged by what the first left."""
        other = order_store.OrderStore(self.access, lambda: defer.succeed(None))
        raced = []

        def race():
            self.access.before_write = lambda: None
            command = language.parse("set cap 20% per 10s")
            second = other.submit(command, context("o2", "dawit"), None)
            defer.ensureDeferred(second).addBoth(raced.append)

        self.access.before_write = race
        book = self.submit("shift svc from north to south by 10%")
        assert raced[0].version == 1
        assert [change.order for change in book.changes] == ["o2", "o1"]
        assert book.cap == orders.Cap(0.2, 10.0)

    def test_base_names_the_change_that_came_first(self):
        """An operator who saw an older version is told what changed."""
        self.submit("set cap 20% per 10s", "o1", "dawit")
        fault = self.submit("set cap 30% per 10s", "o2", base=ids.Version(0)).value
        assert fault.code is codes.Code.ORDER_CONFLICT
        assert "order o1 of dawit came first as version 1" in fault.text

    def test_lost_answer_makes_no_second_change(self):
        """The same order is found in the store, and not made again."""
        self.access.lost_answers = 1
        book = self.submit("shift svc from north to south by 10%")
        assert (book.version, len(book.shifts)) == (1, 1)

    def test_same_id_is_the_same_order(self):
        """A client that repeats its order gets the first answer."""
        first = self.submit("shift svc from north to south by 10%")
        assert self.submit("shift svc from north to south by 10%") == first

    def test_store_down(self):
        """Nothing was changed, and the operator is told so."""
        self.access.down = True
        assert self.submit("set cap 20% per 10s").value.code is codes.Code.ORDER_STORE_DOWN

    def test_outcome_that_stays_unknown_is_said(self):
        """When the store goes away after a lost answer, nobody claims either way."""
        self.access.lost_answers = 1

        original = self.access._confirm_write

        def written(version):
            self.access.down = True
            return original(version)

        self.access._confirm_write = written
        fault = self.submit("set cap 20% per 10s").value
        assert fault.code is codes.Code.ORDER_UNKNOWN
        assert fault.code.run is codes.RunStatus.UNKNOWN
