"""Store objects that this instance has received, and what they say put into force."""

import json
import time
import typing
from collections.abc import Callable, Iterable

from carobhook import logs
from carobhook.coordination import catalog, confirmations, evacuations, objects, steering
from carobhook.platform import names
from carobhook.platform import objects as platform_objects
from carobhook.protocol import feed_messages
from carobhook.state import ids, orders

_T = typing.TypeVar("_T")
_NO_POSITION = objects.Position(0, 0)


class ReceivedObjects:
    """Objects of each kind, up to which position they are complete, and their effects.

    Args:
        server_catalog: Catalog to update.
        order_steering: Steering that gets the operators' orders.
    """

    def __init__(
        self, server_catalog: catalog.Catalog, order_steering: steering.Steering
    ) -> None:
        self._catalog = server_catalog
        self._orders = order_steering
        self._config_decoder = platform_objects.ConfigDecoder()
        self._objects: dict[str, dict[str, feed_messages.FeedObject]] = {}
        self._positions: dict[str, objects.Position] = {}
        self._evacuations = evacuations.Evacuations()
        # Objects of the versions in force, by kind; the store may hold older ones.
        self._in_force: dict[str, feed_messages.FeedObject] = {}

    @property
    def revisions(self) -> dict[str, int]:
        """Return the revision up to which the objects of each kind were received."""
        return {kind: position.revision for kind, position in self._positions.items()}

    @property
    def orders_item(self) -> feed_messages.FeedObject | None:
        """Return the object of the operators' orders, None if there is none."""
        return self._objects.get(orders.STORE_KIND, {}).get(orders.STORE_NAME)

    @property
    def versions_in_force(self) -> dict[str, int]:
        """Return the version in force of each kind that has versions of its own."""
        config = self._catalog.config
        return {
            names.CONFIG_KIND: config.version if config is not None else 0,
            orders.STORE_KIND: self._orders.in_force.version,
        }

    def bytes_held(self, kind: str, items: Iterable[feed_messages.FeedObject]) -> int:
        """Return the bytes of those items that were received already, in that version."""
        held = self._objects.get(kind, {})
        return sum(
            len(item.value or b"")
            for item in items
            if item.name in held and held[item.name].version >= item.version
        )

    def newer_item(self, kind: str, version: int) -> feed_messages.FeedObject | None:
        """Return the object in force of a kind if it is newer than a version, else None."""
        if self.versions_in_force.get(kind, 0) <= version:
            return None
        return self._in_force.get(kind)

    def position(self, kind: str) -> objects.Position | None:
        """Return the position up to which the objects of a kind were received, or None."""
        return self._positions.get(kind)

    def is_of_era(self, era: int) -> bool:
        """Return whether all positions are of an era."""
        return all(position.era == era for position in self._positions.values())

    def is_newer(self, kind: str, position: objects.Position) -> bool:
        """Return whether a position is not before that of a kind."""
        return position >= self._positions.get(kind, _NO_POSITION)

    def has_reached(self, kind: str, era: int, revision: int) -> bool:
        """Return whether all changes up to a revision of an era were received."""
        position = self._positions.get(kind)
        return position is not None and position.era == era and position.revision >= revision

    def forget(self, kind: str) -> None:
        """Forget up to where the objects of a kind were received; what is in force stays."""
        self._positions.pop(kind, None)
        self._objects.pop(kind, None)

    def snapshots(self) -> list[feed_messages.FeedSnapshot]:
        """Return all objects of each kind."""
        return [
            feed_messages.FeedSnapshot(
                kind,
                position.revision,
                tuple(self._objects.get(kind, {}).values()),
                position.era,
            )
            for kind, position in self._positions.items()
        ]

    def update_evacuated(self, now: float) -> None:
        """Put the evacuations into force that count at present.

        Args:
            now: Monotonic time in seconds.
        """
        self._catalog.set_evacuated(self._evacuations.in_force(now))

    def apply_snapshot(
        self,
        kind: str,
        position: objects.Position,
        items: Iterable[feed_messages.FeedObject],
        now: float,
        source: str = confirmations.STORE,
    ) -> None:
        """Replace the objects of a kind.

        Args:
            kind: The kind.
            position: Position at which the objects were listed.
            items: All objects of the kind.
            now: Monotonic time in seconds.
            source: Instance that sent them, or the store, for the log.
        """
        current = {item.name: item for item in items}
        logs.event(
            "objects-listed",
            kind=kind,
            objects=len(current),
            revision=position.revision,
            era=position.era,
        )
        previous = self._objects.get(kind, {})
        self._objects[kind] = current
        known = self._positions.get(kind)
        is_older_copy = known is not None and known.era < position.era
        self._positions[kind] = position
        if kind == names.EVACUATIONS_KIND:
            listed = [ids.FailureDomain(name) for name in current]
            self._evacuations.replace(listed, is_older_copy, now)
        if kind == names.SERVERS_KIND:
            if is_older_copy:
                self._catalog.record_older_copy(now)
            self._catalog.retain(frozenset(ids.Server(name) for name in current), now)
        changed = [item for item in current.values() if item != previous.get(item.name)]
        self._apply(kind, changed, now, source, is_older_copy)

    def apply_changes(
        self,
        kind: str,
        position: objects.Position,
        items: Iterable[feed_messages.FeedObject],
        now: float,
        source: str = confirmations.STORE,
    ) -> None:
        """Apply changed and removed objects of a kind.

        Args:
            kind: The kind.
            position: Position up to which the objects are complete then.
            items: Changed and removed objects.
            now: Monotonic time in seconds.
            source: Instance that sent them, or the store, for the log.
        """
        current = self._objects.setdefault(kind, {})
        for item in items:
            if item.value is None:
                current.pop(item.name, None)
            else:
                current[item.name] = item
        self._positions[kind] = max(position, self._positions.get(kind, _NO_POSITION))
        self._apply(kind, items, now, source)

    def apply_newer(self, kind: str, item: feed_messages.FeedObject, source: str) -> None:
        """Put an object that another instance sent into force if its version is newer.

        Up to which position objects were received stays as it is.

        Args:
            kind: Kind of the object.
            item: The object.
            source: The instance, for the log.
        """
        if kind == names.CONFIG_KIND:
            self._apply_config(item, source)
            self._keep_config_in_force()
        elif kind == orders.STORE_KIND:
            self._apply_orders(item)

    def _keep_config_in_force(self) -> None:
        """Send instances that start the configuration in force, whatever the store holds."""
        item = self._in_force.get(names.CONFIG_KIND)
        if item is not None and names.CONFIG_KIND in self._objects:
            self._objects[names.CONFIG_KIND][names.CONFIG_NAME] = item

    def _apply(
        self,
        kind: str,
        items: Iterable[feed_messages.FeedObject],
        now: float,
        source: str,
        is_older_copy: bool = False,
    ) -> None:
        for item in items:
            if kind == names.CONFIG_KIND:
                self._apply_config(item, source)
            elif kind == names.SERVERS_KIND:
                self._apply_server(item, now, is_older_copy)
            elif kind == orders.STORE_KIND:
                self._apply_orders(item)
            else:
                self._apply_evacuation(item)
        if kind == names.EVACUATIONS_KIND:
            self.update_evacuated(now)
        if kind == names.CONFIG_KIND:
            self._keep_config_in_force()

    def _apply_config(self, item: feed_messages.FeedObject, source: str) -> None:
        if item.name != names.CONFIG_NAME or item.value is None:
            return
        began_at = time.monotonic()
        config = _decode_or_warn(
            f"{names.CONFIG_KIND}/{item.name}",
            item.value,
            self._config_decoder.decode,
        )
        if config is not None and self._catalog.replace_config_if_newer(config):
            self._in_force[names.CONFIG_KIND] = item
            logs.event(
                "config-in-force",
                version=f"{config.version:08x}",
                revision=item.version,
                routes=len(config.routes),
                accounts=len(config.accounts.accounts) if config.accounts is not None else None,
                source=source,
                size_bytes=len(item.value),
                decode_ms=round((time.monotonic() - began_at) * 1000, 1),
                homes=[
                    f"{route.name}:{'+'.join(sorted(route.homes))}"
                    for route in config.routes
                    if route.homes
                ],
            )

    def _apply_orders(self, item: feed_messages.FeedObject) -> None:
        if item.name != orders.STORE_NAME or item.value is None:
            return
        # Imported here, as the decoder costs memory, and most instances never get an order.
        from carobhook.protocol import order_codec

        order_state = _decode_or_warn(
            f"{orders.STORE_KIND}/{item.name}",
            item.value,
            order_codec.decode,
        )
        if order_state is not None and self._orders.replace_if_newer(order_state):
            self._in_force[orders.STORE_KIND] = item
            logs.event("orders-in-force", version=order_state.version, revision=item.version)

    def _apply_server(
        self, item: feed_messages.FeedObject, now: float, is_older_copy: bool
    ) -> None:
        name = ids.Server(item.name)
        if item.value is None:
            logs.event("server-removed", server=name, revision=item.version)
            self._catalog.remove(name, now)
            return
        entry = _decode_or_warn(
            f"{names.SERVERS_KIND}/{item.name}",
            item.value,
            platform_objects.decode_server,
        )
        if entry is None:
            self._catalog.remove(name, now)
            return
        logs.event(
            "server-seen",
            server=name,
            service=entry.service,
            zone=entry.failure_domain,
            state=entry.state,
            cold_s=entry.cold_s,
            revision=item.version,
        )
        if is_older_copy:
            self._catalog.put_from_copy(entry, now)
        else:
            self._catalog.put(entry, now)

    def _apply_evacuation(self, item: feed_messages.FeedObject) -> None:
        zone = ids.FailureDomain(item.name)
        logs.event("evacuation", zone=zone, begun=item.value is not None, revision=item.version)
        if item.value is None:
            self._evacuations.end(zone)
        else:
            self._evacuations.begin(zone)


def _decode_or_warn(name: str, value: bytes, decode: Callable[[typing.Any], _T]) -> _T | None:
    """Return an object's decoded value, or None for a malformed one, which logs a warning.

    Any error counts as malformed: other programs write the objects, so no decoder can foresee
    every value.

    Args:
        name: Kind and name of the object.
        value: Value of the object in JSON.
        decode: Decodes the value that the JSON parser returns.
    """
    try:
        return decode(json.loads(value))
    except UnicodeDecodeError as error:
        # Its own representation contains the whole value, with the keys of client accounts.
        logs.warning("object-malformed", object=name, error=f"{error.reason} at {error.start}")
        return None
    except Exception as error:
        logs.warning("object-malformed", object=name, error=repr(error))
        return None
