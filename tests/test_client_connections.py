"""Connections of clients: pipelined requests, bounds on memory, and slow readers."""

import random

import pytest
from twisted.internet import reactor, task, testing

import test_entry
from carobhook.coordination import repeatable_requests
from carobhook.protocol import http1
from carobhook.state import ids, routing
from carobhook.transport import client_connections, client_memory, client_responses

OK = http1.Response(200, b"OK", (), b"")


class Transport(testing.StringTransport):
    """A transport whose client reads when the test says so.

    It asks a pull producer for data once when it registers, as the transports of twisted do.
    """

    def __init__(self, host="10.0.0.1"):
        super().__init__(peerAddress=Peer(host), lenient=True)
        self.aborted = False
        self.is_half_closed = False

    @property
    def is_told(self):
        """Return whether the client has learned that the connection ends."""
        return self.is_half_closed or self.disconnecting or self.aborted

    def register(self, producer, streaming):
        """Ask for the first data."""
        super().registerProducer(producer, streaming)
        assert not streaming
        producer.resumeProducing()

    def record_abort(self):
        """Record that the connection was closed at once."""
        self.aborted = True

    def close_for_writing(self):
        """Record that the client was told of the end, while it may still send."""
        self.is_half_closed = True

    loseWriteConnection = close_for_writing  # noqa: N815
    setTcpNoDelay = staticmethod(lambda enabled: None)  # noqa: N815
    registerProducer = register  # noqa: N815
    abortConnection = record_abort  # noqa: N815

    def read(self):
        """Let the client read what the transport holds; return whether more may follow."""
        if self.producer is not None:
            self.producer.resumeProducing()
        return self.producer is not None


class Peer:
    """Address of a client."""

    def __init__(self, host):
        self.host = host


class Active:
    """A request in progress; its body is in use until the test ends its work."""

    def __init__(self, request, respond):
        self.request, self.respond = request, respond
        self.is_gone = False
        self.at_end = []

    def client_disconnected(self):
        """Record it."""
        self.is_gone = True

    def call_at_end(self, function):
        """Keep the function."""
        self.at_end.append(function)

    def answer(self, body=b"", status=200):
        """Respond, and end the work."""
        self.respond(http1.Response(status, b"OK", (), body))
        self.end()

    def end(self):
        """End the work."""
        at_end, self.at_end = self.at_end, []
        for function in at_end:
            function()


class Bench:
    """A listener, its clock, and the requests that were started."""

    def __init__(self, max_bytes=100_000, max_client_bytes=60_000):
        self.clock = task.Clock()
        self.started = []
        self.memory = client_memory.ClientMemory(max_bytes, max_client_bytes)
        self.listener = client_connections.ClientListener(
            self.clock, self.handle, routing.ClientLimits, 50, self.memory
        )
        self.listener.is_repeatable = lambda head: head.method == b"GET"
        self.refused = []
        self.listener.on_body_refused = self.refused.append

    def handle(self, request, respond):
        """Start a request."""
        self.started.append(Active(request, respond))
        return self.started[-1]

    def connect(self, host="10.0.0.1"):
        """Return a new connection."""
        connection = self.listener.buildProtocol(None)
        connection.makeConnection(Transport(host))
        return connection

    def targets(self):
        """Return the targets of the requests that were started."""
        return [active.request.head.target.decode() for active in self.started]


def get(target, *headers):
    """Return the bytes of a request that may be repeated."""
    return "\r\n".join([f"GET {target} HTTP/1.1", "Host: h", *headers, "", ""]).encode()


def post(target, body, *headers):
    """Return the bytes of a request that may not be repeated."""
    lines = [f"POST {target} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


def bodies(connection):
    """Return the bodies of the responses that were written."""
    data, found = connection.transport.value(), []
    while data:
        size = http1.head_length(data)
        length = int(data[:size].lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
        found.append(data[size : size + length].decode())
        data = data[size + length :]
    return found


class TestPipelinedRequests:
    """Requests that a client sends before earlier ones are answered."""

    def test_responses_are_in_order_though_the_second_is_ready_first(self):
        """A response that overtakes another would be taken for that of another request."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(get("/1") + get("/2"))
        assert bench.targets() == ["/1", "/2"]
        bench.started[1].answer(b"two")
        assert bodies(connection) == []
        assert bench.memory.held_bytes == len(b"two")
        bench.started[0].answer(b"one")
        assert bodies(connection) == ["one", "two"]
        assert bench.memory.held_bytes == 0

    def test_unrepeatable_request_waits_and_nothing_starts_behind_it(self):
        """It would run twice if its client had to send it again."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(get("/1") + post("/once", b"x") + get("/3"))
        assert bench.targets() == ["/1"]
        bench.started[0].answer()
        bench.clock.advance(0)
        assert bench.targets() == ["/1", "/once"]
        assert not bench.started[1].request.is_pipelined
        bench.started[1].answer()
        bench.clock.advance(0)
        assert bench.targets() == ["/1", "/once", "/3"]

    def test_request_that_became_unrepeatable_while_its_body_arrived_waits(self):
        """The configuration in force when it starts counts, not that of its head."""
        bench = Bench()
        connection = bench.connect()
        body = get("/2", "Content-Length: 2")
        connection.dataReceived(get("/1") + body + b"x")
        bench.listener.is_repeatable = lambda head: False
        connection.dataReceived(b"x")
        assert bench.targets() == ["/1"]
        bench.started[0].answer()
        bench.clock.advance(0)
        assert bench.targets() == ["/1", "/2"]

    def test_nothing_starts_behind_a_request_that_asks_for_the_end(self):
        """Its response closes the connection, which is known when it starts."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(get("/1", "Connection: close") + get("/2"))
        assert bench.targets() == ["/1"]

    def test_all_requests_learn_that_the_client_left(self):
        """Work for a client that left would go on."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(get("/1") + get("/2") + get("/3"))
        bench.started[1].answer(b"two")
        connection.connectionLost()
        assert [active.is_gone for active in bench.started] == [True, False, True]
        assert bench.memory.held_bytes == 0

    def test_limit_for_a_connection(self):
        """One connection could start requests without end."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(b"".join(get(f"/{number}") for number in range(12)))
        assert len(bench.started) == bench.listener.max_started == 8
        bench.started[0].answer()
        bench.clock.advance(0)
        assert len(bench.started) == 9

    def test_unreadable_request_is_refused_in_its_turn(self):
        """Its 400 would be taken for the response to the request before it."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(get("/1") + b"BAD\r\n\r\n" + get("/3"))
        assert connection.transport.value() == b""
        bench.started[0].answer(b"one")
        written = connection.transport.value()
        assert written.index(b"one") < written.index(b"HTTP/1.1 400 ")
        assert bench.targets() == ["/1"]

    def test_interim_response_waits_for_the_responses_before_it(self):
        """It would be taken for one that belongs to the request in progress."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(
            get("/1") + get("/2", "Content-Length: 1", "Expect: 100-continue")
        )
        assert b"100 Continue" not in connection.transport.value()
        bench.started[0].answer()
        bench.clock.advance(0)
        assert connection.transport.value().endswith(b"HTTP/1.1 100 Continue\r\n\r\n")


class TestInstanceLeaves:
    """Started requests behind another one got no answer when the instance left (review/9)."""

    def leave(self, data):
        """Return a bench, and a connection with these bytes when the instance leaves."""
        bench = Bench(10**6, 10**6)
        connection = bench.connect()
        connection.dataReceived(data)
        bench.listener.closes_when_answered = True
        return bench, connection

    def closing_positions(self, connection):
        """Return which of the written responses say that the connection is closed."""
        responses = connection.transport.value().lower().split(b"http/1.1 ")[1:]
        return [n for n, data in enumerate(responses) if b"connection: close" in data]

    def test_started_requests_are_answered_and_the_others_stay_unread(self):
        """What servers run is answered; the client may send the rest again, whatever it is."""
        bench, connection = self.leave(get("/1") + get("/2") + get("/3") + post("/once", b"x"))
        for number, active in enumerate(bench.started):
            active.answer(b"%d" % number)
            bench.clock.advance(0)
        bench.clock.advance(2)
        assert bench.targets() == ["/1", "/2", "/3"]
        assert not any(active.is_gone for active in bench.started)
        assert bodies(connection) == ["0", "1", "2"]
        assert self.closing_positions(connection) == [2]
        assert connection.transport.disconnecting

    def test_responses_that_are_ready_early_are_sent_behind_a_slow_one(self):
        """They are whole, and their servers have done the work."""
        bench, connection = self.leave(get("/1") + get("/2") + get("/3"))
        bench.started[2].answer(b"three")
        bench.started[1].answer(b"two")
        bench.clock.advance(4)
        assert connection.transport.value() == b""
        bench.started[0].answer(b"one")
        assert bodies(connection) == ["one", "two", "three"]
        assert self.closing_positions(connection) == [2]

    def test_refusal_in_place_of_the_first_one(self):
        """It ends that request only, and says that it was not run."""
        bench, connection = self.leave(get("/1") + get("/2"))
        bench.started[1].answer(b"two")
        bench.started[0].answer(b"no", status=503)
        assert bodies(connection) == ["no", "two"]
        assert self.closing_positions(connection) == [1]

    def test_body_on_its_way_behind_a_started_request(self):
        """It was not read whole; its memory is free once the connection ends."""
        data = get("/1") + get("/2", "Content-Length: 5000") + b"x" * 100
        bench, connection = self.leave(data)
        assert bench.memory.held_bytes == 5000
        bench.started[0].answer(b"one")
        connection.dataReceived(b"x" * 4900)
        bench.clock.advance(2)
        assert bench.targets() == ["/1"]
        assert bodies(connection) == ["one"]
        assert bench.memory.held_bytes == 0
        assert connection.transport.disconnecting

    def test_whole_request_whose_turn_does_not_come_is_not_started(self):
        """It became complete while the instance left, and no server runs it."""
        bench, connection = self.leave(get("/1") + get("/2", "Content-Length: 2") + b"x")
        connection.dataReceived(b"x" + get("/3"))
        bench.clock.advance(1)
        bench.started[0].answer(b"one")
        bench.clock.advance(2)
        assert bench.targets() == ["/1"]
        assert self.closing_positions(connection) == [0]

    def test_request_that_is_half_read_alone_is_served(self):
        """Nothing before it closes the connection, so its client has not to send it again."""
        bench, connection = self.leave(post("/1", b"xx")[:-1])
        connection.dataReceived(b"x")
        assert bench.targets() == ["/1"]
        bench.started[0].answer(b"one")
        assert self.closing_positions(connection) == [0]

    def test_expected_interim_response_behind_a_started_request_is_not_sent(self):
        """Its client would send a body that nobody reads."""
        data = get("/1") + get("/2", "Content-Length: 1", "Expect: 100-continue")
        bench, connection = self.leave(data)
        bench.started[0].answer(b"one")
        bench.clock.advance(2)
        assert bodies(connection) == ["one"]
        assert b"100 Continue" not in connection.transport.value()
        assert connection.transport.disconnecting

    def test_unreadable_request_behind_started_ones(self):
        """Its refusal closes the connection, after the responses before it."""
        bench, connection = self.leave(get("/1") + get("/2") + b"BAD\r\n\r\n")
        bench.started[1].answer(b"two")
        bench.started[0].answer(b"one")
        assert [body[:3] for body in bodies(connection)][:2] == ["one", "two"]
        assert self.closing_positions(connection) == [2]
        assert b"HTTP/1.1 400 " in connection.transport.value()

    def test_client_that_reads_slowly_gets_all_started_responses(self):
        """What it sends meanwhile is dropped; if unread, it would reset the connection."""
        bench, connection = self.leave(get("/1") + get("/2"))
        bench.started[0].answer(b"1" * 150_000)
        bench.started[1].answer(b"2" * 150_000)
        while connection.transport.read():
            connection.dataReceived(get("/3"))
            bench.clock.advance(5)
            assert not connection.transport.disconnecting
        assert [len(body) for body in bodies(connection)] == [150_000, 150_000]
        bench.clock.advance(0.9)
        assert connection.transport.producerState == "producing"
        assert connection.transport.is_told
        assert not connection.transport.disconnecting
        bench.clock.advance(0.2)
        assert connection.transport.disconnecting
        assert bench.targets() == ["/1", "/2"]

    def test_idle_connection_with_unread_requests_is_not_reset(self):
        """A reset would take what the client has not read of the responses before them."""
        bench, connection = self.leave(get("/1"))
        bench.listener.closes_when_answered = False
        bench.started[0].answer(b"1" * 150_000)
        assert connection.transport.producerState == "paused"
        bench.listener.closes_when_answered = True
        bench.listener.close_idle()
        bench.clock.advance(0)
        assert not connection.transport.is_told
        while connection.transport.read():
            pass
        bench.listener.close_idle()
        bench.clock.advance(0)
        assert connection.transport.producerState == "producing"
        assert not connection.transport.is_told
        connection.dataReceived(get("/2"))
        assert bench.targets() == ["/1", "/2"]
        bench.started[1].answer(b"two")
        assert [len(body) for body in bodies(connection)] == [150_000, 3]
        assert self.closing_positions(connection) == [1]
        assert connection.transport.disconnecting


class TestAbandonedRequests:
    """What the log says of requests that end before they are answered."""

    def test_reason_tells_the_client_from_the_instance(self, caplog):
        """Each of them was logged as a request whose client had left."""
        caplog.set_level("INFO", "carobhook")
        bench = Bench()
        left, aborted = bench.connect(), bench.connect()
        for connection in (left, aborted):
            connection.dataReceived(get("/1") + get("/2"))
        bench.started[1].answer(b"two")
        left.connectionLost()
        bench.listener.abort()
        aborted.connectionLost()
        told = [
            (fields["reason"].value, fields["requests"], fields["ready"])
            for fields in (
                record.fields
                for record in caplog.records
                if record.event == "requests-abandoned"
            )
        ]
        assert told == [("client-left", 2, 1), ("instance-ends", 2, 0)]


class TestBoundsOnBodies:
    """Memory for request bodies."""

    def test_body_that_the_client_may_not_hold_is_refused_before_it_is_read(self):
        """One client could use up the memory for all."""
        bench = Bench()
        one, other = bench.connect(), bench.connect()
        one.dataReceived(post("/1", b"x" * 40_000))
        other.dataReceived(post("/2", b"x" * 40_000, "Expect: 100-continue")[:200])
        assert other.transport.value().startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in other.transport.value()
        assert bench.refused == [client_memory.Bound.CLIENT]
        bench.connect("10.0.0.2").dataReceived(post("/3", b"x" * 40_000))
        assert bench.targets() == ["/1", "/3"]

    def test_half_read_bodies_do_not_fill_the_memory_together(self):
        """Bodies of which none becomes complete kept each other from becoming complete."""
        bench = Bench()
        for number in range(3):
            head = post(f"/{number}", b"x" * 40_000)[:200]
            bench.connect(f"10.0.0.{number}").dataReceived(head)
        assert bench.memory.held_bytes == 80_000
        assert bench.refused == [client_memory.Bound.PROCESS]

    def test_interim_response_follows_the_reservation(self):
        """The client would send a body that is then refused."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(post("/1", b"x" * 70_000, "Expect: 100-continue")[:100])
        assert b"100 Continue" not in connection.transport.value()

    @pytest.mark.parametrize("size", [61_000, 8 * 1024 * 1024 + 1])
    def test_chunked_body_over_a_limit_leaves_the_count_at_zero(self, size):
        """Each one lowered the count by the part that was not reserved."""
        bench = Bench(max_bytes=10**7, max_client_bytes=10**7 if size > 10**6 else 60_000)
        connection = bench.connect()
        head = b"POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.dataReceived(head + b"%x\r\n" % size)
        for _ in range(size // 1000 + 1):
            connection.dataReceived(b"x" * 1000)
        assert connection.transport.value().startswith((b"HTTP/1.1 413 ", b"HTTP/1.1 503 "))
        assert bench.memory.held_bytes == 0

    def test_body_that_does_not_arrive_is_released(self):
        """Its reservation would last until the client leaves."""
        bench = Bench()
        connection = bench.connect()
        connection.dataReceived(post("/1", b"x" * 40_000)[:100])
        bench.clock.advance(30)
        assert connection.transport.value().startswith(b"HTTP/1.1 408 ")
        assert bench.memory.held_bytes == 0


class TestSlowReaders:
    """Clients that do not read their responses."""

    def blocked(self, size=150_000, max_bytes=10**6):
        """Return a connection whose client did not read a response."""
        bench = Bench(max_bytes, max_bytes)
        connection = bench.connect()
        connection.dataReceived(get("/1"))
        bench.started[0].answer(b"x" * size)
        return bench, connection

    def test_no_further_request_is_read(self):
        """Their responses would pile up."""
        bench, connection = self.blocked()
        assert bench.listener.blocked_connections == 1
        assert bench.memory.held_bytes > 150_000
        assert connection.transport.producerState == "paused"
        connection.dataReceived(get("/2"))
        assert bench.targets() == ["/1"]
        while connection.transport.read():
            pass
        assert connection.transport.producerState == "producing"
        assert bench.targets() == ["/1", "/2"]
        assert bench.memory.held_bytes == bench.listener.blocked_connections == 0

    def test_connection_is_closed_without_progress(self):
        """A client that never reads would hold the memory for ever."""
        bench, connection = self.blocked()
        bench.clock.advance(client_responses.STALL_TIMEOUT_S - 1)
        connection.transport.read()
        bench.clock.advance(client_responses.STALL_TIMEOUT_S - 1)
        assert not connection.transport.aborted
        bench.clock.advance(1)
        assert connection.transport.aborted
        assert bench.memory.held_bytes == 0

    def test_closing_connection_whose_client_does_not_read(self):
        """It stayed open until the client ended it."""
        bench, connection = self.blocked()
        bench.listener.close_idle()
        while connection.transport.read():
            pass
        # It may have sent more, which is read first, as it would reset the connection.
        bench.listener.close_idle()
        bench.clock.advance(0.9)
        assert not connection.transport.disconnecting
        bench.clock.advance(0.1)
        bench.listener.close_idle()
        bench.clock.advance(0)
        assert connection.transport.disconnecting
        bench.clock.advance(client_responses.STALL_TIMEOUT_S)
        assert connection.transport.aborted

    def test_many_small_responses(self):
        """They went to the transport without a bound, as no single one was large."""
        bench = Bench(10**6, 10**6)
        connection = bench.connect()
        for number in range(100):
            connection.dataReceived(get(f"/{number}"))
            for active in bench.started[number:]:
                active.answer(b"x" * 10_000)
        assert len(bench.started) < 10
        assert len(connection.transport.value()) < 2 * 64 * 1024

    def test_connection_with_most_unread_bytes_is_closed_at_the_bound(self):
        """Responses are not refused, and would exceed the memory for all."""
        bench = Bench(160_000, 160_000)
        connections = [bench.connect(f"10.0.0.{number}") for number in range(3)]
        for number, connection in enumerate(connections):
            connection.dataReceived(get(f"/{number}"))
            bench.started[number].answer(b"x" * (70_000 + 10_000 * (number == 1)))
        assert [connection.transport.aborted for connection in connections] == [
            False,
            True,
            False,
        ]
        assert bench.memory.held_bytes < 150_000

    def test_one_response_over_the_bound_for_a_client_is_delivered(self):
        """A large response could never be delivered to a client alone."""
        bench = Bench(10**6, 60_000)
        connection = bench.connect()
        connection.dataReceived(get("/1"))
        bench.started[0].answer(b"x" * 150_000)
        while connection.transport.read():
            pass
        assert len(bodies(connection)[0]) == 150_000

    def test_requests_without_a_body_beside_a_response_over_the_bound(self):
        """They were refused for want of memory that they do not need."""
        bench = Bench(10**6, 60_000)
        one, other = bench.connect(), bench.connect()
        one.dataReceived(get("/1"))
        bench.started[0].answer(b"x" * 150_000)
        other.dataReceived(get("/2"))
        assert bench.targets() == ["/1", "/2"]


class TestCountsReturnToZero:
    """What is held, over random sequences of events."""

    @pytest.mark.parametrize("seed", range(60))
    def test_after_each_way_to_end(self, seed):
        """A count that is not released, or is released twice, lasts until a restart."""
        rng = random.Random(seed)
        bench = Bench(rng.choice([100_000, 400_000]), rng.choice([60_000, 200_000]))
        connections = []
        for _ in range(150):
            self.step(rng, bench, connections)
            assert bench.memory.held_bytes >= 0
            assert all(bench.memory.held_for(f"10.0.0.{number}") >= 0 for number in range(3))
        for connection in list(connections):
            connection.connectionLost()
        for active in bench.started:
            active.end()
        assert bench.memory.held_bytes == 0
        assert bench.memory._by_client == bench.memory._responses == {}
        assert bench.memory._clients == {}
        assert bench.clock.getDelayedCalls() == []

    def step(self, rng, bench, connections):
        """Do one random thing."""
        choice = rng.random()
        alive = [c for c in connections if not c.transport.aborted]
        waiting = [a for a in bench.started if a.at_end or not a.is_gone]
        if choice < 0.1 or not alive:
            connections.append(bench.connect(f"10.0.0.{rng.randrange(3)}"))
        elif choice < 0.55:
            rng.choice(alive).dataReceived(self.data(rng))
        elif choice < 0.75 and waiting:
            active = rng.choice(waiting)
            active.respond(http1.Response(200, b"OK", (), b"y" * rng.choice([0, 10, 90_000])))
            if rng.random() < 0.8:
                active.end()
        elif choice < 0.85:
            rng.choice(alive).transport.read()
        elif choice < 0.9:
            bench.clock.advance(rng.choice([0, 0.5, 6, 25]))
        elif choice < 0.95:
            left = rng.choice(connections)
            connections.remove(left)
            left.connectionLost()
        else:
            bench.listener.closes_when_answered = rng.random() < 0.2

    def data(self, rng):
        """Return a request, or a part of one."""
        body = b"x" * rng.choice([0, 5, 30_000])
        chunked = b"Transfer-Encoding: chunked\r\n\r\n" + b"%x\r\n" % 50_000 + b"x" * 50_000
        data = rng.choice(
            [
                get("/a"),
                get("/a") + get("/b"),
                get("/c", f"Content-Length: {len(body)}") + body,
                post("/d", body),
                post("/e", body, "Connection: close"),
                b"POST /f HTTP/1.1\r\nHost: h\r\n" + chunked + b"\r\n0\r\n\r\n",
                b"BAD\r\n\r\n",
            ]
        )
        return data[: rng.randrange(len(data))] if rng.random() < 0.1 else data


class TestRepeatableRequests:
    """Which requests may start behind others."""

    def head(self, method, path, host="shop.example"):
        """Return the head of a request."""
        return http1.RequestHead(method, path.encode(), ((b"Host", host.encode()),))

    def test_route_decides_and_the_method_does_for_calls(self):
        """A GET of a route that runs once must not start behind others."""
        once = routing.Route(
            "once",
            "shop.example",
            "/u/",
            routing.Idempotency.ONCE,
            1.0,
            0.5,
            1,
            (routing.WeightedService(ids.Service("a"), 1.0),),
            1,
            False,
        )
        config = routing.RoutingConfig(1, (once,), {})
        decide = repeatable_requests.is_repeatable
        assert not decide(config, self.head(b"GET", "/u/x?q=1"))
        assert not decide(config, self.head(b"GET", "/unknown"))
        assert decide(config, self.head(b"GET", "/v1/services/a/x"))
        assert not decide(config, self.head(b"POST", "/v1/services/a/x"))
        assert not decide(None, self.head(b"GET", "/v1/services/a/x"))


class TestThroughAnInstance(test_entry.EntryCase):
    """A client that pipelines, on real sockets."""

    async def test_two_slow_requests_take_as_long_as_one(self):
        """The second one waited for the first."""
        self.set_behaviour(work_s=1.0)
        request = b"GET /a/x HTTP/1.1\r\nHost: " + test_entry.HOST.encode() + b"\r\n"
        both = request + b"X-Attempt-Id: 1\r\n\r\n" + request + b"X-Attempt-Id: 2\r\n"
        await self.send_raw(both + b"Connection: close\r\n\r\n", wait_s=0.9)
        assert sorted(self.started_ids) == ["1", "2"]
        await task.deferLater(reactor, 0.6, lambda: None)
