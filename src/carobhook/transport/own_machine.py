"""What this instance measures of its machine, and what it announces of that to others."""

from collections.abc import Callable, Iterator

from carobhook import entry_settings
from carobhook.coordination import membership, moved_clients
from carobhook.state import members
from carobhook.transport import entry_endpoints, machine_probe

# Traffic in Mbit/s that one processor core can carry.
_MBPS_PER_CORE = 100.0
# Share of the setting ``shift_most`` by which the directory may move clients within two
# seconds. Dispatchers keep to half of theirs meanwhile.
_MOVED_CLIENTS_SHARE = 0.4
# Time within which the clients of a moment look up again, on average. Some keep an answer for
# three times its time to live, and many may have looked up at the same moment.
_LOOKUP_INTERVAL_S = 2 * entry_endpoints.DIRECTORY_TTL_S


def moved_change_per_s(shift_most: float) -> float:
    """Return by how much the share of a region's clients led elsewhere may change in a second.

    Args:
        shift_most: Share of a region's requests that may change region within two seconds.
    """
    return shift_most * _MOVED_CLIENTS_SHARE / _LOOKUP_INTERVAL_S


class OwnMachine:
    """The pace of this instance's machine, its weight, and the share of its clients to move.

    Args:
        settings: Returns the settings in force.
        known_members: Returns the table of known instances.
        seconds: Returns the monotonic time in seconds.
        announce: Called when something is to be announced before the next heartbeat.
    """

    def __init__(
        self,
        settings: Callable[[], entry_settings.EntrySettings],
        known_members: Callable[[], membership.Membership],
        seconds: Callable[[], float],
        announce: Callable[[], object],
    ) -> None:
        self._settings = settings
        self._known_members = known_members
        self._seconds = seconds
        self._moved_clients = moved_clients.MovedClients()
        self._probe = machine_probe.MachineProbe(
            seconds, self._others_work_times, announce, announce
        )

    @property
    def is_slow(self) -> bool:
        """Return whether the machine is much slower than usual."""
        return self._probe.is_slow

    @property
    def slowness(self) -> float:
        """Return how long work takes by comparison with others, as a multiple of the usual."""
        return self._probe.factor

    @property
    def weight(self) -> float:
        """Return the traffic in Mbit/s that the link and the processor cores can carry."""
        capacity = self._settings().capacity
        share = members.SLOW_WEIGHT_SHARE if self.is_slow else 1.0
        return min(capacity.link_mbps, capacity.cores * _MBPS_PER_CORE) * share

    @property
    def work_time_us(self) -> int:
        """Return the time of the measured work to announce, in microseconds; 0 if unknown."""
        return self._probe.work_time_us

    @property
    def moved_share(self) -> float:
        """Return the share of this instance's clients that is led to other regions."""
        return round(self._moved_clients.share, 3)

    def probe(self) -> None:
        """Measure the pace of the machine once."""
        self._probe.probe()

    def move_clients(self, phase: members.Phase, now: float) -> None:
        """Update the share of clients that is led to other regions.

        Args:
            phase: Phase of this instance.
            now: Monotonic time in seconds.
        """
        settings = self._settings()
        region = settings.place.region
        serving = self._known_members().serving(now)
        if phase is not members.Phase.READY:
            self._moved_clients.adopt(moved_clients.region_share(serving, region), now)
            return
        is_needed = self.is_slow and moved_clients.needs_others(serving, region)
        change_per_s = moved_change_per_s(settings.bounds.shift_most)
        self._moved_clients.advance(is_needed, change_per_s, now)

    def _others_work_times(self) -> Iterator[int]:
        """Yield the work times that the other live instances announce, in microseconds."""
        own = self._settings().place.name
        for member in self._known_members().iter_live(self._seconds()):
            if member.name != own:
                yield member.work_time_us
