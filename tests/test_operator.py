"""Tests of carobhook.cli.operator against a scripted operator port."""

import json

from twisted.internet import protocol, reactor
from twisted.trial import unittest

from carobhook.cli import operator
from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connections


class ScriptedPort:
    """Answers orders by script; a None in the script cuts the connection."""

    def __init__(self, script):
        self.script = list(script)
        self.seen = []
        self.listener = client_connections.ClientListener(
            reactor, self.handle, routing.ClientLimits, 16, 1024 * 1024
        )

    def handle(self, inbound, answer):
        """Answer with the next entry of the script, or how far a version is in force."""
        if inbound.head.method == b"GET":
            version = int(inbound.head.target.rpartition(b"/")[2])
            state = {
                "version": version,
                "in_force": 1,
                "total": 2,
                "missing": ["b"],
                "seconds": 1.5,
            }
            answer(http1.Response(200, b"OK", (), json.dumps(state).encode()))
            return
        self.seen.append((inbound.head.get("authorization"), json.loads(inbound.body)))
        given = self.script.pop(0)
        if given is None:
            self.listener.abort()
        else:
            answer(http1.Response(200, b"OK", (), given))


class OperatorCase(unittest.TestCase):
    """Base of cases with one scripted port."""

    def connect(self, *script):
        """Start a port with a script and return a client of it."""
        self.scripted = ScriptedPort(script)
        port = reactor.listenTCP(0, self.scripted.listener, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.addCleanup(self.scripted.listener.abort)
        return operator.HttpOperator(reactor, f"127.0.0.1:{port.getHost().port}", "secret")


class TestSend(OperatorCase):
    """Orders."""

    async def test_order_carries_token_and_id(self):
        """The token goes into the header, and id and text into the body."""
        client = self.connect(b'{"code": 2002, "text": "", "columns": ["a"], "rows": [[1]]}')
        order = operator.Order("show regions")

        answer = await client.send(order)

        assert answer == operator.Answer(2002, "", None, ["a"], [[1]])
        expected = {"id": order.id, "text": "show regions"}
        assert self.scripted.seen == [("Bearer secret", expected)]

    async def test_order_whose_answer_is_lost_is_sent_again_with_its_id(self):
        """A repeat is the same order."""
        client = self.connect(None, b'{"code": 2001, "text": "", "version": 3}')

        answer = await client.send(operator.Order("shift"))

        assert answer.version == 3
        ids = [body["id"] for _token, body in self.scripted.seen]
        assert len(ids) == 2 and len(set(ids)) == 1

    async def test_answer_of_something_else_is_told_apart(self):
        """A body that is no answer to an order is reported as such."""
        client = self.connect(b"<html>hello</html>")

        with self.assertRaises(operator.UnexpectedAnswerError):
            await client.send(operator.Order("show regions"))

    async def test_no_daemon_is_reported_with_its_address(self):
        """A closed port gives the address and the reason."""
        closed = reactor.listenTCP(0, protocol.Factory(), interface="127.0.0.1")
        address = f"127.0.0.1:{closed.getHost().port}"
        await closed.stopListening()
        client = operator.HttpOperator(reactor, address, "secret")

        with self.assertRaises(operator.UnreachableError) as caught:
            await client.send(operator.Order("show regions"))
        assert str(caught.exception) == f"no daemon answers at {address}: connection refused"


class TestProgress(OperatorCase):
    """How far a version has come."""

    async def test_progress_is_typed(self):
        """The answer's fields are read."""
        client = self.connect()

        progress = await client.progress(7)

        assert progress == operator.Progress(7, 1, 2, ["b"], 1.5)
        assert not progress.complete
