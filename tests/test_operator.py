"""Tests of carobhook.cli.operator against a scripted operator port."""

import json

from twisted.internet import protocol, reactor
from twisted.trial import unittest

from carobhook.cli import operator
from carobhook.protocol import http1
from carobhook.state import routing
from carobhook.transport import client_connections


class ScriptedPort:
    """Operator port whose responses to orders are given in advance.

    The script has the body of each response; None closes the connection without a response.
    """

    def __init__(self, script):
        self.script = list(script)
        self.received_orders = []
        self.listener = client_connections.ClientListener(
            reactor, self.handle, routing.ClientLimits, 16, 1024 * 1024
        )

    def handle(self, inbound, answer):
        """Answer an order with the next response, and a GET with a fixed progress."""
        if inbound.head.method == b"GET":
            version = int(inbound.head.target.rpartition(b"/")[2])
            progress = {
                "version": version,
                "in_force": 1,
                "total": 2,
                "missing": ["b"],
                "seconds": 1.5,
            }
            answer(http1.Response(200, b"OK", (), json.dumps(progress).encode()))
            return
        self.received_orders.append(
            (inbound.head.get("authorization"), json.loads(inbound.body))
        )
        response_body = self.script.pop(0)
        if response_body is None:
            self.listener.abort()
        else:
            answer(http1.Response(200, b"OK", (), response_body))


class OperatorCase(unittest.TestCase):
    """Base of test cases with one scripted port."""

    def connect(self, *script):
        """Start a port with a script and return a client for it."""
        self.scripted = ScriptedPort(script)
        port = reactor.listenTCP(0, self.scripted.listener, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        self.addCleanup(self.scripted.listener.abort)
        return operator.HttpOperatorClient(
            reactor, f"127.0.0.1:{port.getHost().port}", "secret"
        )


class TestSend(OperatorCase):
    """Sending orders."""

    async def test_order_carries_token_and_id(self):
        """The header contains the token, and the body the id and the text."""
        client = self.connect(b'{"code": 2002, "text": "", "columns": ["a"], "rows": [[1]]}')
        order = operator.Order("show regions")

        answer = await client.send(order)

        assert answer == operator.Answer(2002, "", None, ["a"], [[1]])
        expected = {"id": order.id, "text": "show regions"}
        assert self.scripted.received_orders == [("Bearer secret", expected)]

    async def test_order_without_an_answer_is_repeated_with_its_id(self):
        """Both attempts have the same id, so that the daemon applies the order once."""
        client = self.connect(None, b'{"code": 2001, "text": "", "version": 3}')

        answer = await client.send(operator.Order("shift"))

        assert answer.version == 3
        ids = [body["id"] for _token, body in self.scripted.received_orders]
        assert len(ids) == 2 and len(set(ids)) == 1

    async def test_body_that_is_no_answer_raises(self):
        """A response that no daemon sends raises UnexpectedAnswerError."""
        client = self.connect(b"<html>hello</html>")

        with self.assertRaises(operator.UnexpectedAnswerError):
            await client.send(operator.Order("show regions"))

    async def test_no_daemon_is_reported_with_its_address(self):
        """The error for a closed port contains the address and the reason."""
        closed = reactor.listenTCP(0, protocol.Factory(), interface="127.0.0.1")
        address = f"127.0.0.1:{closed.getHost().port}"
        await closed.stopListening()
        client = operator.HttpOperatorClient(reactor, address, "secret")

        with self.assertRaises(operator.UnreachableError) as caught:
            await client.send(operator.Order("show regions"))
        assert str(caught.exception) == f"no daemon answers at {address}: connection refused"


class TestProgress(OperatorCase):
    """Progress of a version."""

    async def test_progress_is_decoded(self):
        """The fields of the JSON object are decoded into a progress."""
        client = self.connect()

        progress = await client.fetch_progress(7)

        assert progress == operator.Progress(7, 1, 2, ["b"], 1.5)
        assert not progress.complete
