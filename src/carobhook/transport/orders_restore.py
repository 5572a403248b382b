"""Writes operators' orders again that the store has lost."""

import json
import random
import typing
from collections.abc import Callable

from twisted.internet import defer

from carobhook import logs
from carobhook.coordination import catalog, objects, steering
from carobhook.protocol import feed_messages
from carobhook.state import orders
from carobhook.transport import supervision

# Lost orders are written again after this time, or up to twice as long. An instance that does
# not watch the store itself leaves it to those that do first.
_WAIT_S = 0.2
_FOLLOWER_WAIT_S = 1.5


class OrdersRestore:
    """Compares the orders in force with those in the store, and writes what is missing there.

    Args:
        reactor: Source of time and timers.
        store: The object API.
        server_catalog: Servers and configuration, whose names orders refer to.
        order_steering: The orders in force.
        rng: Source of the jitter of delays.
        stored_item: Returns the object of the orders in the store, None if there is none.
        supervisor: Gets the errors that are not the store's.
    """

    def __init__(
        self,
        reactor: typing.Any,
        store: objects.ObjectStore,
        server_catalog: catalog.Catalog,
        order_steering: steering.Steering,
        rng: random.Random,
        stored_item: Callable[[], feed_messages.FeedObject | None],
        supervisor: supervision.Supervisor,
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._catalog = server_catalog
        self._orders = order_steering
        self._rng = rng
        self._stored_item = stored_item
        self._supervisor = supervisor
        self._timer: typing.Any = None
        self._running: defer.Deferred | None = None
        self._is_direct = False

    def schedule(self, is_direct: bool) -> None:
        """Write lost orders again after a while, unless another instance does so before.

        Args:
            is_direct: Whether this instance watches the store itself.
        """
        self._is_direct = is_direct
        if not self._orders.in_force.version or self._timer is not None:
            return
        if not self._lacks_orders():
            return
        first_s = _WAIT_S if is_direct else _FOLLOWER_WAIT_S
        self._timer = self._reactor.callLater(
            first_s * self._rng.uniform(1.0, 2.0), self._restore
        )

    def stop(self) -> None:
        """Cancel the write in progress and the next one."""
        for running in (self._running, self._timer):
            if running is not None:
                running.cancel()

    def _stored_orders(self) -> orders.OrderState:
        """Return the orders in the store, as far as this instance knows; none if unreadable."""
        item = self._stored_item()
        if item is None or item.value is None:
            return orders.OrderState()
        # Imported here, as the decoder costs memory, and most instances never get an order.
        from carobhook.protocol import order_codec

        try:
            return order_codec.decode(json.loads(item.value))
        except Exception:
            # Whoever applies the object logs that it is malformed.
            return orders.OrderState()

    def _lacks_orders(self) -> bool:
        from carobhook.coordination import order_recovery

        return bool(order_recovery.lost_changes(self._stored_orders(), self._orders.in_force))

    def _restore(self) -> None:
        self._timer = None
        if not self._lacks_orders():
            return
        from carobhook.coordination import order_commands, order_store

        config = self._catalog.config
        known = order_commands.KnownNames(
            self._orders.regions,
            tuple(config.services) if config is not None else (),
            tuple(route.name for route in config.routes) if config is not None else (),
            [view.entry.name for view in self._catalog.servers(self._reactor.seconds())],
        )
        store_of_orders = order_store.OrderStore(
            self._store, lambda: defer.succeed(None), lambda: self._orders.in_force
        )
        self._running = defer.ensureDeferred(store_of_orders.restore(known))
        self._running.addCallbacks(self._restored, self._restore_failed)

    def _restored(self, restored: orders.OrderState) -> None:
        logs.event("orders-restored", version=restored.version)

    def _restore_failed(self, reason: typing.Any) -> None:
        """Try again later if the store did not take the orders, or another came first."""
        if reason.check(objects.StoreError):
            self.schedule(self._is_direct)
        else:
            self._supervisor.record("orders-restore", reason)
