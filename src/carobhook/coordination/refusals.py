"""Responses that an instance sends to a client itself, in place of a server's response."""

import attrs

from carobhook.state import codes, ids

# These tell the client that the request was not run. They are not sent if it may have run, as a
# client that repeats it could have it run twice.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# These leave open whether the request was run, so a client must not repeat it.
_AMBIGUOUS_STATUSES = frozenset({502, 504})


@attrs.frozen
class Refusal:
    """A response that this instance sends in place of a server's.

    Attributes:
        code: Result code that gives the reason.
        may_have_run: Whether a server may have run the request.
        retry_after_s: Seconds after which the client may send the request again, or None.
        detail: Details of the cause, for the log.
        account: Client account of the request where it is known, for the log.
    """

    code: codes.Code
    may_have_run: bool = False
    retry_after_s: float | None = None
    detail: str = ""
    account: ids.Account | None = None

    @property
    def status(self) -> int:
        """Return the HTTP status: that of the code, unless it would mislead the client.

        If a server may have run the request, 502 replaces a status that says that it was not
        run. If the code says that it was not run, 503 replaces a status that leaves this open.
        """
        status = self.code.value.http_status
        if self.may_have_run:
            return 502 if status in NOT_RUN_STATUSES else status
        if status in _AMBIGUOUS_STATUSES and self.code.run is codes.RunStatus.NOT_RUN:
            return 503
        return status
