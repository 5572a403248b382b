"""Tests of client accounts at the entry: keys, names, priorities and home regions."""

import json

import attrs
import h11
import pytest
from twisted.internet import defer, task

import test_homes_in_force
import test_request_flow
import test_restored_store
import test_server_exchange
from carobhook import entry_metrics
from carobhook.coordination import account_access, catalog, objects, refusals, steering
from carobhook.platform import objects as platform_objects
from carobhook.platform import requests
from carobhook.protocol import feed_messages, http1
from carobhook.state import allocation, client_accounts, codes, ids, orders
from carobhook.transport import (
    client_connections,
    entry_requests,
    exchange_results,
    notice_board,
    received_objects,
)

NORTH, SOUTH = test_homes_in_force.NORTH, test_homes_in_force.SOUTH
KEY = "key-of-books-4711"
OTHER_KEY = "key-of-music-0815"
BOOKS = client_accounts.ClientAccount(ids.Account("books"))
MUSIC = client_accounts.ClientAccount(ids.Account("music"))


def table(books=BOOKS, key=KEY):
    """Return the table of two accounts, of which the first may be changed or missing."""
    entries = [(MUSIC, [OTHER_KEY])]
    return client_accounts.AccountTable.build([*entries, *([(books, [key])] if books else [])])


def config(version, accounts=None, **route_fields):
    """Return a configuration with one route and accounts."""
    found = test_homes_in_force.config(version)
    return attrs.evolve(
        found, accounts=accounts, routes=(attrs.evolve(found.routes[0], **route_fields),)
    )


class Entry:
    """The requests of an instance in the north, with fakes around them."""

    def __init__(self, in_force, is_recent=True):
        self.known, self.is_recent = catalog.Catalog(), is_recent
        self.known.replace_config_if_newer(in_force)
        for name, domain in (("n1", "north-a"), ("n2", "north-a"), ("s1", "south-a")):
            entry = test_homes_in_force.entry(name, ids.FailureDomain(domain))
            self.known.put(entry, 0.0)
        self.allocator = test_request_flow.FakeSlotAllocator()
        self.servers = test_request_flow.FakeServers()
        self.orders = steering.Steering(test_homes_in_force.REGIONS)
        self.metrics = entry_metrics.EntryMetrics(
            dict.fromkeys(entry_metrics.EntryMetric, float)
        )
        reactor = task.Clock()
        notices = notice_board.NoticeBoard(
            reactor, requests.ServerCodec(), self.known, lambda: None, lambda message: None
        )
        context = entry_requests.RequestContext(
            self.known,
            self.orders,
            self.allocator,
            self.servers,
            self.metrics,
            test_request_flow.FakeObserver(),
            notices,
            is_config_recent=lambda: self.is_recent,
        )
        self.handler = entry_requests.EntryRequests(
            reactor, NORTH, test_homes_in_force.DOMAIN, ids.Incarnation("0" * 16), context
        )
        self.responses = []

    def send(self, *keys, target=b"/a/x", headers=()):
        """Send a request with some keys."""
        own = ((b"Host", b"shop.example"), (b"X-Attempt-Id", b"id-1"))
        stated = tuple((b"Api-Key", key.encode()) for key in keys)
        head = http1.RequestHead(b"GET", target, (*own, *stated, *headers))
        self.handler.handle(
            client_connections.ClientRequest(head, b"", "10.0.0.1", 0.0), self.responses.append
        )

    @property
    def refused(self):
        """Return status, code and Retry-After of the only response."""
        (response,) = self.responses
        code = int(response.get("carobhook-code"))
        return response.status, code, response.get("retry-after")

    @property
    def slot_request(self):
        """Return the latest slot request."""
        return self.allocator.requests[-1][0]

    def sent_headers(self):
        """Return the headers of the latest attempt as a server receives them."""
        head = self.servers.attempts[-1].build_head()
        return [(name.lower(), value) for name, value in head.headers]

    def names_sent(self):
        """Return the account names that a server receives, after a check for keys."""
        headers = self.sent_headers()
        assert not [name for name, _ in headers if name == b"api-key"]
        assert not [value for _, value in headers if KEY.encode() in value]
        return [value for name, value in headers if name == b"x-tenant"]


class TestKeys:
    """Which requests are refused for their key."""

    @pytest.mark.parametrize("keys", [(), ("no-key",), ("",), (KEY, OTHER_KEY), (KEY + "x",)])
    def test_no_valid_key_by_the_newest_configuration(self, keys):
        """A request without an account's key ran; two keys would be read in two ways."""
        entry = Entry(config(1, table()))
        entry.send(*keys)
        assert entry.refused == (401, codes.Code.KEY_UNKNOWN.number, None)
        assert not entry.allocator.requests

    @pytest.mark.parametrize("keys", [(), ("added-meanwhile",)])
    def test_no_valid_key_by_an_old_configuration(self, keys):
        """401 is not repeated, but a newer configuration may have the key or the exemption."""
        entry = Entry(config(1, table()), is_recent=False)
        entry.send(*keys)
        status, code, retry_after_s = entry.refused
        assert (status, code) == (503, codes.Code.KEY_UNCONFIRMED.number)
        assert float(retry_after_s) > 0

    def test_unknown_route_comes_before_the_key(self):
        """No route is 404 as before, whatever the key."""
        entry = Entry(config(1, table()))
        entry.send(target=b"/b/x")
        assert entry.refused[:2] == (404, codes.Code.NO_ROUTE.number)

    def test_removed_key_on_an_open_connection(self):
        """The key goes on working for what was accepted, and for nothing that comes later."""
        entry = Entry(config(1, table()))
        entry.send(KEY)
        entry.known.replace_config_if_newer(config(2, table(BOOKS, "new-key")))
        entry.send(KEY)
        assert entry.refused[:2] == (401, codes.Code.KEY_UNKNOWN.number)
        entry.allocator.grant("n1")
        entry.servers.respond(200)
        assert [response.status for response in entry.responses] == [401, 200]

    @pytest.mark.parametrize("key", [None, "no-key", KEY])
    def test_call_by_service_name(self, key):
        """It has no route, and was a way past the keys."""
        entry = Entry(config(1, table()))
        entry.send(*([key] if key else []), target=b"/v1/services/svc/7")
        if key == KEY:
            assert entry.slot_request.account == "books"
        else:
            assert entry.refused[:2] == (401, codes.Code.KEY_UNKNOWN.number)

    def test_refused_request_teaches_nothing(self):
        """The times that clients without a key state must not move others' latency targets."""
        entry = Entry(config(1, table()))
        entry.send("no-key", headers=((b"X-Deadline-Ms", b"90000"),))
        entry.send(KEY, headers=((b"X-Deadline-Ms", b"2000"),))
        assert entry.slot_request.target_at == 2.0

    def test_key_beyond_ascii(self):
        """The header has the UTF-8 form of the configuration's text."""
        entry = Entry(config(1, table(BOOKS, "schlüssel-ключ")))
        entry.send("schlüssel-ключ")
        assert entry.slot_request.account == "books"

    def test_without_accounts_nothing_changes(self):
        """The two headers mean nothing, and the server receives them as before."""
        entry = Entry(config(1))
        entry.send("any", headers=((b"X-Tenant", b"mine"),))
        assert entry.slot_request.account is None
        entry.allocator.grant("n1")
        assert (b"api-key", b"any") in entry.sent_headers()
        assert (b"x-tenant", b"mine") in entry.sent_headers()


class TestWhatServersReceive:
    """The account's name, and never a key."""

    @pytest.mark.parametrize("target", [b"/a/x", b"/v1/services/svc/x"])
    def test_name_replaces_what_the_client_sent(self, target):
        """A client could act as another account, in any spelling and number of the header."""
        entry = Entry(config(1, table()))
        forged = ((b"x-TENANT", b"music"), (b"X-Tenant", b"root"), (b"Connection", b"X-Tenant"))
        underscored = ((b"X_Tenant", b"music"), (b"Api_Key", KEY.encode()))
        entry.send(KEY, target=target, headers=forged + underscored)
        entry.allocator.grant("n1")
        assert entry.names_sent() == [b"books"]
        assert not [name for name, _ in entry.sent_headers() if b"_" in name]

    def test_exempt_route(self):
        """It needs no key, and passes on neither a key nor a name that the client sent."""
        entry = Entry(config(1, table(), needs_key=False))
        entry.send(KEY, headers=((b"X-Tenant", b"music"),))
        assert entry.slot_request.account is None
        entry.allocator.grant("n1")
        assert entry.names_sent() == []

    def test_accounts_added_after_the_slot_was_granted(self):
        """A request without an account still waits for its connection when they come."""
        entry = Entry(config(1))
        entry.send(KEY, headers=((b"X-Tenant", b"music"),))
        entry.allocator.grant("n1")
        entry.known.replace_config_if_newer(config(2, table()))
        assert entry.names_sent() == []

    def test_accounts_removed_while_it_waits(self):
        """It was accepted for an account, so the server receives that name and no key."""
        entry = Entry(config(1, table()))
        entry.send(KEY, headers=((b"X-Tenant", b"music"),))
        entry.known.replace_config_if_newer(config(2))
        entry.allocator.grant("n1")
        assert entry.names_sent() == [b"books"]

    def test_accounts_removed_while_an_exempt_request_waits(self):
        """It was accepted while keys were not passed on, so its key isn't later either."""
        entry = Entry(config(1, table(), needs_key=False))
        entry.send(KEY, headers=((b"X-Tenant", b"music"),))
        entry.known.replace_config_if_newer(config(2))
        entry.allocator.grant("n1")
        assert entry.names_sent() == []

    def test_codec_replaces_a_name_that_the_client_sent(self):
        """It does so for a request with an account, whatever is in force by then."""
        head = http1.RequestHead(b"GET", b"/", ((b"X-Tenant", b"music"), (b"Api-Key", b"k")))
        sent = requests.ServerCodec().build_request_head(head, "n1", 1.0, BOOKS.name)
        assert dict(sent.headers)[b"x-tenant"] == b"books"
        assert not {b"X-Tenant", b"Api-Key"} & set(dict(sent.headers))

    def test_relayed_request(self):
        """What goes to another instance contained the client's headers."""
        entry = Entry(config(1, table()))
        entry.send(KEY, headers=((b"X-Tenant", b"music"),))
        entry.allocator.grant("n1")
        sent = []

        class Paths(test_server_exchange.Paths):
            async def exchange(self, *args, **options):
                sent.extend(args[2:] if not isinstance(args[1], str) else [])
                return await super().exchange(*args, **options)

        paths = Paths(test_server_exchange.member("a"))
        attempt = attrs.evolve(entry.servers.attempts[-1], address="s1:1")
        result = defer.ensureDeferred(paths.servers.exchange(attempt))
        paths.clock.advance(0.0)
        assert result.called
        (relayed,) = [item for item in sent if hasattr(item, "require_fresh")]
        assert (b"X-Tenant".lower(), b"books") in relayed.headers
        assert KEY not in repr(relayed) and KEY.encode() not in b"".join(
            value for _, value in relayed.headers
        )
        assert b"music" not in dict(relayed.headers).values()

    def test_no_key_in_logs_and_representations(self, caplog):
        """Whoever reads logs could act as the account."""
        caplog.set_level("INFO")
        entry = Entry(config(1, table()))
        entry.send(KEY)
        entry.send("wrong-" + KEY)
        entry.allocator.grant("n1")
        entry.servers.respond(200)
        head = http1.RequestHead(b"GET", b"/", ((b"Api-Key", KEY.encode()),))
        item = feed_messages.FeedObject("main", 1, KEY.encode())
        stored = objects.StoredObject("config", "main", 1, KEY)
        shown = [repr(value) for value in (head, item, stored, entry.known.config)]
        shown += [repr(vars(record)) for record in caplog.records]
        shown.append(entry.metrics.render().decode())
        assert len(caplog.records) >= 3
        assert not [text for text in shown if KEY in text]


class TestUnreadableRequests:
    """Requests that are rejected before they are complete."""

    def test_trailer_with_a_key_is_not_quoted(self):
        """The parser's error contained the line that it could not read, and was logged."""
        parser = http1.request_parser()
        head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        parser.receive_data(head + f"0\r\nApi-Key\x01: {KEY}\r\n\r\n".encode())
        with pytest.raises(h11.RemoteProtocolError) as caught:
            while parser.next_event() is not h11.NEED_DATA:
                pass
        assert KEY in str(caught.value)
        assert http1.error_text(caught.value) == "illegal header line"


class TestLogLines:
    """Fields of log lines from which an operator finds the cause."""

    def test_account_and_evidence(self, caplog):
        """`request-ended` names the account, and `key-unknown` the configuration."""
        caplog.set_level("INFO")
        entry = Entry(config(1, table()))
        entry.send(KEY)
        entry.send("no-key")
        entry.allocator.grant("n1")
        entry.servers.respond(200)
        fields = {record.event: record.fields for record in caplog.records}
        assert fields["request-ended"]["account"] == "books"
        assert fields["request-refused"]["detail"] == "the key is unknown"
        assert fields["key-unknown"]["config"] == "00000001"
        assert (
            'carobhook_keys_refused_total{code="1060"} 1.0' in entry.metrics.render().decode()
        )

    def test_refusal_of_a_known_account(self, caplog):
        """`request-refused` names it."""
        caplog.set_level("INFO")
        entry = Entry(config(1, table()))
        entry.handler.refuse_waiting()
        entry.send(KEY)
        fields = {record.event: record.fields for record in caplog.records}
        assert fields["request-refused"]["account"] == "books"


class TestTerms:
    """Priority and home regions of an account."""

    def test_priority_replaces_that_of_the_route(self):
        """Also where it is 0; without one the route's remains."""
        for priority, expected in ((0, 0), (3, 3), (None, 1)):
            entry = Entry(config(1, table(attrs.evolve(BOOKS, priority=priority))))
            entry.send(KEY)
            assert entry.slot_request.priority == expected

    def test_operators_order_comes_before_the_account(self):
        """An order ranks a route for as long as it is in force, whoever sends."""
        entry = Entry(config(1, table(attrs.evolve(BOOKS, priority=0))))
        state = orders.OrderState(version=ids.Version(9), priorities={"r": 5})
        entry.orders.replace_if_newer(state)
        entry.send(KEY)
        assert entry.slot_request.priority == 5

    @pytest.mark.parametrize(
        ("of_route", "of_account", "expected"),
        [
            ((), (), ()),
            ((SOUTH,), (), (SOUTH,)),
            ((), (SOUTH,), (SOUTH,)),
            ((NORTH, SOUTH), (SOUTH,), (SOUTH,)),
        ],
    )
    def test_common_homes(self, of_route, of_account, expected):
        """A region that only one of them allows must not run the request, or relay it."""
        account = attrs.evolve(BOOKS, homes=frozenset(of_account))
        entry = Entry(config(1, table(account), homes=frozenset(of_route)))
        entry.send(KEY)
        request, region = entry.allocator.requests[-1]
        assert request.homes == set(expected)
        assert region == (expected or (NORTH,))[0]
        entry.allocator.grant("s1")
        assert entry.servers.attempts[-1].homes == set(expected)

    def test_no_common_home(self, caplog):
        """It is refused at once, as an empty set of homes would allow all regions."""
        caplog.set_level("INFO")
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}))
        entry = Entry(config(1, table(account), homes=frozenset({NORTH})))
        entry.send(KEY)
        assert entry.refused[:2] == (503, codes.Code.NO_COMMON_HOME.number)
        assert not entry.allocator.requests
        assert caplog.records[-1].fields["account"] == "books"

    def test_call_by_service_name(self):
        """Its account's terms count as on a route, over the rank that the client asks for."""
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}), priority=2)
        entry = Entry(config(1, table(account)))
        rank = ((b"Carobhook-Rank", b"0"),)
        entry.send(KEY, target=b"/v1/services/svc/7", headers=rank)
        request, region = entry.allocator.requests[-1]
        assert (request.homes, request.priority, region) == ({SOUTH}, 2, SOUTH)


class TestRerouting:
    """Another configuration comes into force while a request waits."""

    def retried(self, newer, target=b"/a/x", first=None):
        """Return an entry whose request asks for its second slot by a newer configuration."""
        entry = Entry(first or config(1, table()))
        entry.send(KEY, target=target)
        entry.allocator.grant("n1")
        entry.known.replace_config_if_newer(newer)
        entry.servers.respond(503, X_Not_Executed="1")
        return entry

    @pytest.mark.parametrize("target", [b"/a/x", b"/v1/services/svc/x"])
    def test_changed_terms_of_the_account(self, target):
        """The next slot is asked for by the newer terms, without a look at the key."""
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}), priority=0)
        entry = self.retried(config(2, table(account, "new-key")), target)
        request, region = entry.allocator.requests[-1]
        assert len(entry.allocator.requests) == 2
        assert (request.homes, request.priority, request.account, region) == (
            {SOUTH},
            0,
            "books",
            SOUTH,
        )

    @pytest.mark.parametrize("target", [b"/a/x", b"/v1/services/svc/x"])
    def test_grant_of_older_terms_is_not_used(self, target):
        """A server outside the account's homes gets nothing."""
        entry = Entry(config(1, table()))
        entry.send(KEY, target=target)
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}))
        entry.known.replace_config_if_newer(config(2, table(account)))
        entry.allocator.grant("n1")
        assert not entry.servers.exchanges
        assert entry.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
        assert entry.slot_request.homes == {SOUTH}

    def test_relay_that_was_chosen_by_wider_homes(self):
        """The server's region is a home, but that of a relay that was chosen may not be one."""
        entry = Entry(config(1, table()))
        entry.send(KEY)
        entry.allocator.grant("s1")
        attempt = entry.servers.attempts[-1]
        assert attempt.homes == set()
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}))
        entry.known.replace_config_if_newer(config(2, table(account)))
        assert not attempt.may_send()
        entry.servers.fail(exchange_results.Fault.WITHDRAWN)
        entry.allocator.grant("s1")
        attempt = entry.servers.attempts[-1]
        assert attempt.homes == {SOUTH}
        assert attempt.may_send()

    def test_terms_that_are_withdrawn(self):
        """Homes and priority of the older terms don't remain with the request."""
        account = attrs.evolve(BOOKS, homes=frozenset({NORTH}), priority=0)
        first = config(1, table(account))
        for target in (b"/a/x", b"/v1/services/svc/x"):
            entry = self.retried(config(2, table()), target, first)
            assert (entry.slot_request.homes, entry.slot_request.priority) == (set(), 1)

    @pytest.mark.parametrize("accounts", [table(None), None])
    def test_account_that_is_gone(self, accounts):
        """The request was accepted for it, and is served on with its terms."""
        account = attrs.evolve(BOOKS, homes=frozenset({NORTH}), priority=0)
        entry = self.retried(
            config(2, accounts, timeout_s=9.0), first=config(1, table(account))
        )
        request = entry.slot_request
        assert (request.homes, request.priority, request.account) == ({NORTH}, 0, "books")
        entry.allocator.grant("n2")
        assert entry.names_sent() == [b"books"]

    def test_no_common_home_any_more(self):
        """It waited for a slot that no region may grant; it has not run."""
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}))
        newer = config(2, table(account), homes=frozenset({NORTH}))
        entry = self.retried(newer)
        assert entry.refused[:2] == (503, codes.Code.NO_COMMON_HOME.number)

    def test_grant_without_a_common_home_is_not_used(self):
        """The slot was granted by the older terms."""
        entry = Entry(config(1, table()))
        entry.send(KEY)
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}))
        newer = config(2, table(account), homes=frozenset({NORTH}))
        entry.known.replace_config_if_newer(newer)
        entry.allocator.grant("n1")
        assert not entry.servers.exchanges
        assert entry.allocator.outcomes == [allocation.AttemptOutcome.CANCELLED]
        assert entry.refused[:2] == (503, codes.Code.NO_COMMON_HOME.number)

    def test_no_common_home_after_it_may_have_run(self):
        """503 would promise that it has not run."""
        entry = Entry(config(1, table()))
        entry.send(KEY)
        entry.allocator.grant("n1")
        account = attrs.evolve(BOOKS, homes=frozenset({SOUTH}))
        newer = config(2, table(account), homes=frozenset({NORTH}))
        entry.known.replace_config_if_newer(newer)
        entry.servers.fail()
        assert entry.refused[:2] == (502, codes.Code.NO_COMMON_HOME.number)


class TestAccountRoute:
    """The route of an account."""

    def test_homes_are_never_wider(self):
        """No pair of home regions allows a region that one of them leaves out."""
        regions = [ids.Region(name) for name in ("a", "b", "c")]
        subsets = [
            frozenset(r for bit, r in enumerate(regions) if n >> bit & 1) for n in range(8)
        ]
        route = config(1).routes[0]
        for of_route in subsets:
            for of_account in subsets:
                account = attrs.evolve(BOOKS, homes=of_account)
                found = account_access.account_route(
                    attrs.evolve(route, homes=of_route), account
                )
                allowed = {
                    r
                    for r in regions
                    if (not of_route or r in of_route) and (not of_account or r in of_account)
                }
                if isinstance(found, refusals.Refusal):
                    assert not allowed
                else:
                    assert {
                        r for r in regions if not found.homes or r in found.homes
                    } == allowed


def spec(*tenants, **route_fields):
    """Return the ``Spec`` of a configuration with accounts."""
    route = {
        "Name": "r",
        "Host": "h",
        "PathPrefix": "/",
        "Kind": "safe",
        "Service": "svc",
        "Timeout": "1s",
        "TargetLatency": "1s",
    }
    found = {**test_restored_store.config(1), "Routes": [route | route_fields]}
    return found | {"Tenants": list(tenants)}


def tenant(**fields):
    """Return an account in the platform's format."""
    return {"Name": "books", "ApiKeys": [KEY]} | fields


def decode(raw):
    """Return the configuration of a ``Spec``."""
    return platform_objects.ConfigDecoder().decode(raw)


class TestDecoding:
    """Accounts in the platform's format."""

    def test_all_fields(self):
        """Every field has its place, and each key finds the account."""
        raw = tenant(
            ApiKeys=[KEY, "second"], Priority=0, RatePerS=12.5, Burst=3, HomeRegions=["north"]
        )
        accounts = decode(spec(raw)).accounts
        expected = client_accounts.ClientAccount(
            ids.Account("books"), client_accounts.Quota(12.5, 3.0), 0, frozenset({NORTH})
        )
        assert accounts.find(KEY) == accounts.find("second") == expected
        assert accounts.get("books") == expected

    @pytest.mark.parametrize(
        "fields", [{}, {"RatePerS": 0, "Burst": 5}, {"Priority": None, "HomeRegions": None}]
    )
    def test_omitted_fields(self, fields):
        """A rate of 0 is no limit, as is none."""
        assert decode(spec(tenant(**fields))).accounts.find(KEY) == BOOKS

    def test_without_accounts(self):
        """A configuration without the list needs no keys; one with an empty list needs them."""
        assert decode(spec()).accounts is not None
        without = {name: value for name, value in spec().items() if name != "Tenants"}
        assert decode(without).accounts is None

    @pytest.mark.parametrize(
        ("value", "needs_key"), [(True, False), (False, True), (None, True)]
    )
    def test_exempt_route(self, value, needs_key):
        """Only the value true exempts a route."""
        assert decode(spec(AuthExempt=value)).routes[0].needs_key is needs_key

    @pytest.mark.parametrize(
        "raw",
        [
            {"Tenants": {"books": KEY}},
            {"Tenants": KEY},
            spec(KEY),
            spec(None),
            spec(tenant(Name="")),
            spec(tenant(Name="a\r\nX-Tenant: b")),
            spec(tenant(Name=" a")),
            spec(tenant(ApiKeys=KEY)),
            spec(tenant(ApiKeys=None)),
            spec(tenant(ApiKeys=[KEY, 7])),
            spec(tenant(ApiKeys=[KEY, ""])),
            spec(tenant(ApiKeys=[KEY + "\ud800"])),
            spec(tenant(Priority="1")),
            spec(tenant(Priority=-1)),
            spec(tenant(Priority=True)),
            spec(tenant(RatePerS="9")),
            spec(tenant(RatePerS=-1)),
            spec(tenant(RatePerS=float("nan"))),
            spec(tenant(Burst=-1)),
            spec(tenant(HomeRegions="north")),
            spec(tenant(HomeRegions=[None])),
            spec(tenant(), tenant(ApiKeys=["other"])),
            spec(tenant(), tenant(Name="music")),
            spec(AuthExempt="false"),
        ],
    )
    def test_malformed(self, raw):
        """The configuration is rejected as a whole, and the error contains no key."""
        with pytest.raises(platform_objects.MalformedObjectError) as caught:
            decode(spec() | raw)
        assert KEY not in repr(caught.value)

    @pytest.mark.parametrize("broken", [b"\xff", b"{"])
    def test_unreadable_object(self, broken, caplog):
        """The error of a value that is no UTF-8 text contains all of it."""
        received = received_objects.ReceivedObjects(catalog.Catalog(), steering.Steering({}))
        value = json.dumps(spec(tenant())).encode() + broken
        received.apply_newer("config", feed_messages.FeedObject("main", 1, value), "one")
        (record,) = caplog.records
        assert record.event == "object-malformed"
        assert KEY not in repr(vars(record))

    def test_accounts_in_force_are_those_of_the_newest_configuration(self):
        """A malformed configuration leaves the one in force, with its keys."""
        known = catalog.Catalog()
        received = received_objects.ReceivedObjects(known, steering.Steering({}))
        for version, raw in ((1, tenant()), (2, tenant(Priority="x"))):
            value = json.dumps(spec(raw) | {"ConfigVersion": f"{version:x}"}).encode()
            received.apply_newer("config", feed_messages.FeedObject("main", 1, value), "one")
        assert known.config.version == 1
        assert known.config.accounts.find(KEY) == BOOKS
