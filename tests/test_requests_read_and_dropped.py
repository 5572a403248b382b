"""A connection that was ending took whole requests, and its client was not told (issue 69)."""

import test_client_connections

get = test_client_connections.get


class TestLogOfDroppedBytes:
    """What was dropped left neither a line nor a count."""

    def test_bytes_behind_a_last_response_are_counted(self, caplog):
        """The line tells how many there were, and for how long the connection was ending."""
        caplog.set_level("INFO", "carobhook")
        bench = test_client_connections.Bench()
        counted = []
        bench.listener.on_dropped = lambda: counted.append(True)
        connection = bench.connect()
        connection.dataReceived(get("/1") + get("/2", "Content-Length: 9") + b"x" * 4)
        bench.listener.closes_when_answered = True
        bench.started[0].answer(b"one")
        connection.dataReceived(b"x" * 5 + get("/3"))
        bench.clock.advance(0.4)
        connection.connectionLost()
        [record] = [r for r in caplog.records if r.event == "client-bytes-dropped"]
        size = len(get("/2", "Content-Length: 9") + b"x" * 9 + get("/3"))
        assert (record.fields["bytes"], record.fields["lasted_ms"]) == (size, 400.0)
        assert counted == [True]

    def test_connection_without_more_leaves_no_line(self, caplog):
        """Each of a client's connections would leave one otherwise."""
        caplog.set_level("INFO", "carobhook")
        bench = test_client_connections.Bench()
        connection = bench.connect()
        connection.dataReceived(get("/1"))
        bench.started[0].answer(b"one")
        connection.connectionLost()
        assert not [r for r in caplog.records if r.event == "client-bytes-dropped"]
