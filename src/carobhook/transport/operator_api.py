"""Answers operators' clients over HTTP: orders, questions, and how far an order is in force."""

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
LIMITS = routing.ClientLimits(max_body_bytes=64 * 1024, idle_timeout_s=60.0)
MAX_CONNECTIONS = 64
MAX_HELD_OCTETS = 1024 * 1024
_RETRY_S = 0.2
_LOADS_WAIT_S = 1.0

_Answer = Callable[[http1.Response], None]


@attrs.frozen
class Roles:
    """Tokens, as SHA-256 hashes in hex by the names of their holders.

    Attributes:
        operators: Those that may order.
        readers: Those that may only ask.
    """

    operators: Mapping[str, str]
    readers: Mapping[str, str]

    def author(self, header: str | None) -> str | None:
        """Return who sent an ``Authorization`` header, or None."""
        return _holder({**self.readers, **self.operators}, header)

    def may_order(self, header: str | None) -> bool:
        """Tell whether the sender of an ``Authorization`` header may order."""
        return _holder(self.operators, header) is not None


def _holder(tokens: Mapping[str, str], header: str | None) -> str | None:
    scheme, _, token = (header or "").partition(" ")
    if scheme.lower() != "bearer":
        return None
    digest = hashlib.sha256(token.encode()).hexdigest()
    return next(
        (name for name, known in tokens.items() if hmac.compare_digest(known, digest)), None
    )


@attrs.frozen
class OperatorPorts:
    """What answers need of the rest of an instance.

    Attributes:
        store: The store.
        view: Returns what this instance knows, given the loads of all shards.
        names: Returns what orders may name.
        ask_loads: Asks all other instances for their loads; returns how many were asked.
        own_loads: Returns the loads of this instance's shards.
    """

    store: objects.ObjectStore
    view: Callable[[list[slot_messages.ShardLoad]], operator_queries.InstanceView]
    names: Callable[[], order_commands.KnownNames]
    ask_loads: Callable[[slot_messages.LoadQuery], int]
    own_loads: Callable[[], list[slot_messages.ShardLoad]]


@attrs.define(eq=False)
class _Gathering:
    """Loads that are being gathered from the instances."""

    missing: int
    loads: list[slot_messages.ShardLoad]
    complete: defer.Deferred


class OperatorApi:
    """Handles the requests of operators' clients.

    Args:
        reactor: Source of time and timers.
        roles: Whose tokens are known.
        ports: What answers need of the rest of the instance.
        wall: Returns the wall-clock time in seconds.
    """

    def __init__(
        self,
        reactor: typing.Any,
        roles: Roles,
        ports: OperatorPorts,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._reactor = reactor
        self._roles = roles
        self._ports = ports
        self._wall = wall
        self._orders = order_store.OrderStore(
            ports.store, lambda: task.deferLater(reactor, _RETRY_S)
        )
        self._gathering: dict[str, _Gathering] = {}
        self._gathered = 0

    def take(self, inbound: client_connections.ClientRequest, answer: _Answer) -> None:
        """Handle one request."""
        running = defer.ensureDeferred(self._handle(inbound))
        running.addErrback(_unexpected)
        running.addCallback(answer)

    def told_loads(self, message: slot_messages.LoadReport) -> None:
        """Take in the loads of another instance."""
        gathering = self._gathering.get(message.id)
        if gathering is None:
            return
        gathering.loads += message.loads
        gathering.missing -= 1
        if gathering.missing <= 0 and not gathering.complete.called:
            gathering.complete.callback(None)

    async def _handle(self, inbound: client_connections.ClientRequest) -> http1.Response:
        head = inbound.head
        path = head.target.partition(b"?")[0].decode("latin-1")
        header = head.get("authorization")
        author = self._roles.author(header)
        if author is None:
            logs.warning("order-unauthenticated", peer=inbound.client)
            return _answer(operator_queries.Answer(codes.Code.ORDER_UNAUTHENTICATED))
        if path == ORDERS_PATH and head.method == b"POST":
            may_order = self._roles.may_order(header)
            return _answer(await self._order(inbound.body, author, may_order))
        version = path.removeprefix(IN_FORCE_PATH)
        if path.startswith(IN_FORCE_PATH) and version.isdigit():
            return self._progress(ids.Version(int(version)))
        return _answer(operator_queries.Answer(codes.Code.ORDER_SYNTAX, f"there is no {path}"))

    def _progress(self, version: ids.Version) -> http1.Response:
        """Return how far a version is in force."""
        view = self._ports.view([])
        missing = operator_queries.instances_without(version, view.live_members)
        changes = view.orders.in_force.changes
        at = next((c.at for c in changes if c.version == version), self._wall())
        plain = {
            "version": version,
            "in_force": len(view.live_members) - len(missing),
            "total": len(view.live_members),
            "missing": missing,
            "seconds": round(max(0.0, self._wall() - at), 3),
        }
        return _json(200, plain)

    async def _order(
        self, body: bytes, author: str, may_order: bool
    ) -> operator_queries.Answer:
        try:
            plain = json.loads(body)
            order = ids.OrderId(str(plain["id"]))
            text = str(plain["text"])
            base = None if plain.get("base") is None else ids.Version(int(plain["base"]))
            statement = language.parse(text)
        except language.StatementSyntaxError as fault:
            return operator_queries.Answer(codes.Code.ORDER_SYNTAX, str(fault))
        except (ValueError, KeyError, TypeError, AttributeError) as problem:
            reason = f"the body must have id and text: {problem!r:.100}"
            return operator_queries.Answer(codes.Code.ORDER_SYNTAX, reason)
        context = order_commands.OrderContext(
            order, author, text, self._wall(), self._ports.names()
        )
        try:
            if isinstance(statement, statements.Command):
                return await self._command(statement, context, base, may_order)
            return await self._question(statement, context)
        except order_commands.OrderError as fault:
            logs.event(
                "order-refused", order=order, author=author, text=text, reason=fault.text
            )
            return operator_queries.Answer(fault.code, fault.text)

    async def _command(
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
        book = await self._orders.submit(command, context, base)
        change = book.change_of(context.order)
        version = change.version if change is not None else book.version
        logs.event(
            "order-accepted",
            order=context.order,
            author=context.author,
            text=context.text,
            version=version,
        )
        return operator_queries.Answer(codes.Code.ORDER_ACCEPTED, "", version)

    async def _question(
        self, query: statements.Query | statements.DryRun, context: order_commands.OrderContext
    ) -> operator_queries.Answer:
        view = self._ports.view(await self._gather_loads())
        if isinstance(query, statements.DryRun):
            return operator_queries.dry_run(query.command, view, context)
        return operator_queries.answer(query, view)

    async def _gather_loads(self) -> list[slot_messages.ShardLoad]:
        """Return the loads of all shards whose instances answer in time."""
        self._gathered += 1
        name = f"{self._gathered:x}"
        asked = self._ports.ask_loads(slot_messages.LoadQuery(name))
        gathering = _Gathering(asked, self._ports.own_loads(), defer.Deferred())
        if asked:
            self._gathering[name] = gathering
            timer = self._reactor.callLater(
                _LOADS_WAIT_S, lambda: gathering.complete.callback(None)
            )
            await gathering.complete
            if timer.active():
                timer.cancel()
            del self._gathering[name]
            if gathering.missing:
                logs.warning("loads-incomplete", missing=gathering.missing)
        return gathering.loads


def _unexpected(reason: typing.Any) -> http1.Response:
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
    return _answer(operator_queries.Answer(code, reason.getErrorMessage()))


def _answer(result: operator_queries.Answer) -> http1.Response:
    info = result.code.value
    plain = {
        "code": info.number,
        "text": result.text or info.text,
        "version": result.version,
        "columns": list(result.columns) or None,
        "rows": [list(row) for row in result.rows] if result.columns else None,
    }
    return _json(info.http_status, plain)


def _json(status: int, plain: typing.Any) -> http1.Response:
    headers = ((b"Content-Type", b"application/json"),)
    return http1.Response(status, b"Answer", headers, json.dumps(plain).encode() + b"\n")
