"""Exchange of membership between instances through the relays of their regions.

Load pattern: a fleet of many machines, some with links of a few Mbit/s, whose instances must
know within about two seconds which others are live. For this purpose, an instance that is no
relay sends heartbeats only to the relays of its region. Relays report the instances of their
region to the relays of other regions, and all live instances to their own region. An update
holds only the changes since the previous one. What several instances report of one arrives in
any order, also after its restart, so that an earlier state never replaces a later one.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from carobhook.coordination import membership
from carobhook.protocol import membership_messages
from carobhook.state import ids, members

# Dead instances stay in the list of peers to connect to this long. After a longer network
# partition, the two sides no longer have each other's addresses and may not reconnect.
_RECENT_LIFETIME_S = 120.0
# An instance that has met no other since its start looks for them for this long, in which its
# settings come to name instances that are up.
_SEARCH_S = 10.0
# Share of each limit that it may use meanwhile: others may have started alone as well.
_SEARCHING_SHARE = 0.1
# Streams that the exchange of membership does not need are closed this long after their last
# use.
_STREAM_IDLE_TIMEOUT_S = 10.0


@attrs.define
class MembershipSync:
    """Membership as one instance knows it; applies updates of others and builds its own.

    It distinguishes instances whose heartbeats arrive here from those known only from updates,
    and chooses the instances to keep streams to.

    Attributes:
        own: Name of this instance.
        region: Region of this instance.
        table: Instances known by their own heartbeats or from a relay's updates.
    """

    own: ids.InstanceId
    region: ids.Region
    table: membership.Membership
    _direct_heartbeat_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    _recently_live: dict[ids.InstanceId, tuple[members.Member, float]] = attrs.field(
        factory=dict, init=False
    )
    _stream_used_at: dict[ids.InstanceId, float] = attrs.field(factory=dict, init=False)
    # Time until which this instance looks for others, or -inf once it has met one.
    _search_until: float = attrs.field(default=-math.inf, init=False)
    _sent_members: dict[ids.InstanceId, dict[ids.InstanceId, members.Member]] = attrs.field(
        factory=dict, init=False
    )
    _received_members: dict[ids.InstanceId, dict[ids.InstanceId, members.Member]] = attrs.field(
        factory=dict, init=False
    )

    def begin_search(self, now: float) -> None:
        """Record that this instance starts, and that there should be others.

        Args:
            now: Monotonic time in seconds.
        """
        self._search_until = now + _SEARCH_S

    def limit_share(self, region: ids.Region, now: float) -> float:
        """Return the share of each limit that this instance may use as a dispatcher.

        Load pattern: instances start while those that their settings name are down. Each of
        them knows no other, so that it dispatches for all regions; with the whole of each
        limit, they would send a server several times what it may get.

        Args:
            region: Region of the servers.
            now: Monotonic time in seconds.
        """
        if now < self._search_until:
            return _SEARCHING_SHARE
        return self.visible_share(region, now)

    def quota_share(self, now: float) -> float:
        """Return the share of the accounts' quotas that the instances known here may use.

        Args:
            now: Monotonic time in seconds.
        """
        if now < self._search_until:
            return _SEARCHING_SHARE
        return self.visible_share(None, now)

    def record_heartbeat(self, member: members.Member, now: float) -> None:
        """Record a heartbeat that came from the instance itself.

        One of a former run that is read late is ignored while the present run is heard.
        """
        known = self.table.get(member.name)
        is_heard = self.has_direct_heartbeat(member.name, now)
        if known is not None and is_heard and known.is_later_run(member):
            return
        self._direct_heartbeat_at[member.name] = now
        self._record(member, now)

    def apply_update(
        self, sender: ids.InstanceId, message: membership_messages.RosterUpdate, now: float
    ) -> list[ids.InstanceId]:
        """Apply an update of another instance and return the instances that it removed.

        Every update, even an empty one, confirms that all instances that the sender listed
        before and has not removed are still live. Instances whose heartbeats arrive here are
        not changed, because heartbeats take precedence over updates.

        Args:
            sender: Instance that sent the update: a relay, or the other end of a new stream.
            message: The update.
            now: Monotonic time in seconds.
        """
        if message.is_whole:
            self._received_members.pop(sender, None)
        received = self._received_members.setdefault(sender, {})
        changed = {member.name: member for member in message.members}
        received.update(changed)
        removed = []
        for name in message.lost:
            if self._is_removable(name, received.pop(name, None), now):
                removed.append(name)
                self.remove(name, now)
        for name, member in received.items():
            if name == self.own or self.has_direct_heartbeat(name, now):
                continue
            known = self.table.get(name)
            if known is None or _replaces(member, known, name in changed):
                self._record(member, now)
            elif not known.is_later_run(member):
                self.table.refresh(name, now)
        return removed

    def _is_removable(
        self, name: ids.InstanceId, listed: members.Member | None, now: float
    ) -> bool:
        """Return whether to remove an instance that an update lists as lost.

        It must be known, and known only from updates: heartbeats that arrive here take
        precedence. The loss of a former run says nothing of the present one.

        Args:
            name: The instance.
            listed: Its state in the earlier updates of the sender, None if there was none.
            now: Monotonic time in seconds.
        """
        if name == self.own or self.has_direct_heartbeat(name, now):
            return False
        known = self.table.get(name)
        return known is not None and (listed is None or not known.is_later_run(listed))

    def remove(self, name: ids.InstanceId, now: float) -> None:
        """Remove an instance, but keep its address so that streams to it are opened again.

        Args:
            name: The instance.
            now: Monotonic time in seconds.
        """
        member = self.table.get(name)
        if member is not None:
            self._recently_live[name] = (member, now)
        self.table.remove(name)
        self._direct_heartbeat_at.pop(name, None)
        self._sent_members.pop(name, None)
        self._received_members.pop(name, None)

    def record_stream_closing(self, name: ids.InstanceId) -> None:
        """Record that an instance closes its stream, and is now known only from updates.

        Without this, the end of the stream would be taken for a failure of the instance.
        """
        self._direct_heartbeat_at.pop(name, None)

    def reset_updates(self, name: ids.InstanceId) -> None:
        """Make the next update to an instance a full one, because it has a new stream.

        The instance may not have what was sent on earlier streams.
        """
        self._sent_members.pop(name, None)

    def record_stream_use(self, name: ids.InstanceId, now: float) -> None:
        """Record that the stream to an instance was used, which keeps it open for a while."""
        self._stream_used_at[name] = now

    def has_direct_heartbeat(self, name: ids.InstanceId, now: float) -> bool:
        """Return whether an instance is live according to heartbeats that arrived here."""
        at = self._direct_heartbeat_at.get(name)
        return at is not None and now - at <= self.table.dead_after_s

    def is_relay(self, now: float) -> bool:
        """Return whether this instance is a relay of its region."""
        return self.own in self._relay_names(self.table.live(now), self.region)

    def visible_share(self, region: ids.Region | None, now: float) -> float:
        """Return the fraction of a region's recently known instances that are live.

        Instances that were leaving when they were last seen do not count as missing. If no
        instance of the region is live, an instance of another region may dispatch for it. That
        instance counts as the only live one, in addition to the known ones.

        Args:
            region: The region, or None for all regions.
            now: Monotonic time in seconds.
        """
        live = sum(region in (None, member.region) for member in self.table.live(now))
        known = sum(
            region in (None, member.region)
            and (
                member.phase is not members.Phase.LEAVING
                or self.table.get(member.name) is not None
            )
            for member in self._recent_members(now)
        )
        if not live:
            return 1 / (known + 1)
        return live / max(live, known)

    def stream_addresses(self, now: float) -> list[str]:
        """Return the peer addresses to which this instance keeps streams, sorted.

        An instance that is no relay keeps streams to the relays of its region; a relay, to the
        relays of all regions and to every instance of its own. Streams that were used recently
        are kept as well.

        Args:
            now: Monotonic time in seconds.
        """
        known = self._recent_members(now)
        selected: dict[ids.InstanceId, members.Member] = {}
        regions = {member.region for member in known}
        as_relay = self.is_relay(now)
        for region in regions if as_relay else {self.region}:
            # Dead relays are included beside their successors. Otherwise, regions that were
            # separated by a network partition would not reconnect after it.
            for candidates in (self.table.live(now), known):
                selected.update((m.name, m) for m in membership.relays(candidates, region))
        if as_relay:
            selected.update((m.name, m) for m in known if m.region == self.region)
        for member in known:
            if (
                now - self._stream_used_at.get(member.name, -_STREAM_IDLE_TIMEOUT_S)
                < _STREAM_IDLE_TIMEOUT_S
            ):
                selected[member.name] = member
        selected.pop(self.own, None)
        return sorted(member.peers for member in selected.values())

    def next_updates(
        self, now: float
    ) -> Mapping[ids.InstanceId, membership_messages.RosterUpdate]:
        """Return the updates that this instance now sends as a relay, by receiver.

        The result is empty if it is no relay. The caller must send the updates, as later ones
        hold only the changes since these.

        Args:
            now: Monotonic time in seconds.
        """
        live = self.table.live(now)
        own_relays = self._relay_names(live, self.region)
        if self.own not in own_relays:
            return {}
        direct = [
            m for m in live if m.region == self.region and self._is_known_directly(m, now)
        ]
        updates: dict[ids.InstanceId, membership_messages.RosterUpdate] = {}
        for member in live:
            if member.region == self.region and member.name not in own_relays:
                updates[member.name] = self._build_update(member.name, live)
        for region in {member.region for member in live} - {self.region}:
            for name in self._relay_names(live, region):
                # Relays of other regions get only the instances whose heartbeats arrive here.
                # If relays forwarded each other's updates, these would circulate without end.
                updates[name] = self._build_update(name, direct)
        return updates

    def _is_known_directly(self, member: members.Member, now: float) -> bool:
        return member.name == self.own or self.has_direct_heartbeat(member.name, now)

    def _build_update(
        self, receiver: ids.InstanceId, live: Iterable[members.Member]
    ) -> membership_messages.RosterUpdate:
        """Return the changes since the last update to an instance, and record them as sent."""
        is_whole = receiver not in self._sent_members
        sent = self._sent_members.setdefault(receiver, {})
        others = {member.name: member for member in live if member.name != receiver}
        # The table keeps the object of an unchanged member, so most need no comparison.
        changed = tuple(
            member
            for name, member in others.items()
            if sent.get(name) is not member and sent.get(name) != member
        )
        removed = tuple(sent.keys() - others.keys())
        for name in removed:
            del sent[name]
        sent.update((member.name, member) for member in changed)
        return membership_messages.RosterUpdate(changed, removed, is_whole)

    def _record(self, member: members.Member, now: float) -> None:
        if member.name != self.own:
            self._search_until = -math.inf
        self.table.record_heartbeat(member, now)
        self._recently_live[member.name] = (member, now)

    def _recent_members(self, now: float) -> list[members.Member]:
        """Return the instances that are live or were within the last `_RECENT_LIFETIME_S`."""
        for member in self.table.live(now):
            self._recently_live[member.name] = (member, now)
        for name in [
            n for n, (_, at) in self._recently_live.items() if now - at > _RECENT_LIFETIME_S
        ]:
            del self._recently_live[name]
        return [member for member, _ in self._recently_live.values()]

    def _relay_names(
        self, known: Iterable[members.Member], region: ids.Region
    ) -> list[ids.InstanceId]:
        return [member.name for member in membership.relays(known, region)]


def _replaces(reported: members.Member, known: members.Member, is_changed: bool) -> bool:
    """Return whether a reported state of an instance replaces the known one.

    Builds before protocol version 9 do not say when an instance entered a state. Of these, the
    latest report counts.

    Args:
        reported: State in the updates of another instance.
        known: State that this instance knows.
        is_changed: Whether the state is part of the present update.
    """
    if reported.is_order_known(known):
        return reported.changed_ms > known.changed_ms
    return is_changed
