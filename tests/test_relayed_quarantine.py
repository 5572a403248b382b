"""What an instance tells another one for which it relays a quarantined request."""

from twisted.internet import reactor, task

import store_access
import test_cut_instance
from carobhook.coordination import catalog, poison
from carobhook.protocol import http1, slot_messages
from carobhook.transport import client_connections, request_quarantine

HEAD = http1.RequestHead(b"POST", b"/x", ((b"Host", b"h"),))
REQUEST = client_connections.ClientRequest(HEAD, b"body", "10.0.0.1", 0.0)
FATAL = request_quarantine.fingerprint(REQUEST)


def create_quarantine(clock, name):
    """Return the quarantine of an instance."""
    return request_quarantine.RequestQuarantine(
        clock,
        name,
        catalog.Catalog(),
        None,
        request_quarantine.MarkStore(store_access.create_access(clock), clock.seconds),
        lambda message: None,
        lambda reason: None,
    )


class TestMarksOfARequest:
    """Marks that the relaying instance sends along with its refusal."""

    def marked(self, count):
        """Return a quarantine in which one request has some marks, and another all."""
        quarantine = create_quarantine(task.Clock(), "one")
        for number in range(count):
            quarantine.apply_mark(
                slot_messages.RequestMarked(FATAL, f"s{number}/1", "three", 9000)
            )
        for number in range(poison.MARK_LIMIT):
            quarantine.apply_mark(
                slot_messages.RequestMarked(b"other", f"s{number}/1", "three", 9000)
            )
        return quarantine

    def test_request_below_the_limit_has_none_to_send(self):
        """It may be relayed."""
        assert self.marked(poison.MARK_LIMIT - 1).refusal_marks(FATAL) == []

    def test_instance_that_gets_them_refuses_the_request(self):
        """Otherwise it would try one server after another for it."""
        marks = self.marked(poison.MARK_LIMIT).refusal_marks(FATAL)
        assert {message.fingerprint for message in marks} == {FATAL}
        cut = create_quarantine(task.Clock(), "two")
        assert not cut.is_quarantined(REQUEST)
        for message in marks:
            cut.apply_mark(message)
        assert cut.is_quarantined(REQUEST)


class TestCutInstance(test_cut_instance.CutCase):
    """An instance that is cut from all servers has not heard of the marks of a request."""

    async def test_other_instance_does_not_send_the_request(self):
        """It did, as it looked only whether the server may be used."""
        one, two = self.daemons
        quarantine = two._servers.quarantine
        self.cut.begin_reset()
        for number in range(4):
            assert (await self.request(f"/a/{number}")).status == 200
        sent = client_connections.ClientRequest(
            http1.RequestHead(b"GET", b"/a/fatal", ((b"Host", b"shop.example"),)),
            b"",
            "127.0.0.1",
            0.0,
        )
        fatal = request_quarantine.fingerprint(sent)
        for number in range(poison.MARK_LIMIT):
            quarantine._quarantine.record_end(fatal, f"s{number}/1", reactor.seconds())
        before = self.start_count
        responses = [await self.request("/a/fatal") for _ in range(2)]
        assert [response.status for response in responses] == [503, 503]
        assert self.start_count == before
        assert one._servers.quarantine.is_quarantined(sent)
        assert (await self.request("/a/other")).status == 200

    @property
    def start_count(self):
        """Return the number of requests that servers began to run."""
        return sum(len(backend.starts) for backend in self.backends.values())
