"""Tells how many of a region's look-ups the directory answers with instances of other regions.

Load pattern: clients follow the directory's answers within seconds. A change of these answers
moves a region's requests, whichever decision caused it, and shows in no dispatcher.
"""

from collections.abc import Sequence

import attrs

from carobhook.state import ids, members

# Look-ups are counted over this long before their share is compared.
_WINDOW_S = 1.0
# A share that differs by this much from the one reported last is reported.
_REPORTED_CHANGE = 0.1
# A share above zero is reported again after this long, as older log lines may be gone.
_REPEAT_S = 10.0


@attrs.frozen
class ShareReport:
    """Share of the addresses in a region's look-ups that are of other regions.

    Attributes:
        region: Region of the clients.
        share: The share, from 0 to 1.
        previous: The share that was reported last.
        lookups: Number of look-ups that were counted.
    """

    region: ids.Region
    share: float
    previous: float
    lookups: int


@attrs.define
class _RegionCounts:
    """Counts of one region since the beginning of a window."""

    began_at: float
    lookups: int = 0
    addresses: int = 0
    elsewhere: int = 0
    reported: float = 0.0
    reported_at: float = 0.0


@attrs.define
class LookupShares:
    """Counts the addresses in the answers of one directory, by the clients' region."""

    _counts: dict[ids.Region, _RegionCounts] = attrs.field(factory=dict, init=False)

    def record(
        self, region: ids.Region, chosen: Sequence[members.Member], now: float
    ) -> ShareReport | None:
        """Record one answer; return a report if the share has changed or is to be repeated.

        Args:
            region: Region of the client. The caller passes known regions only, as the counts of
                each are kept.
            chosen: Instances whose addresses the client gets.
            now: Monotonic time in seconds.
        """
        counts = self._counts.setdefault(region, _RegionCounts(now))
        report = None
        if now - counts.began_at >= _WINDOW_S:
            report = self._end_window(region, counts, now)
        counts.lookups += 1
        counts.addresses += len(chosen)
        counts.elsewhere += sum(member.region != region for member in chosen)
        return report

    def _end_window(
        self, region: ids.Region, counts: _RegionCounts, now: float
    ) -> ShareReport | None:
        share = counts.elsewhere / counts.addresses if counts.addresses else 0.0
        previous, lookups = counts.reported, counts.lookups
        counts.began_at = now
        counts.lookups = counts.addresses = counts.elsewhere = 0
        is_due = share > 0 and now - counts.reported_at >= _REPEAT_S
        if abs(share - previous) < _REPORTED_CHANGE and not is_due:
            return None
        counts.reported, counts.reported_at = share, now
        return ShareReport(region, share, previous, lookups)
