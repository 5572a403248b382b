"""Random series of faults, reproducible from a seed; faults may overlap in time."""

import enum
import random

import attrs


class Fault(enum.Enum):
    """Faults that are injected into a deployment, and planned work of its operators."""

    TERM = "term"
    # All instances but one get SIGTERM, one shortly after the other.
    TERM_SERIES = "term-series"
    KILL = "kill"
    KILL_ALL = "kill-all"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_REFUSES = "store-refuses"
    STORE_SILENT = "store-silent"
    STORE_DELAYED = "store-delayed"
    # Calls reach the store, and its responses are dropped.
    STORE_LOSES_ANSWERS = "store-loses-answers"
    # The store drops its event history, so that watches expire.
    STORE_FORGETS = "store-forgets"
    # The store is away for a moment and comes back from an older copy; servers and operators
    # then write again what it has lost.
    STORE_RESTORED = "store-restored"
    # Reads that may be stale are some seconds old, from then on.
    STORE_STALE = "store-stale"
    SERVER_RESETS = "server-resets"
    SERVER_SILENT = "server-silent"
    SERVER_DELAYED = "server-delayed"
    SERVER_SHEDS = "server-sheds"
    SERVER_FAILS = "server-fails"
    # The server sends bytes that are not an HTTP response.
    SERVER_GARBLES = "server-garbles"
    # The server names a limit of requests a second in its answers.
    SERVER_LIMITS = "server-limits"
    SERVER_DRAINS = "server-drains"
    # All servers send their responses a second time, refuse some requests, and take new ids at
    # their addresses.
    SERVER_COPIES = "server-copies"
    # A request ends the servers that run it, and is sent again and again.
    SERVER_ENDS = "server-ends"
    # The same, one at a time, while something hides that the servers have ended.
    SERVER_ENDS_UNTOLD = "server-ends-untold"
    CONFIG_CHANGES = "config-changes"
    # The configuration gets so many routes that it takes time to send and to decode.
    CONFIG_GROWS = "config-grows"
    # An instance is cut from all servers: its connections are silent, or reset and refused.
    PATHS_SILENT = "paths-silent"
    PATHS_RESET = "paths-reset"


# Planned work: what operators do on purpose.
PLANNED = frozenset(
    {
        Fault.TERM,
        Fault.TERM_SERIES,
        Fault.RELOAD,
        Fault.SERVER_DRAINS,
        Fault.CONFIG_CHANGES,
    }
)

# Cuts between an instance and all servers.
PATH_CUTS = frozenset({Fault.PATHS_SILENT, Fault.PATHS_RESET})

# Beside these, callers are served during a cut as well.
HARMLESS_IN_CUTS = frozenset({Fault.RELOAD, Fault.CONFIG_CHANGES}) | PATH_CUTS

# Faults of the store and changes that it has to bring to all instances.
STORE_ONLY = frozenset(
    {
        Fault.STORE_REFUSES,
        Fault.STORE_SILENT,
        Fault.STORE_DELAYED,
        Fault.STORE_LOSES_ANSWERS,
        Fault.STORE_FORGETS,
        Fault.CONFIG_CHANGES,
        Fault.CONFIG_GROWS,
    }
)

# Steps that write a configuration.
CONFIG_WRITES = frozenset({Fault.CONFIG_CHANGES, Fault.CONFIG_GROWS})

# After these, instances may not know the limit that a server has named: they were restarted or
# paused, or its answers did not reach them in time.
EXCUSES_FROM_LIMITS = frozenset(
    {
        Fault.TERM,
        Fault.TERM_SERIES,
        Fault.KILL,
        Fault.KILL_ALL,
        Fault.PAUSE,
        Fault.SERVER_SILENT,
        Fault.SERVER_DELAYED,
        Fault.PATHS_SILENT,
        Fault.PATHS_RESET,
        Fault.SERVER_ENDS,
        Fault.SERVER_ENDS_UNTOLD,
    }
)


# Drawn by no seed, but takes the place of changes in some.
_SUBSTITUTES = frozenset(
    {
        Fault.TERM_SERIES,
        Fault.CONFIG_GROWS,
        Fault.SERVER_COPIES,
        Fault.STORE_STALE,
        Fault.SERVER_ENDS_UNTOLD,
    }
)
# Kinds of faults that a seed draws, by its remainder of a division by eight; others draw all.
_ALLOWED_BY_REMAINDER = {
    0: PLANNED,
    1: HARMLESS_IN_CUTS,
    4: PLANNED,
    5: HARMLESS_IN_CUTS,
    7: STORE_ONLY,
}


# Remainder of a division by eight of the seeds in which servers send copies and change their
# ids, and the faults that these seeds leave out, as they concern a server under its first id.
_COPIES_REMAINDER = 2
_LEFT_OUT_WITH_COPIES = frozenset(
    {
        Fault.SERVER_SHEDS,
        Fault.SERVER_FAILS,
        Fault.SERVER_GARBLES,
        Fault.SERVER_LIMITS,
        Fault.SERVER_DRAINS,
        Fault.SERVER_ENDS,
        Fault.STORE_RESTORED,
    }
)
# Remainder of a division by 16 of the seeds in which the configuration grows, and how often.
_GROWTH_REMAINDER = 7
_GROWTH_COUNT = 2
# Remainder of a division by 16 of the seeds in which instances stop one after another, twice.
_STOPS_REMAINDER = 8
_STOPS_COUNT = 2
# Remainder of a division by 16 of the seeds in which a request ends its servers, the store
# comes back from a copy that is older than that, and then all instances are killed. It takes so
# long until the request has ended three servers, and until what is known of it is in the store
# again.
_FORGOTTEN_REMAINDER = 3
_THREE_ENDS_S = (3.5, 4.5)
_KNOWN_AGAIN_S = (3.0, 4.0)
# Remainder of a division by 16 of the seeds in which a request ends its servers while something
# hides it, the faults that may do so, the shares of the seeds that draw one of each kind, and
# the time for which the request is sent after them.
_UNTOLD_REMAINDER = 13
_HIDING_STORE = (Fault.STORE_REFUSES, Fault.STORE_SILENT, Fault.STORE_DELAYED)
_HIDING_CUTS = (Fault.PATHS_SILENT, Fault.PATHS_RESET)
_STORE_SHARE = 0.5
_PAUSE_SHARE = 0.5
_CUT_SHARE = 0.25
_CUT_LASTS_S = 4.0
_AFTER_HIDING_S = 10.0


@attrs.frozen
class Step:
    """One fault of a series.

    Attributes:
        at_s: Seconds from the start of the load.
        fault: The fault.
        duration_s: Seconds for which the fault lasts, if it is not momentary.
        target: Number that selects the instance or server: its index is the remainder of the
            division by how many there are.
    """

    at_s: float
    fault: Fault
    duration_s: float
    target: int

    def __str__(self) -> str:
        """Return the step as the line that ``carobhook soak`` prints."""
        return (
            f"{self.at_s:.1f}s {self.fault.value} target={self.target} "
            f"for={self.duration_s:.1f}s"
        )


def draw_series(seed: int, duration_s: float) -> list[Step]:
    """Return the faults of a seed, sorted by time.

    Seeds that are multiples of four draw planned work only, during which no request may be
    interrupted. The seed after each of these draws only cuts from servers and what is harmless
    beside them, and each eighth seed, from 7 on, only faults of the store, each with a
    configuration that is written while it lasts or right at its end. In every other one of
    these the configuration grows with the first two writes. In each eighth, from 2 on, servers
    send copies of their responses all the while. Each 16th, from 3 on, lets the instances and
    the store forget a request that ends its servers. In each 16th, from 8 on, instances stop
    one after another. In each 16th, from 13 on, a request ends its servers while something
    hides that.

    Args:
        seed: Seed of the random number generator.
        duration_s: Length in seconds of the period in which faults begin.
    """
    rng = random.Random(seed)
    if seed % 16 == _FORGOTTEN_REMAINDER:
        return _forgotten_marks(rng, duration_s)
    if seed % 16 == _UNTOLD_REMAINDER:
        return _untold_ends(rng, seed // 16)
    allowed = _ALLOWED_BY_REMAINDER.get(seed % 8, frozenset(Fault))
    kinds = sorted(allowed - _SUBSTITUTES, key=lambda fault: fault.value)
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
    if allowed is STORE_ONLY:
        steps += [_config_change_during(step, rng) for step in steps]
    if seed % 8 == _COPIES_REMAINDER:
        steps = _with_copies(steps, duration_s)
    if seed % 16 == _STOPS_REMAINDER:
        steps += _series_of_stops(rng, duration_s)
    steps = sorted(steps, key=lambda step: step.at_s)
    return _with_growth(steps) if seed % 16 == _GROWTH_REMAINDER else steps


def _forgotten_marks(rng: random.Random, duration_s: float) -> list[Step]:
    """Return a series in which what is known of a request that ends its servers is lost."""
    three_ends_s = round(rng.uniform(*_THREE_ENDS_S), 1)
    killed_at_s = round(three_ends_s + rng.uniform(*_KNOWN_AGAIN_S), 1)
    return [
        Step(0.0, Fault.STORE_STALE, 0.0, 0),
        Step(0.3, Fault.STORE_RESTORED, three_ends_s, 0),
        Step(0.5, Fault.SERVER_ENDS, max(duration_s, killed_at_s), 0),
        Step(killed_at_s, Fault.KILL_ALL, 0.0, 0),
    ]


def _untold_ends(rng: random.Random, number: int) -> list[Step]:
    """Return a series in which a request ends its servers, and what may hide that.

    Args:
        rng: Random number generator.
        number: Number that selects how the servers come back.
    """
    hiding = []
    for kinds, share in (
        (_HIDING_STORE, _STORE_SHARE),
        ((Fault.PAUSE,), _PAUSE_SHARE),
        (_HIDING_CUTS, _CUT_SHARE),
    ):
        if rng.random() < share:
            at_s, lasts_s = round(rng.uniform(0.6, 2.0), 1), round(rng.uniform(0.5, 3.0), 1)
            hiding.append(Step(at_s, rng.choice(kinds), lasts_s, rng.randrange(64)))
    over_s = max([1.0, *(step.at_s + step.duration_s for step in hiding)])
    if any(step.fault in PATH_CUTS for step in hiding):
        over_s += _CUT_LASTS_S
    ends = Step(0.5, Fault.SERVER_ENDS_UNTOLD, round(over_s + _AFTER_HIDING_S, 1), number)
    return [ends, *sorted(hiding, key=lambda step: step.at_s)]


def _series_of_stops(rng: random.Random, duration_s: float) -> list[Step]:
    """Return stops of several instances, each series in its part of the time."""
    part_s = duration_s / _STOPS_COUNT
    return [
        Step(
            round(number * part_s + rng.uniform(0.2, part_s), 1),
            Fault.TERM_SERIES,
            round(rng.uniform(0.3, 3.0), 1),
            rng.randrange(64),
        )
        for number in range(_STOPS_COUNT)
    ]


def _with_copies(steps: list[Step], duration_s: float) -> list[Step]:
    """Return a series in which servers send copies from the start on."""
    others = [step for step in steps if step.fault not in _LEFT_OUT_WITH_COPIES]
    return [Step(0.0, Fault.SERVER_COPIES, duration_s, 0), *others]


def _with_growth(steps: list[Step]) -> list[Step]:
    """Return a series in which the first changes of the configuration let it grow."""
    changes = [step for step in steps if step.fault is Fault.CONFIG_CHANGES]
    growing = changes[:_GROWTH_COUNT]
    return [
        attrs.evolve(step, fault=Fault.CONFIG_GROWS) if step in growing else step
        for step in steps
    ]


def _config_change_during(step: Step, rng: random.Random) -> Step:
    """Return a change of the configuration during a fault, at its end in half of all cases."""
    at_s = step.at_s + step.duration_s * min(1.0, rng.uniform(0.0, 2.0))
    return Step(round(at_s, 1), Fault.CONFIG_CHANGES, 0.0, 0)
