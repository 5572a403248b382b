"""A real instance whose standard output nobody reads: no request waits for its log."""

import os
import pathlib
import subprocess
import sys

from twisted.internet import defer, reactor, task
from twisted.trial import unittest

from carobhook.protocol import http1
from carobhook.soak import deployment
from carobhook.transport import server_connections

_RATE = 150.0
# Each leaves a line of a kilobyte, which fill the pipe and the instance's buffer.
_REQUESTS = 1500
_SLACK_S = 0.05


class UnreadDeployment(deployment.Deployment):
    """A deployment whose first instance writes into a pipe that is never read."""

    def start_instance(self, index):
        """Start the process."""
        if index:
            super().start_instance(index)
            return
        self.output, write = os.pipe()
        self._processes[index] = subprocess.Popen(
            [sys.executable, "-m", "carobhook.entry"],
            stdout=write,
            stderr=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(sys.path),
                "CAROBHOOK_SETTINGS": str(self._directory / f"i{index}.toml"),
            },
        )
        os.close(write)

    async def wait_until_ready(self, index):
        """Wait until the platform would count it as ready."""
        connections = server_connections.ServerConnections(reactor, 1.0)
        address = f"127.0.0.1:{self._instance_ports[index]['readiness']}"
        head = http1.RequestHead(b"GET", b"/-/readiness", ((b"Host", b"x"),))
        for _ in range(100):
            try:
                received = await connections.exchange(address, head, b"", require_fresh=True)
                if received.response.status == 200:
                    break
            except server_connections.ExchangeError:
                pass
            await task.deferLater(reactor, 0.1)
        connections.stop()


class TestStuckReader(unittest.TestCase):
    """Lines are left out; requests are not."""

    timeout = 90

    async def test_no_request_waits_for_the_reader(self):
        """Beside an instance whose output is read, it answers all, and as fast."""
        directory = pathlib.Path(self.mktemp())
        directory.mkdir(parents=True)
        one = UnreadDeployment(reactor, directory, 2, 6)
        try:
            await one.start()
            calls = [self.call(one, number % 2, number) for number in range(_REQUESTS)]
            taken = await defer.gatherResults(calls)
            omitted = await self.omitted(one)
        finally:
            os.close(one.output)
            await one.stop()
        unread, read = sorted(taken[::2]), sorted(taken[1::2])
        place = int(0.95 * len(unread))
        assert omitted > 0
        assert unread[place] <= 1.5 * read[place] + _SLACK_S, (unread[place], read[place])

    async def omitted(self, one):
        """Return how many lines the instance that nobody reads has left out."""
        connections = server_connections.ServerConnections(reactor, 1.0)
        address = f"127.0.0.1:{one._instance_ports[0]['metrics']}"
        head = http1.RequestHead(b"GET", b"/metrics", ((b"Host", b"x"),))
        received = await connections.exchange(address, head, b"", require_fresh=True)
        connections.stop()
        lines = received.response.body.decode().splitlines()
        found = [line for line in lines if line.startswith("carobhook_log_lines_omitted ")]
        return float(found[0].split()[1])

    def call(self, one, index, number):
        """Send a request in its turn; fires with the seconds until its answer."""
        return defer.ensureDeferred(self._call(one, index, number))

    async def _call(self, one, index, number):
        await task.deferLater(reactor, number / _RATE)
        connections = server_connections.ServerConnections(reactor, 5.0)
        address = f"127.0.0.1:{one._instance_ports[index]['http']}"
        path = f"/nowhere-{'x' * 900}/{number}".encode()
        headers = ((b"Host", b"demo.example"), (b"X-Attempt-Id", str(number).encode()))
        began_at = reactor.seconds()
        received = await connections.exchange(
            address, http1.RequestHead(b"GET", path, headers), b"", require_fresh=True
        )
        connections.stop()
        assert received.response.status == 404
        return reactor.seconds() - began_at
