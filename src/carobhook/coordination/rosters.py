"""Decides which streams an instance keeps, and what relays tell of the instances they know.

Load pattern: a fleet of many machines, some with links of a few Mbit/s, whose instances must
know within about two seconds which others live. Each instance tells only the relays of its
region; relays tell each other of their regions, and their region of all, and only what changed.
"""

from collections.abc import Iterable, Mapping

import attrs

from carobhook.coordination import membership
from carobhook.protocol import membership_messages
from carobhook.state import ids, members

# Streams to instances that fell silent are tried again this long, as a cut may heal.
_REMEMBERED_S = 120.0
# Streams beyond those of the relays are kept this long after their last use.
_USED_S = 10.0


@attrs.define
class Roster:
    """What one instance knows of the others, and from whom.

    Attributes:
        own: Name of this instance.
        region: Its region.
        table: Who was heard of, directly or through a relay.
    """

    own: ids.InstanceId
    region: ids.Region
    table: membership.Membership
    _direct_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    _remembered: dict[ids.InstanceId, tuple[members.Member, float]] = attrs.field(
        factory=dict, init=False
    )
    _used_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    _told: dict[ids.InstanceId, dict[ids.InstanceId, members.Member]] = attrs.field(
        factory=dict, init=False
    )
    _heard_from: dict[ids.InstanceId, dict[ids.InstanceId, members.Member]] = attrs.field(
        factory=dict, init=False
    )

    def heard(self, member: members.Member, now: float) -> None:
        """Take in an instance's own heartbeat."""
        self._direct_at[member.name] = now
        self._take(member, now)

    def told(
        self, sender: ids.InstanceId, message: membership_messages.RosterUpdate, now: float
    ) -> list[ids.InstanceId]:
        """Take in what a relay knows; return the instances that are gone by that.

        Args:
            sender: The relay.
            message: What it told.
            now: Monotonic time in seconds.
        """
        if message.is_whole:
            self._heard_from.pop(sender, None)
        held = self._heard_from.setdefault(sender, {})
        news = {member.name: member for member in message.members}
        held.update(news)
        gone = []
        for name in message.lost:
            held.pop(name, None)
            if self._is_lost(name, now):
                gone.append(name)
                self.lost(name, now)
        for name, member in held.items():
            if name == self.own or self.is_direct(name, now):
                continue
            known = self.table.get(name)
            if known is None or name in news:
                self._take(member, now)
            else:
                self.table.touched(name, now)
        return gone

    def _is_lost(self, name: ids.InstanceId, now: float) -> bool:
        """Tell whether an instance that a relay takes for gone is; own hearing goes first."""
        if name == self.own or self.is_direct(name, now):
            return False
        return self.table.get(name) is not None

    def lost(self, name: ids.InstanceId, now: float) -> None:
        """Take note that an instance is gone.

        Args:
            name: The instance.
            now: Monotonic time in seconds.
        """
        member = self.table.get(name)
        if member is not None:
            self._remembered[name] = (member, now)
        self.table.lost(name)
        self._direct_at.pop(name, None)
        self._told.pop(name, None)
        self._heard_from.pop(name, None)

    def unneeded(self, name: ids.InstanceId) -> None:
        """Take note that an instance closes its stream, and will be heard of by relays."""
        self._direct_at.pop(name, None)

    def greeted(self, name: ids.InstanceId) -> None:
        """Take note that a new stream to an instance stands, so that it may know nothing."""
        self._told.pop(name, None)

    def used(self, name: ids.InstanceId, now: float) -> None:
        """Take note that a message was sent to an instance."""
        self._used_at[name] = now

    def is_direct(self, name: ids.InstanceId, now: float) -> bool:
        """Tell whether an instance was heard lately without a relay."""
        at = self._direct_at.get(name)
        return at is not None and now - at <= self.table.dead_after_s

    def is_relay(self, now: float) -> bool:
        """Tell whether this instance is a relay of its region."""
        return self.own in self._relay_names(self.table.live(now), self.region)

    def visible_share(self, region: ids.Region, now: float) -> float:
        """Return the part of a region's instances that is live, of those known lately.

        Instances that said that they leave are not missed. Where none of a region is live, one
        of another region may stand in for all of them, and counts as one more.

        Args:
            region: The region.
            now: Monotonic time in seconds.
        """
        live = sum(member.region == region for member in self.table.live(now))
        known = sum(
            member.region == region
            and (
                member.phase is not members.Phase.LEAVING
                or self.table.get(member.name) is not None
            )
            for member in self._known(now)
        )
        if not live:
            return 1 / (known + 1)
        return live / max(live, known)

    def wanted(self, now: float) -> list[str]:
        """Return the peer addresses to which this instance keeps streams.

        Args:
            now: Monotonic time in seconds.
        """
        known = self._known(now)
        found: dict[ids.InstanceId, members.Member] = {}
        regions = {member.region for member in known}
        relaying = self.is_relay(now)
        for region in regions if relaying else {self.region}:
            # Relays that fell silent are tried beside those that took their place.
            for pool in (self.table.live(now), known):
                found.update((m.name, m) for m in membership.relays(pool, region))
        if relaying:
            found.update((m.name, m) for m in known if m.region == self.region)
        for member in known:
            if now - self._used_at.get(member.name, -_USED_S) < _USED_S:
                found[member.name] = member
        found.pop(self.own, None)
        return sorted(member.peers for member in found.values())

    def reports(self, now: float) -> Mapping[ids.InstanceId, membership_messages.RosterUpdate]:
        """Return what this instance tells others as a relay; nothing if it is none.

        Args:
            now: Monotonic time in seconds.
        """
        live = self.table.live(now)
        own_relays = self._relay_names(live, self.region)
        if self.own not in own_relays:
            return {}
        direct = [m for m in live if m.region == self.region and self._speaks_for(m, now)]
        found: dict[ids.InstanceId, membership_messages.RosterUpdate] = {}
        for member in live:
            if member.region == self.region and member.name not in own_relays:
                found[member.name] = self._report(member.name, live)
        for region in {member.region for member in live} - {self.region}:
            for name in self._relay_names(live, region):
                # Only what this relay hears itself, so that no news goes in circles.
                found[name] = self._report(name, direct)
        return found

    def _speaks_for(self, member: members.Member, now: float) -> bool:
        return member.name == self.own or self.is_direct(member.name, now)

    def _report(
        self, receiver: ids.InstanceId, live: Iterable[members.Member]
    ) -> membership_messages.RosterUpdate:
        """Return what has changed since the last message to an instance."""
        is_whole = receiver not in self._told
        told = self._told.setdefault(receiver, {})
        others = {member.name: member for member in live if member.name != receiver}
        news = tuple(member for name, member in others.items() if told.get(name) != member)
        lost = tuple(name for name in told if name not in others)
        for name in lost:
            del told[name]
        told.update((member.name, member) for member in news)
        return membership_messages.RosterUpdate(news, lost, is_whole)

    def _take(self, member: members.Member, now: float) -> None:
        self.table.heard(member, now)
        self._remembered[member.name] = (member, now)

    def _known(self, now: float) -> list[members.Member]:
        """Return the instances heard of lately or a while ago."""
        for member in self.table.live(now):
            self._remembered[member.name] = (member, now)
        for name in [n for n, (_, at) in self._remembered.items() if now - at > _REMEMBERED_S]:
            del self._remembered[name]
        return [member for member, _ in self._remembered.values()]

    def _relay_names(
        self, known: Iterable[members.Member], region: ids.Region
    ) -> list[ids.InstanceId]:
        return [member.name for member in membership.relays(known, region)]
