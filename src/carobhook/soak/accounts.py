"""Client accounts of a soak run, and the checks of what servers and logs learn of them."""

from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from carobhook import demo
from carobhook.platform import names
from carobhook.protocol import http1

# Each of these seeds uses accounts. Three divides none of the periods by which a seed draws its
# kinds of faults, so accounts meet every kind.
_PERIOD = 3
_REMAINDER = 2
# Name that clients send as that of their account, although only instances may set it.
_FORGED_NAME = b"forged"
# The route that needs no key.
_EXEMPT_ROUTE = demo.SERVICES[-1].name


@attrs.frozen
class SoakAccount:
    """An account of the soak's clients.

    Attributes:
        name: Name of the account.
        key: Its key.
        fields: Further fields of the account in the configuration.
    """

    name: str
    key: str = attrs.field(repr=False)
    fields: Mapping[str, Any] = attrs.field(factory=dict)

    @property
    def headers(self) -> http1.Headers:
        """Return the headers of each request: the key, and a name that must not arrive."""
        return (
            (names.API_KEY.encode(), self.key.encode()),
            (names.TENANT.encode(), _FORGED_NAME),
        )


ACCOUNTS = (
    SoakAccount("soak-north", "soak-key-of-north-52c1", {"Priority": 0}),
    SoakAccount("soak-south", "soak-key-of-south-9e07", {"HomeRegions": ["addis", "kigali"]}),
)


def accounts_of(seed: int) -> tuple[SoakAccount, ...]:
    """Return the accounts that a seed uses, none for most seeds."""
    return ACCOUNTS if seed % _PERIOD == _REMAINDER else ()


def add_to_config(spec: dict[str, Any], accounts: Iterable[SoakAccount]) -> None:
    """Add accounts to the ``Spec`` of a configuration, and exempt one of its routes."""
    spec["Tenants"] = [
        {"Name": account.name, "ApiKeys": [account.key], **account.fields}
        for account in accounts
    ]
    for route in spec["Routes"]:
        route["AuthExempt"] = route["Name"] == _EXEMPT_ROUTE


def is_exempt(prefix: str) -> bool:
    """Return whether the requests of a path prefix need no key."""
    return prefix == f"/{_EXEMPT_ROUTE}/"


def find_wrong_accounts(
    heads: Iterable[http1.RequestHead], expected: Mapping[str, str | None]
) -> list[str]:
    """Return one line for each request that reached a server with a key or a wrong account.

    Args:
        heads: Heads of all requests that servers received.
        expected: Name of the account by attempt id, None for those that must have none.
    """
    violations = []
    for head in heads:
        attempt_id = head.get(names.REQUEST_ID)
        if head.get(names.API_KEY) is not None:
            violations.append(f"{attempt_id} reached a server with a key")
        tenant = names.TENANT.encode()
        found = [value for key, value in head.headers if key.lower() == tenant]
        name = expected.get(attempt_id) if attempt_id is not None else None
        if found != ([name.encode()] if name is not None else []):
            violations.append(f"{attempt_id} is of {name} and reached a server as {found}")
    return violations


def find_logged_keys(logs: Mapping[str, str], accounts: Iterable[SoakAccount]) -> list[str]:
    """Return one line for each log that contains a key.

    Args:
        logs: Text of each log, by its name.
        accounts: Accounts whose keys must not be there.
    """
    return [
        f"the log {name} contains the key of {account.name}"
        for name, text in logs.items()
        for account in accounts
        if account.key in text
    ]
