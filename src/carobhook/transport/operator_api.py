"""HTTP interface of operators, for orders, queries and the rollout of orders."""

import hashlib
import hmac
import json
import time
import typing
from collections.abc import Callable, Mapping

import attrs
from twisted.internet import defer, task

from carobhook import logs
from carobhook.coordination import objects, operator_queries, order_commands, order_store
from carobhook.protocol import http1, language, order_codec, slot_messages
from carobhook.state import codes, ids, orders, routing, statements
from carobhook.transport import client_connections

ORDERS_PATH = "/v1/orders"
IN_FORCE_PATH = "/v1/in-force/"
CLIENT_LIMITS = routing.ClientLimits(max_body_bytes=64 * 1024, idle_timeout_s=60.0)
MAX_CONNECTIONS = 64
MAX_BUFFERED_BYTES = 1024 * 1024
_STORE_RETRY_DELAY_S = 0.2
# A query is answered without the loads that are not reported within this time.
_LOADS_WAIT_S = 1.0

_Respond = Callable[[http1.Response], None]


@attrs.frozen
class Roles:
    """Accepted tokens by role, as mappings from the owner's name to the token's hash.

    The hashes are SHA-256 in hex.

    Attributes:
        operators: Tokens that allow orders and queries.
        readers: Tokens that allow queries only.
    """

    operators: Mapping[str, str]
    readers: Mapping[str, str]

    def authenticate(self, header: str | None) -> str | None:
        """Return the owner of the token in an ``Authorization`` header, or None if unknown."""
        return _token_owner({**self.readers, **self.operators}, header)

    def may_order(self, header: str | None) -> bool:
        """Return whether the token in an ``Authorization`` header allows orders."""
        return _token_owner(self.operators, header) is not None


def _token_owner(tokens: Mapping[str, str], header: str | None) -> str | None:
    scheme, _, token = (header or "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    digest = hashlib.sha256(token.encode()).hexdigest()
    return next(
        (name for name, accepted in tokens.items() if hmac.compare_digest(accepted, digest)),
        None,
    )


@attrs.frozen
class InstanceAccess:
    """Access to the parts of an instance that orders and queries need.

    Attributes:
        store: The store, which keeps the orders.
        view: Returns the state that queries are answered from, given the loads of all shards.
        known_names: Returns the names that orders may refer to.
        send_load_query: Sends a query to the other instances that can run shards; returns how
            many it was sent to.
        own_loads: Returns the loads of this instance's shards.
        orders_in_force: Returns the orders that this instance applies.
    """

    store: objects.ObjectStore
    view: Callable[[list[slot_messages.ShardLoad]], operator_queries.InstanceView]
    known_names: Callable[[], order_commands.KnownNames]
    send_load_query: Callable[[slot_messages.LoadQuery], int]
    own_loads: Callable[[], list[slot_messages.ShardLoad]]
    orders_in_force: Callable[[], orders.OrderState] = orders.OrderState


@attrs.define(eq=False)
class _LoadCollection:
    """Collection of shard loads from this and the queried instances.

    Attributes:
        pending: Number of queried instances that have not reported yet.
        loads: Loads reported so far.
        done: Fires when all have reported, or after `_LOADS_WAIT_S`.
    """

    pending: int
    loads: list[slot_messages.ShardLoad]
    done: defer.Deferred


class OperatorApi:
    """Handles the requests of operators' clients.

    Args:
        reactor: Source of time and timers.
        roles: Accepted tokens.
        instance: Access to the parts of the instance.
        wall: Returns the wall-clock time in seconds.
    """

    def __init__(
        self,
        reactor: typing.Any,
        roles: Roles,
        instance: InstanceAccess,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._roles = roles
        self._instance = instance
        self._wall = wall
        self._orders = order_store.OrderStore(
            instance.store,
            lambda: task.deferLater(reactor, _STORE_RETRY_DELAY_S),
            instance.orders_in_force,
        )
        self._collections: dict[str, _LoadCollection] = {}
        self._last_query_number = 0

    def handle_request(
        self, request: client_connections.ClientRequest, respond: _Respond
    ) -> None:
        """Handle a request.

        Args:
            request: The request.
            respond: Called once with the response.
        """
        running = defer.ensureDeferred(self._compute_response(request))
        running.addErrback(_error_response)
        running.addCallback(respond)

    def record_load_report(self, message: slot_messages.LoadReport) -> None:
        """Add the loads that another instance reports to the collection that asked for them."""
        collection = self._collections.get(message.id)
        if collection is None:
            return
        collection.loads += message.loads
        collection.pending -= 1
        if collection.pending <= 0 and not collection.done.called:
            collection.done.callback(None)

    async def _compute_response(
        self, request: client_connections.ClientRequest
    ) -> http1.Response:
        head = request.head
        path = head.path
        header = head.get("authorization")
        author = self._roles.authenticate(header)
        if author is None:
            logs.warning("order-unauthenticated", peer=request.client)
            return _encode_answer(operator_queries.Answer(codes.Code.ORDER_UNAUTHENTICATED))
        if path == ORDERS_PATH and head.method == b"POST":
            may_order = self._roles.may_order(header)
            return _encode_answer(await self._execute(request.body, author, may_order))
        version = path.removeprefix(IN_FORCE_PATH)
        if path.startswith(IN_FORCE_PATH) and version.isdigit():
            return self._rollout_response(ids.Version(int(version)))
        return _encode_answer(
            operator_queries.Answer(codes.Code.ORDER_SYNTAX, f"there is no {path}")
        )

    def _rollout_response(self, version: ids.Version) -> http1.Response:
        """Return the response that reports on the rollout of a version of the orders."""
        view = self._instance.view([])
        missing = operator_queries.instances_without(version, view.live_members)
        changes = view.orders.in_force.changes
        accepted_at = next(
            (change.at for change in changes if change.version == version), self._wall()
        )
        content = {
            "version": version,
            "in_force": len(view.live_members) - len(missing),
            "total": len(view.live_members),
            "missing": missing,
            "seconds": round(max(0.0, self._wall() - accepted_at), 3),
        }
        return _json_response(200, content)

    async def _execute(
        self, body: bytes, author: str, may_order: bool
    ) -> operator_queries.Answer:
        try:
            content = json.loads(body)
            order_id = ids.OrderId(str(content["id"]))
            text = str(content["text"])
            base = None if content.get("base") is None else ids.Version(int(content["base"]))
            statement = language.parse(text)
        except language.StatementSyntaxError as error:
            return operator_queries.Answer(codes.Code.ORDER_SYNTAX, str(error))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            reason = f"the body must have id and text: {error!r:.100}"
            return operator_queries.Answer(codes.Code.ORDER_SYNTAX, reason)
        context = order_commands.OrderContext(
            order_id, author, text, self._wall(), self._instance.known_names()
        )
        try:
            if isinstance(statement, statements.Command):
                return await self._submit_command(statement, context, base, may_order)
            return await self._answer_query(statement, context)
        except order_commands.OrderError as error:
            logs.event(
                "order-refused", order=order_id, author=author, text=text, reason=error.text
            )
            return operator_queries.Answer(error.code, error.text)

    async def _submit_command(
        self,
        command: statements.Command,
        context: order_commands.OrderContext,
        base: ids.Version | None,
        may_order: bool,
    ) -> operator_queries.Answer:
        if not may_order:
            logs.warning(
                "order-forbidden", author=context.author, order=context.order, text=context.text
            )
            return operator_queries.Answer(codes.Code.ORDER_FORBIDDEN)
        order_state = await self._orders.submit(command, context, base)
        change = order_state.change_of(context.order)
        version = change.version if change is not None else order_state.version
        logs.event(
            "order-accepted",
            order=context.order,
            author=context.author,
            text=context.text,
            version=version,
        )
        return operator_queries.Answer(codes.Code.ORDER_ACCEPTED, "", version)

    async def _answer_query(
        self, query: statements.Query | statements.DryRun, context: order_commands.OrderContext
    ) -> operator_queries.Answer:
        view = self._instance.view(await self._collect_loads())
        if isinstance(query, statements.DryRun):
            return operator_queries.dry_run(query.command, view, context)
        return operator_queries.answer(query, view)

    async def _collect_loads(self) -> list[slot_messages.ShardLoad]:
        """Return the loads of the shards of this instance, and of those that report in time."""
        self._last_query_number += 1
        query_id = f"{self._last_query_number:x}"
        queried_count = self._instance.send_load_query(slot_messages.LoadQuery(query_id))
        collection = _LoadCollection(
            queried_count, self._instance.own_loads(), defer.Deferred()
        )
        if queried_count:
            self._collections[query_id] = collection
            timer = self._reactor.callLater(
                _LOADS_WAIT_S, lambda: collection.done.callback(None)
            )
            await collection.done
            if timer.active():
                timer.cancel()
            del self._collections[query_id]
            if collection.pending:
                logs.warning("loads-incomplete", missing=collection.pending)
        return collection.loads


def _error_response(reason: typing.Any) -> http1.Response:
    if reason.check(order_codec.MalformedOrdersError):
        logs.error(
            "object-malformed",
            object=f"{orders.STORE_KIND}/{orders.STORE_NAME}",
            error=reason.value,
        )
        code = codes.Code.ORDER_INVALID
    else:
        text = reason.getErrorMessage()
        logs.error("unhandled-error", text=text, trace=reason.getTraceback())
        code = codes.Code.ORDER_UNKNOWN
    return _encode_answer(operator_queries.Answer(code, reason.getErrorMessage()))


def _encode_answer(answer: operator_queries.Answer) -> http1.Response:
    info = answer.code.value
    content = {
        "code": info.number,
        "text": answer.text or info.text,
        "version": answer.version,
        "columns": list(answer.columns) or None,
        "rows": [list(row) for row in answer.rows] if answer.columns else None,
    }
    return _json_response(info.http_status, content)


def _json_response(status: int, content: typing.Any) -> http1.Response:
    headers = ((b"Content-Type", b"application/json"),)
    return http1.Response(status, b"Answer", headers, json.dumps(content).encode() + b"\n")
