"""Decides which requests a connection may carry, so that none gets the answer to another.

Load pattern: servers refuse many requests, which are sent again at once. A server may send a
response a second time, as late as the next one is due. The copy bears the id of its request, so
it can be told from the response to another request, but not from that to the same request on
the same connection. A response without an id can be told from none.
"""

import array

import xxhash

# Requests that one connection carries at most. It bounds the memory of a connection and the
# time of a look-up, and costs a new connection for as many requests.
_MAX_REQUESTS = 256


class CarriedRequests:
    """Ids of the requests that one connection has carried.

    Only a digest of each id is kept. Two ids with one digest cost a new connection.
    """

    def __init__(self) -> None:
        self._digests = array.array("Q")
        self._has_unnamed = False

    @property
    def is_exhausted(self) -> bool:
        """Return whether the connection may carry no further request, whatever its id."""
        return self._has_unnamed or len(self._digests) >= _MAX_REQUESTS

    def may_carry(self, request_id: str | None) -> bool:
        """Return whether the response to a request could be told from copies of earlier ones.

        Args:
            request_id: Id that the server repeats in its response, or None if it has none, so
                that it needs a connection of its own.
        """
        if self.is_exhausted:
            return False
        if request_id is None:
            return not self._digests
        return _digest(request_id) not in self._digests

    def add(self, request_id: str | None) -> None:
        """Record a request that is sent."""
        if request_id is None:
            self._has_unnamed = True
        else:
            self._digests.append(_digest(request_id))

    def record_unnamed_response(self) -> None:
        """Record that the response to the latest request bore no id, and so would its copy."""
        self._has_unnamed = True


def _digest(request_id: str) -> int:
    return xxhash.xxh3_64_intdigest(request_id.encode("utf-8", "surrogateescape"))
