"""Writes operators' orders to the store, one change at a time."""

from collections.abc import Awaitable, Callable

from carobhook.coordination import objects, order_commands, order_recovery
from carobhook.protocol import order_codec
from carobhook.state import codes, ids, orders, statements

_MAX_ATTEMPTS = 4


class OrderStore:
    """Accepts orders by conditional writes, so concurrent orders never overwrite one another.

    Args:
        store: The store.
        pause: Waits for a short time; called before each repeated attempt.
        in_force: Returns the orders that this instance applies. The store may have lost some of
            them; they are written again with the next write.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        pause: Callable[[], Awaitable[object]],
        in_force: Callable[[], orders.OrderState] = orders.OrderState,
    ) -> None:
        self._store = store
        self._pause = pause
        self._in_force = in_force

    async def submit(
        self,
        command: statements.Command,
        context: order_commands.OrderContext,
        base: ids.Version | None,
    ) -> orders.OrderState:
        """Write a command's change to the store, and return the orders in force after it.

        If the stored orders hold the order's id already, it was accepted before and is not
        applied again.

        Args:
            command: The command.
            context: Author, time and id of the order.
            base: Version that the operator saw; the order is refused if a newer one is stored.
                None to apply it to any version.

        Raises:
            order_commands.OrderError: The order is refused, or it is not known whether it was
                accepted.
        """
        unknown_outcome: objects.StoreError | None = None
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                await self._pause()
            try:
                found, stored = await self._read()
                current = order_recovery.recover(found, self._in_force(), context.known)
                if found.change_of(context.order) is not None:
                    return found
                _require_latest_base(current, base)
                changed = order_commands.apply(command, current, context)
                await self._write(changed, stored)
                return changed
            except objects.ConflictError:
                # Another write came first. If the answer to an earlier attempt was lost, that
                # attempt may have been the other write, so read the orders again.
                continue
            except objects.OutcomeUnknownError as error:
                unknown_outcome = error
            except objects.StoreError as error:
                # If an earlier attempt may have written the order, try again to find out.
                if unknown_outcome is None:
                    text = f"the store does not take it: {error}"
                    raise order_commands.OrderError(
                        codes.Code.ORDER_STORE_DOWN, text
                    ) from error
        if unknown_outcome is not None:
            text = f"ask with the same id again: {unknown_outcome}"
            raise order_commands.OrderError(codes.Code.ORDER_UNKNOWN, text) from unknown_outcome
        text = f"other orders came first {_MAX_ATTEMPTS} times"
        raise order_commands.OrderError(codes.Code.ORDER_CONFLICT, text)

    async def restore(self, known: order_commands.KnownNames) -> orders.OrderState:
        """Write the orders again that the store has lost; return the stored ones.

        Args:
            known: Names that orders may refer to.

        Raises:
            objects.StoreError: They could not be written.
        """
        found, stored = await self._read()
        recovered = order_recovery.recover(found, self._in_force(), known)
        if recovered != found:
            await self._write(recovered, stored)
        return recovered

    async def _read(self) -> tuple[orders.OrderState, objects.StoredObject | None]:
        """Return the stored orders and the object that holds them, None if there is none.

        The object's version is not that of the orders, which each accepted order raises by one.
        """
        stored = await self._store.get(orders.STORE_KIND, orders.STORE_NAME)
        if stored is None:
            return orders.OrderState(), None
        return order_codec.decode(stored.value), stored

    async def _write(
        self, changed: orders.OrderState, stored: objects.StoredObject | None
    ) -> None:
        """Write orders, on condition that the stored object is still the one that was read."""
        encoded = order_codec.encode(changed)
        kind, name = orders.STORE_KIND, orders.STORE_NAME
        if stored is None:
            await self._store.create(kind, name, encoded)
        else:
            await self._store.update(kind, name, encoded, stored.version, stored.era)


def _require_latest_base(current: orders.OrderState, base: ids.Version | None) -> None:
    """Check that the stored orders are not newer than the version that an operator saw.

    Raises:
        order_commands.OrderError: Another order was accepted in between.
    """
    if base is None or base >= current.version:
        return
    last = current.changes[-1]
    text = (
        f"order {last.order} of {last.author} came first as version {current.version}: "
        f"{last.text}"
    )
    raise order_commands.OrderError(codes.Code.ORDER_CONFLICT, text)
