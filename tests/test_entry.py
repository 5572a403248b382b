"""Tests of complete entry instances over loopback, with stand-ins for store and servers."""

import hashlib
import json
import random

from twisted.internet import defer, protocol, reactor, task
from twisted.trial import unittest

from carobhook import entry_settings
from carobhook.protocol import http1
from carobhook.standins import memory_store, platform_server, platform_store, unused_ports
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
    """Return a configuration in the platform's format."""
    default_limits = {
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
        "Limits": default_limits | (limits or {}),
    }


def route(prefix="/a/", kind="safe", **fields):
    """Return a route in the platform's format."""
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


class RawClient(protocol.Protocol):
    """Collects the data received on a connection."""

    def __init__(self):
        self.data = b""
        self.closed = defer.Deferred()

    def dataReceived(self, data):  # noqa: N802
        """Collect the data."""
        self.data += data

    def connectionLost(self, reason=protocol.connectionDone):  # noqa: N802
        """Report that the connection is closed."""
        self.closed.callback(None)


class EntryCase(unittest.TestCase):
    """Base class of tests with a store, backend servers and instances."""

    timeout = 30
    server_count = 2

    async def setUp(self):
        """Start the stand-ins and one instance, and wait until it is ready."""
        self.store = platform_store.PlatformStoreServer(reactor, memory_store.MemoryStore())
        self.store_port = self.store.listen("127.0.0.1", 0)
        self.backends, self.ports = {}, {}
        for number in range(self.server_count):
            self.add_backend(f"i-{number}")
        self.store.put("config", "main", config(1, route(), route("/u/", "unsafe")))
        self.connections = server_connections.ServerConnections(reactor, 2.0)
        self.instance_ports = {}
        self.daemons = [await self.start_instance("one")]
        self.addCleanup(self.clean)
        await self.wait_until(lambda: self.daemons[0].phase is members.Phase.READY)

    async def clean(self):
        """Stop the instances and the stand-ins."""
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

    def register(self, name, state="ready", cold="0ms", zone="north-a", slots=4, born=None):
        """Write the store entry of a backend server."""
        address = f"127.0.0.1:{self.ports[name].getHost().port}"
        info = {"Service": "svc", "ConfigVersion": "v1", "Zone": zone, "Slots": slots}
        status = {"State": state, "SeqNo": 1, "ColdRemaining": cold}
        spec = {"Address": address, "Info": info}
        if born is not None:
            spec["born"] = born
        self.store.put("servers", name, spec, status)

    def settings_of(self, name, seeds=()):
        """Return the text of the settings of a new instance on free ports."""
        keys = ("http", "readiness", "directory", "peers", "metrics", "operators")
        numbers = unused_ports.find("127.0.0.1", len(keys))
        self.instance_ports[name] = dict(zip(keys, numbers, strict=True))
        return SETTINGS.format(
            name=name,
            store=self.store_port.getHost().port,
            seeds=", ".join(
                f'"127.0.0.1:{self.instance_ports[seed]["peers"]}"' for seed in seeds
            ),
            operator_hash=hashlib.sha256(b"operator").hexdigest(),
            reader_hash=hashlib.sha256(b"reader").hexdigest(),
            **self.instance_ports[name],
        )

    async def start_instance(self, name, seeds=()):
        """Start an instance on free ports."""
        text = self.settings_of(name, seeds)
        daemon = entry_daemon.EntryDaemon(entry_settings.loads(text), reactor, random.Random(1))
        await daemon.start()
        return daemon

    async def wait_until(self, condition, limit_s=8.0):
        """Wait until a condition holds; fail after a time limit."""
        deadline_at = reactor.seconds() + limit_s
        while not condition():
            if reactor.seconds() > deadline_at:
                self.fail("the condition was not met in time")
            await task.deferLater(reactor, 0.02, lambda: None)

    async def request(
        self, path="/a/x", method=b"GET", body=b"", instance="one", port="http", **headers
    ):
        """Send a request and return its response."""
        all_headers = {"Host": HOST, "X-Attempt-Id": "attempt", "X-Deadline-Ms": "3000"}
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        head = http1.RequestHead(
            method,
            path.encode(),
            tuple((k.encode(), v.encode()) for k, v in all_headers.items()),
        )
        address = f"127.0.0.1:{self.instance_ports[instance][port]}"
        received = await self.connections.exchange(address, head, body, require_fresh=True)
        return received.response

    async def send_raw(self, data, wait_s=None):
        """Send bytes on a new connection; return the client after its close or a delay."""
        creator = protocol.ClientCreator(reactor, RawClient)
        client = await creator.connectTCP("127.0.0.1", self.instance_ports["one"]["http"])
        client.transport.write(data)
        if wait_s is None:
            await client.closed
        else:
            await task.deferLater(reactor, wait_s, lambda: None)
        return client

    @property
    def started_ids(self):
        """Return the attempt ids of all requests that any server started."""
        return [
            attempt_id
            for backend in self.backends.values()
            for attempt_id in backend.started_ids
        ]

    def set_behaviour(self, **fields):
        """Set the behaviour of every backend server."""
        for backend in self.backends.values():
            backend.behaviour = platform_server.Behaviour(**fields)


class TestResponses(EntryCase):
    """Responses to clients."""

    async def test_response_is_forwarded_unchanged(self):
        """Status, body and headers are the server's; no second Server or Date is added."""
        response = await self.request()
        assert (response.status, response.body) == (200, b"served")
        names = [name.lower() for name, _ in response.headers]
        assert names.count(b"server") == 1
        assert b"date" not in names
        sent = next(b.heads[0] for b in self.backends.values() if b.heads)
        assert sent.get("x-attempt-id") == "attempt"
        assert sent.get("x-expected-instance") in self.backends
        assert 0 < int(sent.get("x-deadline-ms")) <= 1500

    async def test_unknown_path_is_404(self):
        """A path without a route gets a 404."""
        response = await self.request("/nothing/")
        assert response.status == 404

    async def test_readiness_and_directory(self):
        """A ready instance reports that it is ready, and the directory lists it."""
        ready = await self.request("/-/readiness", port="readiness")
        found = await self.request(
            f"/-/resolve?Name={HOST}&Region=north&Zone=north-a", port="directory"
        )
        assert ready.status == 200
        assert json.loads(found.body)["Addresses"] == [
            f"127.0.0.1:{self.instance_ports['one']['http']}"
        ]

    async def test_request_without_servers_is_refused_at_once(self):
        """The client gets a 503, which states that the request did not run, and Retry-After."""
        for name in self.backends:
            self.store.remove("servers", name)
        await self.wait_until(lambda: not self.daemons[0]._catalog.servers(reactor.seconds()))
        started_at = reactor.seconds()
        response = await self.request()
        assert response.status == 503
        assert float(response.get("retry-after")) > 0
        assert reactor.seconds() - started_at < 0.3


class TestAtMostOnce(EntryCase):
    """Requests that must not run twice."""

    async def test_request_is_not_retried_after_a_reset(self):
        """The server may have run it: it is not retried, and 502 leaves open whether it ran."""
        self.set_behaviour(reset=True)
        response = await self.request("/u/x", b"POST", b"order")
        assert response.status == 502
        assert len(self.started_ids) == 1

    async def test_shed_request_is_retried_on_another_server(self):
        """A request that a server shed was not run, so it may be sent to another server."""
        first, second = self.backends.values()
        first.behaviour = platform_server.Behaviour(shed=True)
        statuses = [(await self.request("/u/x", b"POST", b"1")).status for _ in range(4)]
        assert statuses == [200] * 4
        assert len(second.started_ids) == 4

    async def test_unreachable_server_is_skipped(self):
        """If no connection to a server can be opened, the request is sent to another one."""
        name = next(iter(self.ports))
        await self.ports[name].stopListening()
        statuses = [(await self.request("/u/x", b"POST", b"1")).status for _ in range(4)]
        assert statuses == [200] * 4


class TestFailingServers(EntryCase):
    """Servers that fail or send invalid responses."""

    async def test_repeatable_request_is_retried(self):
        """After a truncated response, the request is sent to another server."""
        first, _ = self.backends.values()
        first.behaviour = platform_server.Behaviour(
            raw=b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf"
        )
        statuses = [(await self.request(X_Attempt_Id=str(n))).status for n in range(4)]
        assert statuses == [200] * 4

    async def test_failure_of_every_server_is_forwarded(self):
        """A server's own 500 response is forwarded if every server fails."""
        self.set_behaviour(status=500, body=b"mine")
        response = await self.request()
        assert (response.status, response.body) == (500, b"mine")
        assert response.get("x-instance-id") in self.backends

    async def test_bytes_after_a_response_are_discarded(self):
        """A connection with bytes after the end of its response is not reused."""
        self.set_behaviour(extra=b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
        for number in range(6):
            response = await self.request(X_Attempt_Id=str(number))
            assert response.body == b"served"

    async def test_response_to_another_request_is_not_forwarded(self):
        """A late response with the attempt id of another request does not reach the client."""
        self.set_behaviour(
            raw=b"HTTP/1.1 200 OK\r\nX-Attempt-Id: old\r\nContent-Length: 3\r\n\r\nold"
        )
        response = await self.request("/u/x", b"POST", b"1")
        assert response.status == 502

    async def test_response_without_length_ends_with_the_connection(self):
        """A response without a length is complete when the server closes the connection."""
        self.set_behaviour(raw=b"HTTP/1.1 200 OK\r\n\r\nall of it")
        response = await self.request()
        assert response.body == b"all of it"


class TestTimeouts(EntryCase):
    """Timeouts, and clients that disconnect."""

    async def test_route_timeout_gets_504(self):
        """At the route's timeout the client gets a 504, and the server cancels the request."""
        self.store.put("config", "main", config(2, route(Timeout="300ms")))
        await self.wait_until(lambda: self.daemons[0]._catalog.config.version == 2)
        self.set_behaviour(work_s=5.0)
        started_at = reactor.seconds()
        response = await self.request()
        assert response.status == 504
        assert reactor.seconds() - started_at < 0.8
        await self.wait_until(lambda: sum(b.cancelled for b in self.backends.values()) == 1)

    async def test_client_disconnect_cancels_the_request(self):
        """The connection to the server is closed at once if the request is repeatable."""
        self.set_behaviour(work_s=5.0)
        head = f"GET /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 1\r\n\r\n"
        client = await self.send_raw(head.encode(), wait_s=0.3)
        client.transport.abortConnection()
        await self.wait_until(lambda: sum(b.cancelled for b in self.backends.values()) == 1)


class TestClients(EntryCase):
    """Validation of what clients send."""

    async def test_smuggled_request_is_rejected(self):
        """A request with two lengths gets a 400, and the connection is closed."""
        client = await self.send_raw(
            b"POST /u/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /a/x HTTP/1.1\r\n\r\n"
        )
        assert client.data.startswith(b"HTTP/1.1 400 ")
        assert self.started_ids == []

    async def test_size_limits_of_the_configuration(self):
        """Headers and bodies over the limits get a 431 and a 413."""
        long = await self.send_raw(b"GET /a/x HTTP/1.1\r\nHost: x\r\nX: " + b"y" * 3000)
        big = await self.send_raw(
            b"POST /u/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 5000\r\n\r\n"
        )
        assert long.data.startswith(b"HTTP/1.1 431 ")
        assert big.data.startswith(b"HTTP/1.1 413 ")

    async def test_incomplete_head_gets_408(self):
        """A client that stops in the middle of a request head gets a 408."""
        client = await self.send_raw(b"GET /a/x HTT")
        assert client.data.startswith(b"HTTP/1.1 408 ")

    async def test_pipelined_requests_get_responses(self):
        """Two requests sent at once, one of them chunked, get two responses."""
        one = (
            b"POST /u/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        )
        two = b"GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: 2\r\n"
        client = await self.send_raw(one + two + b"Connection: close\r\n\r\n")
        assert client.data.count(b"HTTP/1.1 200 ") == 2
        assert sorted(self.started_ids) == ["1", "2"]


class TestStore(EntryCase):
    """Changes and failures of the store."""

    async def test_draining_server_gets_no_requests(self):
        """A server in the draining state gets no new requests."""
        self.register("i-0", state="draining")
        await self.wait_until(
            lambda: len(self.daemons[0]._catalog.servers(reactor.seconds())) == 1
        )
        for _ in range(4):
            await self.request()
        assert self.backends["i-0"].started_ids == []

    async def test_invalid_store_entries_are_ignored(self):
        """Invalid entries are ignored, and the valid ones stay in use."""
        for number, spec in enumerate([None, [], "x", {"Address": 7}, {"Address": "no-port"}]):
            self.store.put("servers", f"odd-{number}", spec, {"State": "ready"})
        self.store.put("servers", "odd-state", {"Address": "1:1"}, {"State": "dancing"})
        await task.deferLater(reactor, 0.5, lambda: None)
        assert (await self.request()).status == 200
        assert len(self.daemons[0]._catalog.servers(reactor.seconds())) == 2

    async def test_requests_succeed_while_the_store_fails(self):
        """The last known state stays in use, and the rate of calls to the store stays low."""
        self.store.mode.refuse_status = 503
        before = len(self.store.calls)
        for _ in range(10):
            assert (await self.request()).status == 200
            await task.deferLater(reactor, 0.2, lambda: None)
        assert len(self.store.calls) - before < 40
        self.store.mode.refuse_status = 0
        self.store.put("config", "main", config(9, route()))
        await self.wait_until(lambda: self.daemons[0]._catalog.config.version == 9)

    async def test_unknown_path_is_503_while_the_configuration_is_unconfirmed(self):
        """A route may have been added that this instance could not hear of."""
        self.store.mode.refuse_status = 503
        await self.wait_until(lambda: not self.daemons[0]._store_sync.is_config_recent)
        response = await self.request("/nowhere/")
        assert response.status == 503
        assert response.get("retry-after") is not None
        assert (await self.request()).status == 200
        self.store.mode.refuse_status = 0
        await self.wait_until(lambda: self.daemons[0]._store_sync.is_config_recent)
        assert (await self.request("/nowhere/")).status == 404

    async def test_evacuated_failure_domain_gets_no_requests(self):
        """Servers of an evacuated failure domain are unused until the evacuation is removed."""
        self.register("i-0", zone="north-b")
        self.store.put("evacuations", "north-b", {})
        await self.wait_until(
            lambda: len(self.daemons[0]._catalog.servers(reactor.seconds())) == 1
        )
        self.store.remove("evacuations", "north-b")
        await self.wait_until(
            lambda: len(self.daemons[0]._catalog.servers(reactor.seconds())) == 2
        )


class TwoInstancesCase(EntryCase):
    """Base class of tests with two instances with streams to each other."""

    server_count = 1

    async def join(self):
        """Start a second instance and wait until both know each other."""
        self.daemons.append(await self.start_instance("two", seeds=("one",)))
        second = self.daemons[1]
        await self.wait_until(lambda: second.phase is members.Phase.READY)
        await self.wait_until(
            lambda: all(
                len(d._streams.membership.serving(reactor.seconds())) == 2 for d in self.daemons
            )
        )

    def serving_counts(self):
        """Return how many serving instances each instance knows."""
        now = reactor.seconds()
        return [len(d._streams.membership.serving(now)) for d in self.daemons]


class TestTwoInstances(TwoInstancesCase):
    """Two instances with streams to each other."""

    async def test_slots_are_shared_by_both_instances(self):
        """Two instances together start no more requests at once than a server has slots."""
        await self.join()
        self.set_behaviour(work_s=0.2)
        backend = self.backends["i-0"]
        started_counts = []
        loop = task.LoopingCall(lambda: started_counts.append(len(backend.started_ids)))
        waiting = [
            defer.ensureDeferred(
                self.request(instance=("one", "two")[n % 2], X_Attempt_Id=str(n))
            )
            for n in range(8)
        ]
        loop.start(0.02)
        await task.deferLater(reactor, 0.15, lambda: None)
        assert len(backend.started_ids) <= 4
        responses = await defer.gatherResults(waiting)
        loop.stop()
        assert {response.status for response in responses} <= {200, 503}

    async def test_one_instance_watches_the_store_for_both(self):
        """The instance that watches the store forwards its changes to the other one."""
        await self.join()
        await self.wait_until(
            lambda: sorted(d._store_sync.is_direct for d in self.daemons) == [False, True]
        )
        self.store.put("config", "main", config(5, route()))
        await self.wait_until(lambda: all(d._catalog.config.version == 5 for d in self.daemons))

    async def test_leaving_instance_is_not_in_the_directory(self):
        """The other instance stops listing it, and its running requests complete."""
        await self.join()
        self.set_behaviour(work_s=0.4)
        running = defer.ensureDeferred(self.request(instance="two"))
        await task.deferLater(reactor, 0.1, lambda: None)
        stopping = defer.ensureDeferred(self.daemons[1].stop())
        await self.wait_until(
            lambda: len(self.daemons[0]._streams.membership.serving(reactor.seconds())) == 1
        )
        assert (await running).status == 200
        await stopping

    async def test_lost_instance_is_removed(self):
        """An instance that stops abruptly is removed, and the other still serves requests."""
        await self.join()
        await self.daemons.pop()._shut_down()
        await self.wait_until(
            lambda: len(self.daemons[0]._streams.membership.serving(reactor.seconds())) == 1,
            3.0,
        )
        assert (await self.request()).status == 200


class TestClientApi(EntryCase):
    """Calls of the client API, which name the service."""

    async def test_request_and_lookup(self):
        """A service can be called by its name, and a lookup returns the instance's address."""
        response = await self.request("/v1/services/svc/item?x=1")
        assert (response.status, response.body) == (200, b"served")
        assert (response.get("carobhook-code"), response.get("carobhook-run")) == (
            "1000",
            "ran",
        )
        sent = next(b.heads[0] for b in self.backends.values() if b.heads)
        assert sent.target == b"/item?x=1"
        found = await self.request("/v1/lookup?region=north", port="directory")
        http = self.instance_ports["one"]["http"]
        assert json.loads(found.body)["addresses"] == [f"127.0.0.1:{http}"]

    async def test_unknown_service_and_invalid_header_have_codes(self):
        """An unknown service and an invalid number in a header have different codes."""
        responses = [
            await self.request("/v1/services/nowhere/item"),
            await self.request("/v1/services/svc/item", Carobhook_Deadline_Ms="soon"),
            await self.request("/v1/services/svc/item", Carobhook_Rank="high"),
        ]
        found = [(response.status, response.get("carobhook-code")) for response in responses]
        assert found == [(404, "1054"), (400, "1002"), (400, "1002")]
        assert not self.started_ids


class TestOperators(EntryCase):
    """Orders, which the store keeps, and queries of operators."""

    async def order(self, text, token="operator", instance="one", **fields):
        """Send an order; return the status and the decoded body of the response."""
        body = json.dumps({"id": text, "text": text, **fields}).encode()
        response = await self.request(
            "/v1/orders",
            b"POST",
            body,
            instance,
            "operators",
            Authorization=f"Bearer {token}",
        )
        return response.status, json.loads(response.body)

    async def progress(self, version):
        """Return the decoded report on the instances on which an order version is in force."""
        response = await self.request(
            f"/v1/in-force/{version}", port="operators", Authorization="Bearer operator"
        )
        return json.loads(response.body)

    async def test_tokens_are_checked(self):
        """An unknown token is refused, and a reader may only send queries."""
        assert (await self.order("show regions", "wrong"))[1]["code"] == 2018
        assert (await self.order("show regions", "reader"))[1]["code"] == 2002
        assert (await self.order("drain server i-0", "reader"))[1]["code"] == 2017
        assert (await self.order("drain server", "operator"))[1]["code"] == 2010

    async def test_drained_server_gets_no_requests(self):
        """A drain order is in force within seconds, and so is its reversal."""
        text = "drain server i-0 emergency cap 100% per 1s"
        status, response = await self.order(text)
        assert (status, response["code"], response["version"]) == (200, 2001, 1)
        known = self.daemons[0]._catalog
        await self.wait_until(lambda: not known.is_usable("i-0"))
        await self.wait_until(lambda: self.daemons[0]._orders.in_force.version == 1)
        found = await self.progress(1)
        while found["missing"]:
            # An instance reports the version that it has in force with its next heartbeat.
            assert found["seconds"] < 3.0
            found = await self.progress(1)
        assert (found["in_force"], found["total"]) == (1, 1)
        for number in range(6):
            assert (await self.request(X_Attempt_Id=str(number))).status == 200
        assert not self.backends["i-0"].started_ids
        assert (await self.order("undrain server i-0"))[1]["version"] == 2
        await self.wait_until(lambda: known.is_usable("i-0"))
        _, changes = await self.order("show changes")
        assert [row[4] for row in changes["rows"]] == ["undrain server i-0", text]

    async def test_orders_survive_a_restart(self):
        """A restarted instance loads the orders from the store."""
        await self.order("set rank 0 for route r/a/safe")
        await self.daemons.pop().stop()
        self.daemons.append(await self.start_instance("one"))
        await self.wait_until(lambda: self.daemons[0].phase is members.Phase.READY)
        _, ranks = await self.order("show ranks")
        assert ["r/a/safe", 0, 1] in ranks["rows"]

    async def test_every_query_returns_rows(self):
        """All tables, explanations and dry runs return rows; an unknown change has a code."""
        await self.request()
        subjects = ["regions", "traffic", "servers", "routes", "ranks", "caps", "instances"]
        for text in [
            *(f"show {subject}" for subject in subjects),
            "explain svc for north",
            "explain region north",
            "plan shift svc from north to south by 10%",
            "plan drain failure-domain north-b",
        ]:
            status, response = await self.order(text)
            assert (status, response["code"]) == (200, 2002), (text, response)
            assert response["rows"], text
            assert all(len(row) == len(response["columns"]) for row in response["rows"]), text
        _, planned = await self.order("plan drain region north at 00:00 until 23:59")
        column = planned["columns"].index("slots then")
        assert [row[column] for row in planned["rows"] if row[1] == "north"] == [0]
        assert (await self.order("show change 9"))[1]["code"] == 2011

    async def test_order_is_refused_while_the_store_fails(self):
        """An order that cannot be stored is refused, and nothing changes."""
        self.store.mode.refuse_status = 503
        status, response = await self.order("set cap 5% per 10s")
        assert (status, response["code"]) == (503, 2013)
        assert self.daemons[0]._orders.in_force.version == 0
