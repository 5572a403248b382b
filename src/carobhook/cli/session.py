"""Sends operators' orders to a daemon and prints the results."""

import time
from collections.abc import Callable, Iterable

import attrs

from carobhook.cli import exits, operator, output
from carobhook.state import codes

_POLL_INTERVAL_S = 0.1
_EXIT_COMMANDS = frozenset({"exit", "quit"})


@attrs.frozen
class Session:
    """Sends orders and prints their answers and their progress.

    Attributes:
        wait_s: Longest time in seconds to wait until an accepted order is in force.
        clock: Returns the monotonic time in seconds.
        sleep: Blocks for a number of seconds.
    """

    _client: operator.OperatorClient
    _printer: output.Printer
    wait_s: float
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], None] = time.sleep

    def run_order(self, text: str) -> exits.Exit:
        """Send one order, print its result and return the exit code."""
        try:
            answer = self._client.send(operator.Order(text))
            progress = self._wait_until_in_force(answer)
        except operator.UnreachableError as error:
            self._printer.print_error(codes.Code.DAEMON_UNREACHABLE, str(error))
            return exits.Exit.UNREACHABLE
        except operator.UnexpectedAnswerError as error:
            self._printer.print_error(codes.Code.DAEMON_UNREACHABLE, str(error))
            return exits.Exit.UNREACHABLE
        self._printer.print_answer(answer, progress)
        return _exit_code(answer, progress)

    def run_orders(self, orders: Iterable[str]) -> exits.Exit:
        """Send orders up to the first that fails, and return the exit code of the last one."""
        for text in orders:
            result = self.run_order(text)
            if result is not exits.Exit.OK:
                return result
        return exits.Exit.OK

    def run_prompt(self, read_line: Callable[[], str]) -> exits.Exit:
        """Send the orders that a user types until the end of input.

        An interrupt discards only the current line. Returns the exit code of the last order.

        Args:
            read_line: Returns the next line; raises EOFError at the end of input.
        """
        result = exits.Exit.OK
        while True:
            try:
                text = read_line().strip()
            except KeyboardInterrupt:
                continue
            except EOFError:
                return result
            if text in _EXIT_COMMANDS:
                return result
            if text:
                result = self.run_order(text)

    def _wait_until_in_force(self, answer: operator.Answer) -> operator.Progress | None:
        """Wait until an accepted order is in force in all instances, for at most `wait_s`.

        Returns the last progress, or None if the answer does not accept an order.
        """
        if answer.code != codes.Code.ORDER_ACCEPTED.number or answer.version is None:
            return None
        deadline = self.clock() + self.wait_s
        progress = self._client.fetch_progress(answer.version)
        while not progress.complete and self.clock() < deadline:
            self._printer.show_progress(progress)
            self.sleep(_POLL_INTERVAL_S)
            progress = self._client.fetch_progress(answer.version)
        return progress


def _exit_code(answer: operator.Answer, progress: operator.Progress | None) -> exits.Exit:
    if not answer.accepted:
        return exits.Exit.REFUSED
    if progress is not None and not progress.complete:
        return exits.Exit.NOT_IN_FORCE
    return exits.Exit.OK
