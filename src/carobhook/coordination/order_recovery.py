"""Recovery of operators' orders that the store lost when it came back from an older copy.

Instances write the orders, so nobody else writes them again. Those that still know the lost
ones apply them to what the store has now.
"""

import typing

from carobhook import logs
from carobhook.coordination import order_commands
from carobhook.state import ids, orders, statements


def lost_changes(
    stored: orders.OrderState, in_force: orders.OrderState
) -> tuple[orders.Change, ...]:
    """Return the changes of the orders in force that the stored orders lack, oldest first.

    Args:
        stored: Orders in the store.
        in_force: Orders that an instance applies.
    """
    stored_ids = {(change.version, change.order) for change in stored.changes}
    common = max(
        (c.version for c in in_force.changes if (c.version, c.order) in stored_ids),
        default=ids.Version(0),
    )
    if not common and stored.version > in_force.version:
        # The stored orders are so much newer that they keep no change of those in force.
        return ()
    return tuple(
        change
        for change in in_force.changes
        if change.version > common and stored.change_of(change.order) is None
    )


def recover(
    stored: orders.OrderState,
    in_force: orders.OrderState,
    known: order_commands.KnownNames,
) -> orders.OrderState:
    """Return the stored orders with the changes that they lost.

    If an order was accepted since, the lost ones follow it, with versions that none has had.

    Args:
        stored: Orders in the store.
        in_force: Orders that an instance applies.
        known: Names that orders may refer to.
    """
    lost = lost_changes(stored, in_force)
    if not lost:
        return stored
    kept = [change for change in in_force.changes if change not in lost]
    if stored.version == (kept[-1].version if kept else 0):
        return in_force
    recovered = stored
    for change in lost:
        recovered = _apply_again(change, recovered, known)
    return recovered


def _apply_again(
    change: orders.Change, current: orders.OrderState, known: order_commands.KnownNames
) -> orders.OrderState:
    """Return the orders after a lost one; one that cannot be accepted any more is logged."""
    # Imported here, as the grammar costs memory, and most instances never need it.
    from carobhook.protocol import language

    context = order_commands.OrderContext(
        change.order, change.author, change.text, change.at, known
    )
    try:
        command = typing.cast(statements.Command, language.parse(change.text))
        return order_commands.apply(command, current, context)
    except (order_commands.OrderError, language.StatementSyntaxError) as error:
        logs.warning("order-lost", order=change.order, text=change.text, error=error)
        return current
