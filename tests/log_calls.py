"""Finds the calls of `carobhook.logs` in the source, by their syntax."""

import ast
import pathlib

import carobhook

SOURCE = pathlib.Path(carobhook.__file__).parent
_METHODS = {"event", "warning", "error", "debug"}


def find():
    """Yield the syntax tree of each call that logs a line, in all modules."""
    for path in SOURCE.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in _METHODS
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "logs"
            ):
                yield node
