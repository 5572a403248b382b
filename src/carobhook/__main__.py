"""Runs the command line for ``python -m carobhook``."""

from carobhook import cli

cli.main()
