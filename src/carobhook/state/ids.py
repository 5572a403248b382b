"""Types of the identifiers of instances, servers, services, requests, orders and versions."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
"""Name of one entry instance; it stays the same across restarts."""

Incarnation = NewType("Incarnation", str)
"""Random id of one run of an instance's daemon; it changes with each restart."""

INCARNATION_LENGTH = 16
"""Number of hexadecimal digits of an incarnation."""

Region = NewType("Region", str)
FailureDomain = NewType("FailureDomain", str)
Service = NewType("Service", str)
Server = NewType("Server", str)
"""Id of one backend server."""

Account = NewType("Account", str)
"""Name of a client account."""

RequestId = NewType("RequestId", str)
OrderId = NewType("OrderId", str)
"""Id that an operator's client assigns to an order; a resent order keeps its id."""

Version = NewType("Version", int)
"""Version number of the configuration or of the orders; it increases with each change."""
