"""Keeps the operators' orders in the store, one change at a time."""

from collections.abc import Awaitable, Callable

from carobhook.coordination import objects, ordering
from carobhook.protocol import order_codec
from carobhook.state import codes, ids, orders, statements

_ATTEMPTS = 4


class OrderStore:
    """Accepts orders by conditional writes, so that of two at once only one wins at a time.

    Args:
        store: The store.
        pause: Waits a little before another attempt.
    """

    def __init__(
        self, store: objects.ObjectStore, pause: Callable[[], Awaitable[object]]
    ) -> None:
        self._store = store
        self._pause = pause

    async def submit(
        self,
        command: statements.Command,
        context: ordering.OrderContext,
        base: ids.Version | None,
    ) -> orders.OrderState:
        """Accept a command; return the orders that are in force with it.

        An order whose id is known already is the same order, and changes nothing more.

        Args:
            command: The command.
            context: Who gave it, and when.
            base: Version that the operator saw, None for whichever is the last.

        Raises:
            ordering.OrderFault: It is not accepted, or nobody knows yet whether it is.
        """
        unknown: objects.StoreError | None = None
        for attempt in range(_ATTEMPTS):
            if attempt:
                await self._pause()
            try:
                book, revision = await self._read()
                if book.change_of(context.order) is not None:
                    return book
                _check_base(book, base)
                changed = ordering.apply(command, book, context)
                await self._write(changed, revision)
                return changed
            except objects.ConflictError:
                # Another order came between; it may be this one, if its answer was lost.
                continue
            except objects.OutcomeUnknownError as problem:
                unknown = problem
            except objects.StoreError as problem:
                if unknown is None:
                    text = f"the store does not take it: {problem}"
                    raise ordering.OrderFault(codes.Code.ORDER_STORE_DOWN, text) from problem
        if unknown is not None:
            text = f"ask with the same id again: {unknown}"
            raise ordering.OrderFault(codes.Code.ORDER_UNKNOWN, text) from unknown
        text = f"other orders came first {_ATTEMPTS} times"
        raise ordering.OrderFault(codes.Code.ORDER_CONFLICT, text)

    async def _read(self) -> tuple[orders.OrderState, int | None]:
        held = await self._store.get(orders.STORE_KIND, orders.STORE_NAME)
        if held is None:
            return orders.OrderState(), None
        return order_codec.decode(held.value), held.version

    async def _write(self, book: orders.OrderState, revision: int | None) -> None:
        plain = order_codec.encode(book)
        if revision is None:
            await self._store.create(orders.STORE_KIND, orders.STORE_NAME, plain)
        else:
            await self._store.update(orders.STORE_KIND, orders.STORE_NAME, plain, revision)


def _check_base(book: orders.OrderState, base: ids.Version | None) -> None:
    if base is None or base >= book.version:
        return
    last = book.changes[-1]
    text = (
        f"order {last.order} of {last.author} came first as version {book.version}: {last.text}"
    )
    raise ordering.OrderFault(codes.Code.ORDER_CONFLICT, text)
