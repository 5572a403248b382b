"""Waits of instances that follow the store, as shares of the time that a change may take.

A change passes through several waits in a row: a watch call whose answer is lost, the delay
before the next call, the time for which a feed is relied on. Each wait alone looks short, and
only their sum decides whether the change is in force in time. So all of them are derived from
the one bound that the deployment names.
"""

import attrs

from carobhook.coordination import backoff, object_watch

# The waits add up to less than a bound only if it leaves time for the calls themselves; a lower
# one is treated like this one.
MIN_BOUND_S = 2.0

# Shares of the bound of a kind of object.
_WAIT_SHARE = 0.4
_MARGIN_SHARE = 0.18
_FIRST_WAIT_SHARE = 0.1
_FIRST_DELAY_SHARE = 0.04
_MAX_DELAY_SHARE = 0.35
_LOST_DELAY_SHARE = 2.0
_MAX_AGE_SHARE = 0.8
_BATCH_DELAY_SHARE = 0.08

# Shares of the shortest bound.
_PROBE_SHARE = 0.2
_PROGRESS_SHARE = 0.12
_PROGRESS_LIFETIME_SHARE = 0.4
_ANSWER_LIFETIME_SHARE = 0.44
_NEWER_WAIT_SHARE = 0.1
_MARKS_WAIT_SHARE = 0.6


def _share(bound_s: float, share: float) -> float:
    return max(bound_s, MIN_BOUND_S) * share


@attrs.frozen
class KindTimes:
    """Waits for changes of one kind of object.

    Attributes:
        bound_s: Seconds within which a change must be in force.
        max_age_s: Seconds since the last confirmation for which an instance counts as up to
            date, and others may follow it.
        watch: Waits of the watch.
    """

    bound_s: float
    max_age_s: float
    watch: object_watch.WatchOptions

    @classmethod
    def within(cls, bound_s: float) -> "KindTimes":
        """Return the waits for changes that must be in force within some seconds."""
        return cls(
            bound_s=_share(bound_s, 1.0),
            max_age_s=_share(bound_s, _MAX_AGE_SHARE),
            watch=object_watch.WatchOptions(
                wait_s=_share(bound_s, _WAIT_SHARE),
                margin_s=_share(bound_s, _MARGIN_SHARE),
                first_wait_s=_share(bound_s, _FIRST_WAIT_SHARE),
                delays=backoff.Backoff(
                    first_s=_share(bound_s, _FIRST_DELAY_SHARE),
                    cap_s=_share(bound_s, _MAX_DELAY_SHARE),
                ),
                lost_delay_s=_share(bound_s, _LOST_DELAY_SHARE),
                batch_delay_s=_share(bound_s, _BATCH_DELAY_SHARE),
            ),
        )


@attrs.frozen
class SourceTimes:
    """Waits of an instance's probes, and of the feed between instances.

    Attributes:
        probe_interval_s: Seconds without an answer after which the store is probed.
        probe_timeout_s: Seconds that a probe may take.
        progress_interval_s: Seconds between two queries for progress.
        progress_lifetime_s: Seconds after such a query for which a feed is relied on.
        answer_lifetime_s: Seconds after an answer for which the store counts as answering.
        newer_wait_s: Seconds for which others apply a newer version before one is asked for it.
        marks_wait_s: Seconds without word of an instance that watches marks until this one does
            so.
    """

    probe_interval_s: float
    probe_timeout_s: float
    progress_interval_s: float
    progress_lifetime_s: float
    answer_lifetime_s: float
    newer_wait_s: float
    marks_wait_s: float

    @classmethod
    def within(cls, bound_s: float) -> "SourceTimes":
        """Return the waits, if the shortest bound of any kind is some seconds."""
        return cls(
            probe_interval_s=_share(bound_s, _PROBE_SHARE),
            probe_timeout_s=_share(bound_s, _PROBE_SHARE),
            progress_interval_s=_share(bound_s, _PROGRESS_SHARE),
            progress_lifetime_s=_share(bound_s, _PROGRESS_LIFETIME_SHARE),
            answer_lifetime_s=_share(bound_s, _ANSWER_LIFETIME_SHARE),
            newer_wait_s=_share(bound_s, _NEWER_WAIT_SHARE),
            marks_wait_s=_share(bound_s, _MARKS_WAIT_SHARE),
        )
