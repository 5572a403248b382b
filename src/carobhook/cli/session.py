"""Sends orders to a daemon and prints what came of them."""

import time
from collections.abc import Callable, Iterable

import attrs

from carobhook.cli import exits, operator, output
from carobhook.state import codes

_POLL_INTERVAL_S = 0.1
_LEAVING_WORDS = frozenset({"exit", "quit"})


@attrs.frozen
class Session:
    """Sends orders and prints their answers.

    Attributes:
        wait_s: Longest wait for an accepted order to be in force.
        clock: Monotonic time in seconds.
        sleep: Waits for some seconds.
    """

    _operator: operator.Operator
    _printer: output.Printer
    wait_s: float
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep

    def run(self, text: str) -> exits.Exit:
        """Send one order, print what came of it, and return the exit code."""
        try:
            answer = self._operator.send(operator.Order(text))
            progress = self._follow(answer)
        except operator.UnreachableError as problem:
            self._printer.problem(codes.Code.DAEMON_UNREACHABLE, str(problem))
            return exits.Exit.UNREACHABLE
        except operator.UnexpectedAnswerError as problem:
            self._printer.problem(codes.Code.DAEMON_UNREACHABLE, str(problem))
            return exits.Exit.UNREACHABLE
        self._printer.answer(answer, progress)
        return _exit_of(answer, progress)

    def run_all(self, orders: Iterable[str]) -> exits.Exit:
        """Send orders until one fails; return the last exit code."""
        for text in orders:
            result = self.run(text)
            if result is not exits.Exit.OK:
                return result
        return exits.Exit.OK

    def prompt(self, read: Callable[[], str]) -> exits.Exit:
        """Send orders as they are typed, until the end of input; return the last exit code.

        Args:
            read: Returns the next line; raises EOFError at the end of input.
        """
        result = exits.Exit.OK
        while True:
            try:
                text = read().strip()
            except KeyboardInterrupt:
                continue
            except EOFError:
                return result
            if text in _LEAVING_WORDS:
                return result
            if text:
                result = self.run(text)

    def _follow(self, answer: operator.Answer) -> operator.Progress | None:
        """Wait until an accepted order is in force everywhere; return how far it got."""
        if answer.code != codes.Code.ORDER_ACCEPTED.number or answer.version is None:
            return None
        deadline = self.clock() + self.wait_s
        progress = self._operator.progress(answer.version)
        while not progress.complete and self.clock() < deadline:
            self._printer.waiting(progress)
            self.sleep(_POLL_INTERVAL_S)
            progress = self._operator.progress(answer.version)
        return progress


def _exit_of(answer: operator.Answer, progress: operator.Progress | None) -> exits.Exit:
    if not answer.accepted:
        return exits.Exit.REFUSED
    if progress is not None and not progress.complete:
        return exits.Exit.NOT_IN_FORCE
    return exits.Exit.OK
