"""Identifiers of the things that carobhook steers."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of one entry instance; stable over restarts."""

Incarnation = NewType("Incarnation", str)
"""Random id of one run of an instance's daemon."""

INCARNATION_LENGTH = 16
"""Length of an incarnation in hexadecimal digits."""

Region = NewType("Region", str)
FailureDomain = NewType("FailureDomain", str)
Service = NewType("Service", str)
Server = NewType("Server", str)
"""Name of one backend server."""

RequestId = NewType("RequestId", str)
OrderId = NewType("OrderId", str)
"""Id that an operator's client gives to one order; a repeat carries the same id."""

Version = NewType("Version", int)
"""Number of a change of the configuration or of the orders; versions only rise."""
