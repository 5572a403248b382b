"""Writes log lines to a file descriptor without blocking, within a budget of lines."""

import collections
import enum
import logging
import os
import time

import attrs

from carobhook.coordination import token_bucket

# Sustained rate of lines, and how many may be written at once after an idle period.
LINES_PER_S = 150.0
_BURST_LINES = 600.0
# Fraction of the burst that is reserved for more important lines, indexed by importance.
# Without it, a flood of unimportant lines would use up the budget of the important ones.
_RESERVED_FRACTIONS = (0.0, 0.15, 0.4)
# Without a limit, the buffer would grow for as long as the log reader is stuck.
_MAX_PENDING_BYTES = 512 * 1024
# Number of `codes.Code.OK`.
_SUCCESS_CODE = 1000


class Importance(enum.IntEnum):
    """Importance of a line; the least important lines are omitted first.

    Attributes:
        HIGH: Errors, and all lines that are not about a single request.
        NORMAL: All other lines about a request, such as its failure or a retry.
        LOW: Requests that succeeded at the first attempt.
    """

    HIGH = 0
    NORMAL = 1
    LOW = 2


def importance_of(record: logging.LogRecord) -> Importance:
    """Return the importance of a log record."""
    fields = getattr(record, "fields", {})
    if "request" not in fields or record.levelno >= logging.ERROR:
        return Importance.HIGH
    if fields.get("code") == _SUCCESS_CODE and fields.get("sends") == 1:
        return Importance.LOW
    return Importance.NORMAL


@attrs.define
class LineBudget:
    """Limits the rate of log lines and omits the least important ones first.

    Without a limit, a flood of requests, or a failure that affects all of them at once, would
    write more lines than the machine and the log reader can handle.
    """

    _bucket: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(LINES_PER_S, _BURST_LINES), init=False
    )
    _omitted_counts: collections.Counter[Importance] = attrs.field(
        factory=collections.Counter, init=False
    )
    _omitted_total: int = attrs.field(default=0, init=False)

    @property
    def omitted_total(self) -> int:
        """Return the number of lines omitted since the start."""
        return self._omitted_total

    def try_consume(self, importance: Importance, now: float) -> bool:
        """Return whether a line may be written; a line that may not is counted as omitted.

        Args:
            importance: Importance of the line.
            now: Monotonic time in seconds.
        """
        reserve = _RESERVED_FRACTIONS[importance] * _BURST_LINES
        if self._bucket.available(now) > reserve and self._bucket.try_consume(now):
            return True
        self.record_omitted(importance)
        return False

    def record_omitted(self, importance: Importance) -> None:
        """Record that a line was omitted."""
        self._omitted_counts[importance] += 1
        self._omitted_total += 1

    def collect_omitted(self) -> dict[str, int]:
        """Return the number of lines omitted since the last call, by importance."""
        omitted, self._omitted_counts = self._omitted_counts, collections.Counter()
        return {importance.name.lower(): count for importance, count in omitted.items()}


class LineHandler(logging.Handler):
    """Writes lines to a file descriptor, which it switches to non-blocking mode.

    Lines that the descriptor does not accept yet are buffered up to a fixed size; further lines
    are omitted.

    Args:
        descriptor: The file descriptor.
        budget: Decides which lines are written.
    """

    def __init__(self, descriptor: int, budget: LineBudget) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._budget = budget
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or omit it if the budget is used up or the buffer is full."""
        importance = importance_of(record)
        if not self._budget.try_consume(importance, time.monotonic()):
            return
        line = self.format(record).encode("utf-8", "backslashreplace") + b"\n"
        if self._pending_bytes + len(line) > _MAX_PENDING_BYTES:
            self._budget.record_omitted(importance)
            return
        self._pending.append(line)
        self._pending_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as many of the buffered lines as the descriptor accepts without blocking."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be logged there either.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written == len(line):
                self._pending.popleft()
            else:
                self._pending[0] = line[written:]
