"""Writes log lines without ever waiting for their reader, and within a budget."""

import collections
import enum
import logging
import os
import time

import attrs

from carobhook.coordination import token_bucket

# Lines a second over a longer time, and at once after a quiet time.
LINES_PER_S = 150.0
_BURST_LINES = 600.0
# Lines of each importance are written while this share of the burst is left.
_RESERVED_SHARES = (0.0, 0.15, 0.4)
_MAX_WAITING_OCTETS = 512 * 1024
_CODE_OF_SUCCESS = 1000


class Importance(enum.IntEnum):
    """How much a line is worth when not all can be written.

    HIGH: Warnings, errors and changes of what the process believes.
    NORMAL: Requests that failed.
    LOW: Requests that went well.
    """

    HIGH = 0
    NORMAL = 1
    LOW = 2


def importance_of(record: logging.LogRecord) -> Importance:
    """Return how much a line is worth."""
    fields = getattr(record, "fields", {})
    if "request" not in fields or record.levelno >= logging.ERROR:
        return Importance.HIGH
    if fields.get("code") == _CODE_OF_SUCCESS and fields.get("sends") == 1:
        return Importance.LOW
    return Importance.NORMAL


@attrs.define
class LineBudget:
    """Decides which lines are written when more come than is agreed.

    Load pattern: a flood of requests, or a failure that touches all of them at once, would
    write more lines than the machine and its reader bear. Lines of little worth go first.
    """

    _bucket: token_bucket.TokenBucket = attrs.field(
        factory=lambda: token_bucket.TokenBucket(LINES_PER_S, _BURST_LINES), init=False
    )
    _omitted: collections.Counter[Importance] = attrs.field(
        factory=collections.Counter, init=False
    )
    _total: int = attrs.field(default=0, init=False)

    @property
    def omitted_total(self) -> int:
        """Return how many lines were left out since the start."""
        return self._total

    def admits(self, importance: Importance, now: float) -> bool:
        """Tell whether a line is written, and count it if not.

        Args:
            importance: Its worth.
            now: Monotonic time in seconds.
        """
        reserve = _RESERVED_SHARES[importance] * _BURST_LINES
        if self._bucket.available(now) > reserve and self._bucket.try_consume(now):
            return True
        self.count_omitted(importance)
        return False

    def count_omitted(self, importance: Importance) -> None:
        """Count a line that was left out."""
        self._omitted[importance] += 1
        self._total += 1

    def take_omitted(self) -> dict[str, int]:
        """Return the lines left out since the last call, by importance."""
        omitted, self._omitted = self._omitted, collections.Counter()
        return {importance.name.lower(): count for importance, count in omitted.items()}


class LineHandler(logging.Handler):
    """Writes lines to a file descriptor, which must not block.

    Args:
        descriptor: The file descriptor.
        budget: Which lines are written.
    """

    def __init__(self, descriptor: int, budget: LineBudget) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._budget = budget
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_octets = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or leave it out if there is no room for it."""
        importance = importance_of(record)
        if not self._budget.admits(importance, time.monotonic()):
            return
        line = self.format(record).encode("utf-8", "backslashreplace") + b"\n"
        if self._waiting_octets + len(line) > _MAX_WAITING_OCTETS:
            self._budget.count_omitted(importance)
            return
        self._waiting.append(line)
        self._waiting_octets += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of what waits as the reader takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # There is no reader any more, so there is nowhere to say so either.
                self._waiting.clear()
                self._waiting_octets = 0
                return
            self._waiting_octets -= written
            if written == len(line):
                self._waiting.popleft()
            else:
                self._waiting[0] = line[written:]
