"""What a client is told of a request that gets no answer from a server."""

import attrs

from carobhook.state import codes

# Codes that promise that the request was not run travel with one of these statuses.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# These say nothing of whether the request was run, so a client must not repeat it.
_SILENT_STATUSES = frozenset({502, 504})


@attrs.frozen
class Refusal:
    """An answer that this instance gives in place of a server's.

    Attributes:
        code: Why.
        may_have_run: Whether a server may have run the request.
        retry_after_s: Seconds after which the client may come back, or None.
        detail: What led to it, for the log.
    """

    code: codes.Code
    may_have_run: bool = False
    retry_after_s: float | None = None
    detail: str = ""

    @property
    def status(self) -> int:
        """Return the HTTP status: one that promises not-run if, and only if, that is true."""
        status = self.code.value.http_status
        if self.may_have_run:
            return 502 if status in NOT_RUN_STATUSES else status
        if status in _SILENT_STATUSES and self.code.run is codes.RunStatus.NOT_RUN:
            return 503
        return status
