"""Tests of whole entry instances against stand-ins of the platform, over loopback."""

import hashlib
import json
import random

from twisted.internet import defer, protocol, reactor, task
from twisted.trial import unittest

from carobhook import entry_settings
from carobhook.protocol import http1
from carobhook.standins import memory_store, platform_server, platform_store
from carobhook.state import members
from carobhook.transport import entry_daemon, server_connections

HOST = "shop.example"
SETTINGS = """
[place]
name = "{name}"
region = "north"
failure_domain = "north-a"
http = "127.0.0.1:{http}"
readiness = "127.0.0.1:{readiness}"
directory = "127.0.0.1:{directory}"
peers = "127.0.0.1:{peers}"
metrics = "127.0.0.1:{metrics}"
operators = "127.0.0.1:{operators}"
seeds = [{seeds}]

[store]
address = "127.0.0.1:{store}"

[capacity]
memory_mb = 300
file_descriptors = 4100
cores = 1
link_mbps = 1000

[bounds]
grace = "2s"
ttl_max = "5s"
budget_ratio = 0.2
budget_window = "10s"
budget_slack = 58
cold_over = 1.5
cold_slack = 5
shift_most = 0.15

[security.operators]
selam = "{operator_hash}"

[security.readers]
guest = "{reader_hash}"

[regions]
north-a = "north"
north-b = "north"
south-a = "south"
"""


def config(version, *routes, limits=None):
    """Return a configuration as the operators write it."""
    told = {
        "MaxHeaderBytes": 2048,
        "MaxBodyBytes": 4096,
        "HeaderTimeout": "500ms",
        "IdleTimeout": "5s",
    }
    service = {
        "Name": "svc",
        "HealthPath": "/health",
        "MaxConnections": 100,
        "ColdStart": "3s",
        "ColdPerS": 5.0,
    }
    return {
        "ConfigVersion": f"{version:08x}",
        "Routes": list(routes),
        "Services": [service],
        "Limits": told | (limits or {}),
    }


def route(prefix="/a/", kind="safe", **fields):
    """Return a route as the operators write it."""
    return {
        "Name": f"r{prefix}{kind}",
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": kind,
        "Timeout": "1500ms",
        "TargetLatency": "500ms",
        "Priority": 1,
        "Service": "svc",
        "MaxAttempts": 2,
        "SessionAffinity": True,
        "HomeRegions": [],
    } | fields


def free_ports(count):
    """Return ports of the loopback interface that nobody listens on."""
    ports = [
        reactor.listenTCP(0, protocol.Factory(), interface="127.0.0.1") for _ in range(count)
    ]
    numbers = [port.getHost().port for port in ports]
    return numbers, defer.gatherResults([defer.maybeDeferred(p.stopListening) for p in ports])


class RawClient(protocol.Protocol):
    """Collects what a connection brings."""

    def __init__(self):
        self.data = b""
        self.closed = defer.Deferred()

    def dataReceived(self, data):  # noqa: N802
        """Collect."""
        self.data += data

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Tell the end."""
        self.closed.callback(None)


class EntryCase(unittest.TestCase):
    """Base of cases with a store, servers and instances."""

    timeout = 30
    servers_wanted = 2

    async def setUp(self):
        """Start the stand-ins and one instance, and wait until it is ready."""
        self.store = platform_store.PlatformStoreServer(reactor, memory_store.MemoryStore())
        self.store_port = self.store.listen("127.0.0.1", 0)
        self.backends, self.ports = {}, {}
        for number in range(self.servers_wanted):
            self.add_backend(f"i-{number}")
        self.store.put("config", "main", config(1, route(), route("/u/", "unsafe")))
        self.connections = server_connections.ServerConnections(reactor, 2.0)
        self.numbers = {}
        self.daemons = [await self.start_instance("one")]
        self.addCleanup(self.clean)
        await self.until(lambda: self.daemons[0].phase is members.Phase.READY)

    async def clean(self):
        """Stop everything."""
        for daemon in self.daemons:
            await daemon.stop()
        for port in [self.store_port, *self.ports.values()]:
            await defer.maybeDeferred(port.stopListening)
        self.connections.stop()
        self.store.abort()
        for backend in self.backends.values():
            backend.abort()
        await task.deferLater(reactor, 0.1, lambda: None)

    def add_backend(self, name, **fields):
        """Start a backend server and register it."""
        self.backends[name] = platform_server.PlatformBackend(reactor, name)
        self.ports[name] = self.backends[name].listen("127.0.0.1", 0)
        self.register(name, **fields)

    def register(self, name, state="ready", cold="0ms", zone="north-a"):
        """Write a server's entry."""
        address = f"127.0.0.1:{self.ports[name].getHost().port}"
        info = {"Service": "svc", "ConfigVersion": "v1", "Zone": zone, "Slots": 4}
        status = {"State": state, "SeqNo": 1, "ColdRemaining": cold}
        self.store.put("servers", name, {"Address": address, "Info": info}, status)

    async def start_instance(self, name, seeds=()):
        """Start an instance on free ports."""
        keys = ("http", "readiness", "directory", "peers", "metrics", "operators")
        numbers, closed = free_ports(len(keys))
        await closed
        self.numbers[name] = dict(zip(keys, numbers, strict=True))
        text = SETTINGS.format(
            name=name,
            store=self.store_port.getHost().port,
            seeds=", ".join(f'"127.0.0.1:{self.numbers[seed]["peers"]}"' for seed in seeds),
            operator_hash=hashlib.sha256(b"operator").hexdigest(),
            reader_hash=hashlib.sha256(b"reader").hexdigest(),
            **self.numbers[name],
        )
        daemon = entry_daemon.EntryDaemon(entry_settings.loads(text), reactor, random.Random(1))
        await daemon.start()
        return daemon

    async def until(self, holds, limit_s=8.0):
        """Wait until something holds."""
        give_up_at = reactor.seconds() + limit_s
        while not holds():
            if reactor.seconds() > give_up_at:
                self.fail("waited in vain")
            await task.deferLater(reactor, 0.02, lambda: None)

    async def request(
        self, path="/a/x", method=b"GET", body=b"", instance="one", port="http", **headers
    ):
        """Return the answer of one request."""
        told = {"Host": HOST, "X-Attempt-Id": "attempt", "X-Deadline-Ms": "3000"}
        told |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = http1.RequestHead(
            method, path.encode(), tuple((k.encode(), v.encode()) for k, v in told.items())
        )
        address = f"127.0.0.1:{self.numbers[instance][port]}"
        received = await self.connections.exchange(address, head, body, careful=True)
        return received.answer

    async def raw(self, octets, wait_s=None):
        """Send octets on a new connection; return it, after its end or some seconds."""
        creator = protocol.ClientCreator(reactor, RawClient)
        client = await creator.connectTCP("127.0.0.1", self.numbers["one"]["http"])
        client.transport.write(octets)
        if wait_s is None:
            await client.closed
        else:
            await task.deferLater(reactor, wait_s, lambda: None)
        return client

    @property
    def ran(self):
        """Return the ids that any server ran."""
        return [one for backend in self.backends.values() for one in backend.started_ids]

    def behave(self, **fields):
        """Change how every server works."""
        for backend in self.backends.values():
            backend.behaviour = platform_server.Behaviour(**fields)


class TestAnswers(EntryCase):
    """What clients get."""

    async def test_answer_passes_unchanged(self):
        """Status, body and headers are the server's; no second Server or Date is added."""
        answer = await self.request()
        assert (answer.status, answer.body) == (200, b"served")
        names = [name.lower() for name, _ in answer.headers]
        assert names.count(b"server") == 1
        assert b"date" not in names
        sent = next(b.heads[0] for b in self.backends.values() if b.heads)
        assert sent.get("x-attempt-id") == "attempt"
        assert sent.get("x-expected-instance") in self.backends
        assert 0 < int(sent.get("x-deadline-ms")) <= 1500

    async def test_unknown_path_is_404(self):
        """A path without a route is refused as such."""
        answer = await self.request("/nothing/")
        assert answer.status == 404

    async def test_readiness_and_directory(self):
        """A ready instance says so, and the directory names it."""
        ready = await self.request("/-/readiness", port="readiness")
        told = await self.request(
            f"/-/resolve?Name={HOST}&Region=north&Zone=north-a", port="directory"
        )
        assert ready.status == 200
        assert json.loads(told.body)["Addresses"] == [
            f"127.0.0.1:{self.numbers['one']['http']}"
        ]

    async def test_request_without_room_is_refused_at_once(self):
        """With no server left, the refusal promises not-run and says when to come back."""
        for name in self.backends:
            self.store.remove("servers", name)
        await self.until(lambda: not self.daemons[0]._catalog.servers(reactor.seconds()))
        began_at = reactor.seconds()
        answer = await self.request()
        assert answer.status == 503
        assert float(answer.get("retry-after")) > 0
        assert reactor.seconds() - began_at < 0.3


class TestAtMostOnce(EntryCase):
    """Work that must not run twice."""

    async def test_reset_after_the_send_is_not_repeated(self):
        """The server may have run it, so no other gets it, and nothing promises not-run."""
        self.behave(reset=True)
        answer = await self.request("/u/x", b"POST", b"order")
        assert answer.status == 502
        assert len(self.ran) == 1

    async def test_shed_request_goes_to_another_server(self):
        """A server that did not run it leaves it free for the next one."""
        first, second = self.backends.values()
        first.behaviour = platform_server.Behaviour(shed=True)
        statuses = [(await self.request("/u/x", b"POST", b"1")).status for _ in range(4)]
        assert statuses == [200] * 4
        assert len(second.started_ids) == 4

    async def test_unreachable_server_is_left(self):
        """A connection that cannot be opened costs the client nothing."""
        name = next(iter(self.ports))
        await self.ports[name].stopListening()
        statuses = [(await self.request("/u/x", b"POST", b"1")).status for _ in range(4)]
        assert statuses == [200] * 4


class TestBadServers(EntryCase):
    """Servers that lie or fail."""

    async def test_safe_request_is_tried_again(self):
        """A cut answer of one server is replaced by a whole one of another."""
        first, _ = self.backends.values()
        first.behaviour = platform_server.Behaviour(
            raw=b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf"
        )
        statuses = [(await self.request(X_Attempt_Id=str(n))).status for n in range(4)]
        assert statuses == [200] * 4

    async def test_failure_of_every_server_is_passed_on(self):
        """A server's own 500 reaches the client when no other server does better."""
        self.behave(status=500, body=b"mine")
        answer = await self.request()
        assert (answer.status, answer.body) == (500, b"mine")
        assert answer.get("x-instance-id") in self.backends

    async def test_octets_behind_an_answer_reach_nobody(self):
        """A connection that carried more than its answer is not used again."""
        self.behave(extra=b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
        for number in range(6):
            answer = await self.request(X_Attempt_Id=str(number))
            assert answer.body == b"served"

    async def test_answer_of_another_request_is_passed_over(self):
        """A late answer in front of the right one does not reach the client."""
        self.behave(raw=b"HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nContent-Length: 3\r\n\r\nold")
        answer = await self.request("/u/x", b"POST", b"1")
        assert answer.status == 502

    async def test_answer_without_length_ends_with_the_connection(self):
        """It is whole when the connection ends in order."""
        self.behave(raw=b"HTTP/1.1 200 OK\r\n\r\nall of it")
        answer = await self.request()
        assert answer.body == b"all of it"


class TestTimes(EntryCase):
    """Timeouts and clients that leave."""

    async def test_timeout_of_the_route_is_answered(self):
        """At the route's timeout the client gets 504, and the server stops its work."""
        self.store.put("config", "main", config(2, route(Timeout="300ms")))
        await self.until(lambda: self.daemons[0]._catalog.config.version == 2)
        self.behave(work_s=5.0)
        began_at = reactor.seconds()
        answer = await self.request()
        assert answer.status == 504
        assert reactor.seconds() - began_at < 0.8
        await self.until(lambda: sum(b.cancelled for b in self.backends.values()) == 1)

    async def test_client_that_leaves_stops_the_work(self):
        """The server's connection is closed at once for what may be repeated."""
        self.behave(work_s=5.0)
        head = f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 1\r\n\r\n"
        client = await self.raw(head.encode(), wait_s=0.3)
        client.transport.abortConnection()
        await self.until(lambda: sum(b.cancelled for b in self.backends.values()) == 1)


class TestClients(EntryCase):
    """What clients may send."""

    async def test_smuggled_request_is_not_run(self):
        """Two lengths get 400 and the connection ends."""
        client = await self.raw(
            b"POST /u/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/x HTTP/1.1\r\n\r\n"
        )
        assert client.data.startswith(b"HTTP/1.1 400 ")
        assert self.ran == []

    async def test_bounds_of_the_configuration(self):
        """Headers and bodies beyond the bounds get 431 and 413."""
        long = await self.raw(b"GET /a/x HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 3000)
        big = await self.raw(
            b"POST /u/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5000\r\n\r\n"
        )
        assert long.data.startswith(b"HTTP/1.1 431 ")
        assert big.data.startswith(b"HTTP/1.1 413 ")

    async def test_head_that_does_not_end_is_answered(self):
        """A client that stops in the middle of its head gets 408."""
        client = await self.raw(b"GET /a/x HTT")
        assert client.data.startswith(b"HTTP/1.1 408 ")

    async def test_requests_sent_ahead_are_answered_in_order(self):
        """Two requests in one piece, one with chunks, get two answers."""
        one = (
            b"POST /u/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        )
        two = b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 2\r\n"
        client = await self.raw(one + two + b"Connection: close\r\n\r\n")
        assert client.data.count(b"HTTP/1.1 200 ") == 2
        assert sorted(self.ran) == ["1", "2"]


class TestStore(EntryCase):
    """The store and what it tells."""

    async def test_draining_server_gets_nothing_new(self):
        """A server that says it leaves is out of use at once."""
        self.register("i-0", state="draining")
        await self.until(lambda: len(self.daemons[0]._catalog.servers(reactor.seconds())) == 1)
        for _ in range(4):
            await self.request()
        assert self.backends["i-0"].started_ids == []

    async def test_odd_entries_name_no_server(self):
        """Entries of other writers are passed over, and the others hold."""
        for number, spec in enumerate([None, [], "x", {"Address": 7}, {"Address": "no-port"}]):
            self.store.put("servers", f"odd-{number}", spec, {"State": "ready"})
        self.store.put("servers", "odd-state", {"Address": "1:1"}, {"State": "dancing"})
        await task.deferLater(reactor, 0.5, lambda: None)
        assert (await self.request()).status == 200
        assert len(self.daemons[0]._catalog.servers(reactor.seconds())) == 2

    async def test_requests_go_on_while_the_store_is_away(self):
        """What was in force stays, and the calls do not become a storm."""
        self.store.mode.refuse_status = 503
        before = len(self.store.calls)
        for _ in range(10):
            assert (await self.request()).status == 200
            await task.deferLater(reactor, 0.2, lambda: None)
        assert len(self.store.calls) - before < 40
        self.store.mode.refuse_status = 0
        self.store.put("config", "main", config(9, route()))
        await self.until(lambda: self.daemons[0]._catalog.config.version == 9)

    async def test_evacuated_zone_gets_nothing(self):
        """Its servers are out of use until the evacuation is taken back."""
        self.register("i-0", zone="north-b")
        self.store.put("evacuations", "north-b", {})
        await self.until(lambda: len(self.daemons[0]._catalog.servers(reactor.seconds())) == 1)
        self.store.remove("evacuations", "north-b")
        await self.until(lambda: len(self.daemons[0]._catalog.servers(reactor.seconds())) == 2)


class TestTwoInstances(EntryCase):
    """Instances that know each other."""

    servers_wanted = 1

    async def join(self):
        """Start a second instance and wait until both know each other."""
        self.daemons.append(await self.start_instance("two", seeds=("one",)))
        second = self.daemons[1]
        await self.until(lambda: second.phase is members.Phase.READY)
        await self.until(
            lambda: all(
                len(d._streams.roster.serving(reactor.seconds())) == 2 for d in self.daemons
            )
        )

    async def test_slots_are_counted_over_both(self):
        """Requests through two instances never exceed the slots of a server."""
        await self.join()
        self.behave(work_s=0.2)
        backend = self.backends["i-0"]
        peak = []
        loop = task.LoopingCall(lambda: peak.append(len(backend.started_ids)))
        waiting = [
            defer.ensureDeferred(
                self.request(instance=("one", "two")[n % 2], X_Attempt_Id=str(n))
            )
            for n in range(8)
        ]
        loop.start(0.02)
        await task.deferLater(reactor, 0.15, lambda: None)
        assert len(backend.started_ids) <= 4
        answers = await defer.gatherResults(waiting)
        loop.stop()
        assert {answer.status for answer in answers} <= {200, 503}

    async def test_one_instance_watches_the_store_for_both(self):
        """The other is told of changes by it, and takes over when it ends."""
        await self.join()
        await self.until(
            lambda: sorted(d._store_sync.is_direct for d in self.daemons) == [False, True]
        )
        self.store.put("config", "main", config(5, route()))
        await self.until(lambda: all(d._catalog.config.version == 5 for d in self.daemons))

    async def test_leaving_instance_is_not_named(self):
        """The directory of the other drops it at once, and its requests end whole."""
        await self.join()
        self.behave(work_s=0.4)
        running = defer.ensureDeferred(self.request(instance="two"))
        await task.deferLater(reactor, 0.1, lambda: None)
        stopping = defer.ensureDeferred(self.daemons[1].stop())
        await self.until(
            lambda: len(self.daemons[0]._streams.roster.serving(reactor.seconds())) == 1
        )
        assert (await running).status == 200
        await stopping

    async def test_instance_that_vanishes_frees_its_place(self):
        """Without a goodbye, its slots come to the other within two seconds."""
        await self.join()
        await self.daemons.pop()._shut_down()
        await self.until(
            lambda: len(self.daemons[0]._streams.roster.serving(reactor.seconds())) == 1, 3.0
        )
        assert (await self.request()).status == 200


class TestOwnInterface(EntryCase):
    """Clients that name the service."""

    async def test_request_and_lookup(self):
        """A service answers by its name, and the look-up says where to ask."""
        answer = await self.request("/v1/services/svc/item?x=1")
        assert (answer.status, answer.body) == (200, b"served")
        assert (answer.get("carobhook-code"), answer.get("carobhook-run")) == ("1000", "ran")
        sent = next(b.heads[0] for b in self.backends.values() if b.heads)
        assert sent.target == b"/item?x=1"
        found = await self.request("/v1/lookup?region=north", port="directory")
        http = self.numbers["one"]["http"]
        assert json.loads(found.body)["addresses"] == [f"127.0.0.1:{http}"]

    async def test_faults_have_codes(self):
        """An unknown service and a header without a number are told apart."""
        told = [
            await self.request("/v1/services/nowhere/item"),
            await self.request("/v1/services/svc/item", Carobhook_Deadline_Ms="soon"),
            await self.request("/v1/services/svc/item", Carobhook_Rank="high"),
        ]
        found = [(answer.status, answer.get("carobhook-code")) for answer in told]
        assert found == [(404, "1054"), (400, "1002"), (400, "1002")]
        assert not self.ran


class TestOperators(EntryCase):
    """Orders and questions of operators, kept in the store."""

    async def order(self, text, token="operator", instance="one", **fields):
        """Send an order; return status and answer."""
        body = json.dumps({"id": text, "text": text, **fields}).encode()
        answer = await self.request(
            "/v1/orders",
            b"POST",
            body,
            instance,
            "operators",
            Authorization=f"Bearer {token}",
        )
        return answer.status, json.loads(answer.body)

    async def progress(self, version):
        """Return how far a version is in force."""
        answer = await self.request(
            f"/v1/in-force/{version}", port="operators", Authorization="Bearer operator"
        )
        return json.loads(answer.body)

    async def test_tokens_bind(self):
        """Without a token nothing is answered; a reader may only ask."""
        assert (await self.order("show regions", "wrong"))[1]["code"] == 2018
        assert (await self.order("show regions", "reader"))[1]["code"] == 2002
        assert (await self.order("drain server i-0", "reader"))[1]["code"] == 2017
        assert (await self.order("drain server", "operator"))[1]["code"] == 2010

    async def test_drained_server_gets_nothing(self):
        """The order is in force within seconds, and its undoing too."""
        text = "drain server i-0 emergency cap 100% per 1s"
        status, answer = await self.order(text)
        assert (status, answer["code"], answer["version"]) == (200, 2001, 1)
        known = self.daemons[0]._catalog
        await self.until(lambda: not known.is_usable("i-0"))
        await self.until(lambda: self.daemons[0]._orders.in_force.version == 1)
        found = await self.progress(1)
        while found["missing"]:
            # The version goes round with the next heartbeat.
            assert found["seconds"] < 3.0
            found = await self.progress(1)
        assert (found["in_force"], found["total"]) == (1, 1)
        for number in range(6):
            assert (await self.request(X_Attempt_Id=str(number))).status == 200
        assert not self.backends["i-0"].started_ids
        assert (await self.order("undrain server i-0"))[1]["version"] == 2
        await self.until(lambda: known.is_usable("i-0"))
        _, changes = await self.order("show changes")
        assert [row[4] for row in changes["rows"]] == ["undrain server i-0", text]

    async def test_orders_outlast_the_instance(self):
        """A new run takes the orders from the store."""
        await self.order("set rank 0 for route r/a/safe")
        await self.daemons.pop().stop()
        self.daemons.append(await self.start_instance("one"))
        await self.until(lambda: self.daemons[0].phase is members.Phase.READY)
        _, ranks = await self.order("show ranks")
        assert ["r/a/safe", 0, 1] in ranks["rows"]

    async def test_every_question_is_answered(self):
        """All tables, explanations and dry runs have rows."""
        await self.request()
        questions = ["regions", "traffic", "servers", "routes", "ranks", "caps", "instances"]
        for text in [
            *(f"show {subject}" for subject in questions),
            "explain svc for north",
            "explain region north",
            "plan shift svc from north to south by 10%",
            "plan drain failure-domain north-b",
        ]:
            status, answer = await self.order(text)
            assert (status, answer["code"]) == (200, 2002), (text, answer)
            assert answer["rows"], text
            assert all(len(row) == len(answer["columns"]) for row in answer["rows"]), text
        _, planned = await self.order("plan drain region north at 00:00 until 23:59")
        column = planned["columns"].index("slots then")
        assert [row[column] for row in planned["rows"] if row[1] == "north"] == [0]
        assert (await self.order("show change 9"))[1]["code"] == 2011

    async def test_store_away(self):
        """An order that cannot be kept is refused, and nothing changes."""
        self.store.mode.refuse_status = 503
        status, answer = await self.order("set cap 5% per 10s")
        assert (status, answer["code"]) == (503, 2013)
        assert self.daemons[0]._orders.in_force.version == 0
