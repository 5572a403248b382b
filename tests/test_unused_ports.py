"""Two processes found the same port before either of them used it."""

import subprocess
import sys

from carobhook.standins import unused_ports

FIND = (
    "from carobhook.standins import unused_ports\n"
    "unused_ports._PORTS = range(20_000, 20_060)\n"
    "print(*unused_ports.find('127.0.0.1', 20), flush=True)\n"
    "input()\n"
)


class TestReservation:
    """Ports that a process has found and does not use yet."""

    def test_processes_find_different_ports(self):
        """Two processes share 60 ports, and each finds 20."""
        processes = [
            subprocess.Popen(
                [sys.executable, "-c", FIND],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                text=True,
                env={"PYTHONPATH": ":".join(sys.path)},
            )
            for _ in range(2)
        ]
        found = [process.stdout.readline().split() for process in processes]
        for process in processes:
            process.communicate("\n")
        assert [len(ports) for ports in found] == [20, 20]
        assert not set(found[0]) & set(found[1])

    def test_reservations_are_bounded(self):
        """A test run that starts many instances does not use up the descriptors."""
        for _ in range(60):
            assert len(unused_ports.find("127.0.0.1", 6)) == 6
        assert len(unused_ports._reserved) <= 256
