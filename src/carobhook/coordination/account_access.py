"""Decides which client account a request belongs to, and what that changes of its route."""

import attrs

from carobhook.coordination import refusals
from carobhook.state import client_accounts, codes, routing

# Seconds after which a client with an unknown key is told to come back, while it is not known
# whether there is a newer configuration.
_UNCONFIRMED_RETRY_S = 0.5
# Seconds after which a client without a common home region is told to come back. Only another
# configuration helps it, so it need not come back soon.
_NO_HOME_RETRY_S = 10.0


def find_account(
    config: routing.RoutingConfig, needs_key: bool, key: str | None, is_confirmed: bool
) -> client_accounts.ClientAccount | refusals.Refusal | None:
    """Return the account of a request, None if it needs none, or the reason to refuse it.

    Clients do not repeat what was answered with 401, so that is said only if the configuration
    is known to be the newest: older ones lack keys that were just added.

    Args:
        config: Configuration in force.
        needs_key: Whether the request needs a key if the configuration has accounts.
        key: Key that the request states, None without one.
        is_confirmed: Whether the configuration is known to be the newest.
    """
    if config.accounts is None or not needs_key:
        return None
    account = config.accounts.find(key) if key is not None else None
    if account is not None:
        return account
    detail = "the key is missing" if key is None else "the key is unknown"
    if is_confirmed:
        return refusals.Refusal(codes.Code.KEY_UNKNOWN, detail=detail)
    return refusals.Refusal(
        codes.Code.KEY_UNCONFIRMED, retry_after_s=_UNCONFIRMED_RETRY_S, detail=detail
    )


def account_route(
    route: routing.Route, account: client_accounts.ClientAccount | None
) -> routing.Route | refusals.Refusal:
    """Return a route as it is for the requests of an account, or the reason to refuse them.

    The priority is the account's if it has one. Only regions that are home regions of both
    remain; without home regions, either allows all regions.

    Args:
        route: The route.
        account: The account, None for requests that have none.
    """
    if account is None:
        return route
    common = route.homes & account.homes
    if route.homes and account.homes and not common:
        detail = f"route: {_listed(route.homes)}, account: {_listed(account.homes)}"
        return refusals.Refusal(
            codes.Code.NO_COMMON_HOME,
            retry_after_s=_NO_HOME_RETRY_S,
            detail=detail,
            account=account.name,
        )
    homes = common or route.homes or account.homes
    priority = route.priority if account.priority is None else account.priority
    if (homes, priority) == (route.homes, route.priority):
        return route
    return attrs.evolve(route, homes=homes, priority=priority)


def account_in_force(
    config: routing.RoutingConfig, accepted: client_accounts.ClientAccount | None
) -> client_accounts.ClientAccount | None:
    """Return the account of a request that was accepted by an earlier configuration.

    An account that is gone stays as it was, so that its accepted requests are still served.

    Args:
        config: Configuration in force.
        accepted: The account as the request was accepted, None without one.
    """
    if accepted is None or config.accounts is None:
        return accepted
    return config.accounts.get(accepted.name) or accepted


def _listed(homes: frozenset[str]) -> str:
    return "+".join(sorted(homes))
