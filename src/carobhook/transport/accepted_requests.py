"""A client's request with its routing decision, and its final outcome."""

import attrs

from carobhook.coordination import refusals
from carobhook.protocol import http1
from carobhook.state import client_accounts, ids, routing
from carobhook.transport import client_connections


@attrs.frozen
class AcceptedRequest:
    """A client's request with the routing decision that was made on its arrival.

    Attributes:
        request: The client's request.
        id: Id of the request in the slot requests of this instance.
        client_request_id: Id that the client gave to this request, or None. For the client,
            which may send the request again, it is the id of an attempt.
        route: Route of the request.
        service: Service that must run the request.
        region: Region whose dispatcher is asked for a slot first.
        fallback: Region whose dispatcher is asked if the first one refuses, or None.
        priority: Rank of the request; 0 is the most urgent.
        object_key: Key of the object that the request concerns, or None.
        target_at: Monotonic time in seconds after which a response is late and worth less.
        deadline_at: Monotonic time in seconds by which the client gets a final response.
        config_version: Version of the configuration that the request was routed with.
        domain: Failure domain of this instance.
        called: Head as the client sent it, if it named its service and no route had its path;
            ``request`` has the head for that service. None for a request with a route.
        account: Client account of the request, or None.
        account_terms: That account by the configuration that the request was routed with.
    """

    request: client_connections.ClientRequest
    id: ids.RequestId
    client_request_id: str | None
    route: routing.Route
    service: ids.Service
    region: ids.Region
    fallback: ids.Region | None
    priority: int
    object_key: str | None
    target_at: float
    deadline_at: float
    config_version: int
    domain: ids.FailureDomain | None = None
    called: http1.RequestHead | None = None
    account: ids.Account | None = None
    account_terms: client_accounts.ClientAccount | None = None


@attrs.frozen
class RequestOutcome:
    """Final outcome of a request for its client.

    Attributes:
        accepted: The request.
        status: HTTP status of the response; 0 if the client had disconnected.
        refusal: Refusal of the request, or None if a server's response was sent. It is sent to
            the client unless the client had disconnected.
        server: Server that the request was last sent to, or None.
        attempts: Number of attempts in which the request may have reached a server.
        slot_wait_s: Seconds from arrival until the first slot was granted; until the end if
            none was.
        total_s: Seconds from arrival to the end.
    """

    accepted: AcceptedRequest
    status: int
    refusal: refusals.Refusal | None
    server: ids.Server | None
    attempts: int
    slot_wait_s: float
    total_s: float
