"""Client accounts: who may send requests, and how many."""

import hashlib
from collections.abc import Iterable, Mapping

import attrs
from attrs import validators

from carobhook.state import ids


@attrs.frozen
class Quota:
    """Limit on the requests of one account, over all instances.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests beyond the rate that an account may send at once after a pause.
    """

    rate_per_s: float = attrs.field(validator=validators.gt(0))
    burst: float = attrs.field(default=0.0, validator=validators.ge(0))


@attrs.frozen
class ClientAccount:
    """An account on whose behalf clients send requests.

    Attributes:
        name: Name of the account.
        quota: Limit on its requests, or None for no limit.
        priority: Rank of its requests, which replaces that of their routes, or None.
        homes: Regions that may run its requests; empty for all regions.
    """

    name: ids.Account
    quota: Quota | None = None
    priority: int | None = None
    homes: frozenset[ids.Region] = frozenset()


@attrs.frozen
class AccountTable:
    """The accounts of one version of the configuration.

    It holds digests of the keys, not the keys. The time of a look-up therefore says nothing
    about how much of a key is right, and no key can get into a log from here.

    Attributes:
        _by_digest: Accounts by the digests of their keys.
        _by_name: Accounts by name.
    """

    _by_digest: Mapping[bytes, ClientAccount] = attrs.field(repr=False)
    _by_name: Mapping[ids.Account, ClientAccount]

    @classmethod
    def build(cls, entries: Iterable[tuple[ClientAccount, Iterable[str]]]) -> "AccountTable":
        """Return the table of accounts with their keys.

        Args:
            entries: Each account with its keys.

        Raises:
            ValueError: Two accounts have the same name or key.
        """
        by_digest: dict[bytes, ClientAccount] = {}
        by_name: dict[ids.Account, ClientAccount] = {}
        for account, keys in entries:
            if account.name in by_name:
                raise ValueError(f"two accounts are named {account.name!r}")
            by_name[account.name] = account
            for key in keys:
                if by_digest.setdefault(_digest(key), account) is not account:
                    raise ValueError(
                        f"a key of {account.name!r} belongs to another account too"
                    )
        return cls(by_digest, by_name)

    @property
    def accounts(self) -> tuple[ClientAccount, ...]:
        """Return the accounts."""
        return tuple(self._by_name.values())

    @property
    def quotas(self) -> dict[ids.Account, Quota]:
        """Return the quotas of the accounts that have one."""
        accounts = self._by_name.values()
        return {
            account.name: account.quota for account in accounts if account.quota is not None
        }

    def find(self, key: str) -> ClientAccount | None:
        """Return the account that a key belongs to, or None."""
        return self._by_digest.get(_digest(key))

    def get(self, name: ids.Account) -> ClientAccount | None:
        """Return the account of a name, or None."""
        return self._by_name.get(name)


def _digest(key: str) -> bytes:
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()
