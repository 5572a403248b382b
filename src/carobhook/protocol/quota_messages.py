"""Messages between instances about the quotas of client accounts.

Accounts are hashed into groups, and one instance counts the tokens of a group's accounts.
"""

import attrs

from carobhook.state import ids


@attrs.frozen
class QuotaEntry:
    """What a dispatcher's instance needs and holds for one account.

    Attributes:
        account: The account.
        urgent: Tokens for requests that wait.
        wanted: Tokens for the reserve.
        held: Tokens of the reserve and of requests that were not granted a slot yet.
        returned: Tokens that the sender gives back; they are not part of `held`.
    """

    account: ids.Account
    urgent: int
    wanted: int
    held: int
    returned: int


@attrs.frozen
class QuotaRequest:
    """Asks the counter of a group for tokens; answered by `QuotaGrant`.

    For accounts without an entry, the sender holds what it said last.

    Attributes:
        group: Number of the group.
        sequence: Number of the request, which the answer repeats; it increases.
        weight: Share of all dispatchers that run at the sender; 0 when it has none any more.
        is_fallback: Whether the sender admits requests by its own bucket at the moment.
        is_whole: Whether the sender holds nothing for accounts without an entry.
        entries: Accounts of the group.
    """

    group: int
    sequence: int
    weight: float
    is_fallback: bool
    is_whole: bool
    entries: tuple[QuotaEntry, ...]


@attrs.frozen
class QuotaAnswer:
    """Tokens for one account.

    Attributes:
        account: The account.
        tokens: Number of tokens granted.
        wait_ms: Milliseconds until the next token is available, 0 if all were granted.
    """

    account: ids.Account
    tokens: int
    wait_ms: float


@attrs.frozen
class QuotaGrant:
    """Answers `QuotaRequest`.

    Attributes:
        group: Number of the group.
        sequence: Number of the request.
        is_starting: Whether the sender has only now become the counter and grants nothing yet.
        entries: Accounts of the request whose quota the sender knows.
    """

    group: int
    sequence: int
    is_starting: bool
    entries: tuple[QuotaAnswer, ...]


QuotaMessage = QuotaRequest | QuotaGrant
