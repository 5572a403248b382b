"""Ends of backend servers that marks tell of, by the run that the store had told last.

The store may not tell for a while that a server started again. All its ends then belong to one
listed run, and are told apart by a number in their name.
"""

import collections
import re

import attrs

# Limit of memory use; beyond it, the oldest entries are dropped.
_MAX_RUNS = 10_000
# Ends of one listed run that are told apart. Marks quarantine a request long before that.
_MAX_NUMBER = 20
_FURTHER_END = re.compile(r"(.+/[0-9]+)#([0-9]{1,4})")


@attrs.define
class KnownEnds:
    """Ends that are known at this instance, by its own checks or from others.

    An attempt on a connection on which the server was alive after an end belongs to a later
    run than that end, whatever the store tells.
    """

    # Monotonic times in seconds by which the ends of a listed run had happened, by number.
    _ends: collections.OrderedDict[str, dict[int, float]] = attrs.field(
        factory=collections.OrderedDict, init=False
    )

    def number_of(self, run_name: str, alive_at: float) -> int:
        """Return the number of the end that follows a time, from 1.

        Args:
            run_name: Name of the listed run.
            alive_at: Monotonic time in seconds at or after which the server was alive.
        """
        ends = self._ends.get(run_name, {})
        earlier = [number for number, ended_at in ends.items() if ended_at < alive_at]
        return min(max(earlier, default=0) + 1, _MAX_NUMBER)

    def record(self, end_name: str, now: float) -> None:
        """Record an end of which a mark tells.

        Args:
            end_name: Name of the end; see `name_of_end`.
            now: Monotonic time in seconds by which it had happened.
        """
        match = _FURTHER_END.fullmatch(end_name)
        run_name, number = (match[1], int(match[2])) if match else (end_name, 1)
        self._ends.setdefault(run_name, {}).setdefault(min(number, _MAX_NUMBER), now)
        if len(self._ends) > _MAX_RUNS:
            self._ends.popitem(last=False)


def name_of_end(run_name: str, number: int) -> str:
    """Return the name of an end of a listed run, the same at all instances.

    Args:
        run_name: Name of the listed run.
        number: Number of the end, from 1.
    """
    return run_name if number == 1 else f"{run_name}#{number}"
