"""Series of faults, drawn from a seed; several may overlap."""

import enum
import random

import attrs


class Fault(enum.Enum):
    """What happens to a deployment; planned work is what operators do on purpose."""

    TERM = "term"
    KILL = "kill"
    KILL_ALL = "kill-all"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_REFUSES = "store-refuses"
    STORE_SILENT = "store-silent"
    STORE_DELAYED = "store-delayed"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    STORE_FORGETS = "store-forgets"
    SERVER_RESETS = "server-resets"
    SERVER_SILENT = "server-silent"
    SERVER_DELAYED = "server-delayed"
    SERVER_SHEDS = "server-sheds"
    SERVER_FAILS = "server-fails"
    SERVER_GARBLES = "server-garbles"
    SERVER_DRAINS = "server-drains"
    CONFIG_CHANGES = "config-changes"


PLANNED = frozenset({Fault.TERM, Fault.RELOAD, Fault.SERVER_DRAINS, Fault.CONFIG_CHANGES})


@attrs.frozen
class Step:
    """One fault of a series.

    Attributes:
        at: Seconds from the start of the load.
        fault: What happens.
        for_s: How long it lasts, where it lasts.
        target: Which instance or server it meets, counted from 0 and taken modulo their number.
    """

    at: float
    fault: Fault
    for_s: float
    target: int

    def __str__(self) -> str:
        """Return the step as one line."""
        return f"{self.at:.1f}s {self.fault.value} target={self.target} for={self.for_s:.1f}s"


def series(seed: int, duration_s: float) -> list[Step]:
    """Return the faults of a seed, in the order of their times.

    One seed in four draws planned work only, under which no request may be cut.

    Args:
        seed: The seed.
        duration_s: Seconds in which faults begin.
    """
    rng = random.Random(seed)
    kinds = sorted(PLANNED if seed % 4 == 0 else Fault, key=lambda fault: fault.value)
    count = rng.randint(2, max(3, int(duration_s / 2)))
    steps = [
        Step(
            round(rng.uniform(0.5, duration_s), 1),
            rng.choice(kinds),
            round(rng.uniform(0.3, 3.0), 1),
            rng.randrange(64),
        )
        for _ in range(count)
    ]
    return sorted(steps, key=lambda step: step.at)
