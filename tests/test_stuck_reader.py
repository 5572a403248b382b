"""Tests that requests are not delayed while nobody reads an instance's standard output.

The pipe of the output is full after some log lines. An instance that blocked on writing the
next one would serve no requests until somebody reads.
"""

import os
import pathlib
import subprocess
import sys

from twisted.internet import defer, reactor, task
from twisted.trial import unittest

from carobhook.protocol import http1
from carobhook.soak import deployment
from carobhook.transport import exchange_results, server_connections

_REQUESTS_PER_S = 150.0
# The instance with the unread output gets half of the requests. It logs each in a line of about
# a kilobyte; together these lines fill the pipe and the instance's buffer.
_REQUESTS = 1500
_TOLERANCE_S = 0.05


class UnreadDeployment(deployment.Deployment):
    """A deployment whose first instance writes into a pipe that is never read."""

    def start_instance(self, index):
        """Start the process of an instance; the first one writes into the unread pipe."""
        if index:
            super().start_instance(index)
            return
        self.output, write_end = os.pipe()
        self._processes[index] = subprocess.Popen(
            [sys.executable, "-m", "carobhook.entry"],
            stdout=write_end,
            stderr=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
            env={
                **os.environ,
                "PYTHONPATH": os.pathsep.join(sys.path),
                "CAROBHOOK_SETTINGS": str(self._directory / f"i{index}.toml"),
            },
        )
        os.close(write_end)

    async def wait_until_ready(self, index):
        """Wait until an instance answers the readiness probe with 200.

        The wait ends without an error after 100 attempts.
        """
        connections = server_connections.ServerConnections(reactor, 1.0)
        address = f"127.0.0.1:{self._instance_ports[index]['readiness']}"
        head = http1.RequestHead(b"GET", b"/-/readiness", ((b"Host", b"x"),))
        for _ in range(100):
            try:
                received = await connections.exchange(address, head, b"", require_fresh=True)
                if received.response.status == 200:
                    break
            except exchange_results.ExchangeError:
                pass
            await task.deferLater(reactor, 0.1)
        connections.stop()


class TestStuckReader(unittest.TestCase):
    """Log lines that cannot be written are omitted, and every request is answered."""

    timeout = 90

    async def test_unread_output_delays_no_request(self):
        """An instance whose output is not read is about as fast as one whose output is read.

        Both answer all requests. The 95th percentiles of the durations are compared.
        """
        directory = pathlib.Path(self.mktemp())
        directory.mkdir(parents=True)
        instances = UnreadDeployment(reactor, directory, 2, 6)
        try:
            await instances.start()
            calls = [self.call(instances, number % 2, number) for number in range(_REQUESTS)]
            durations = await defer.gatherResults(calls)
            omitted = await self.count_omitted(instances)
        finally:
            os.close(instances.output)
            await instances.stop()
        unread, read = sorted(durations[::2]), sorted(durations[1::2])
        p95_index = int(0.95 * len(unread))
        assert omitted > 0
        assert unread[p95_index] <= 1.5 * read[p95_index] + _TOLERANCE_S, (
            unread[p95_index],
            read[p95_index],
        )

    async def count_omitted(self, instances):
        """Return the number of lines that the instance with the unread output has omitted."""
        connections = server_connections.ServerConnections(reactor, 1.0)
        address = f"127.0.0.1:{instances._instance_ports[0]['metrics']}"
        head = http1.RequestHead(b"GET", b"/metrics", ((b"Host", b"x"),))
        received = await connections.exchange(address, head, b"", require_fresh=True)
        connections.stop()
        lines = received.response.body.decode().splitlines()
        found = [line for line in lines if line.startswith("carobhook_log_lines_omitted ")]
        return float(found[0].split()[1])

    def call(self, instances, index, number):
        """Schedule a request by its number; return a Deferred of the seconds it takes."""
        return defer.ensureDeferred(self._call(instances, index, number))

    async def _call(self, instances, index, number):
        await task.deferLater(reactor, number / _REQUESTS_PER_S)
        connections = server_connections.ServerConnections(reactor, 5.0)
        address = f"127.0.0.1:{instances._instance_ports[index]['http']}"
        path = f"/nowhere-{'x' * 900}/{number}".encode()
        headers = ((b"Host", b"demo.example"), (b"X-Attempt-Id", str(number).encode()))
        began_at = reactor.seconds()
        received = await connections.exchange(
            address, http1.RequestHead(b"GET", path, headers), b"", require_fresh=True
        )
        connections.stop()
        assert received.response.status == 404
        return reactor.seconds() - began_at
