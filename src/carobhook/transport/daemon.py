"""The daemon: one entry instance and the sockets it serves."""

import secrets
import time
import typing

from twisted.internet import task

from carobhook import metrics
from carobhook import settings as settings_module
from carobhook.coordination import budgeted_store, duties, journal, ownership
from carobhook.protocol import codec, messages
from carobhook.state import ids, members
from carobhook.transport import (
    accounting,
    backends,
    frontend,
    instance,
    objectapi,
    operators,
    peers,
    records,
    sockets,
    tls,
)

_FLUSH_LIMIT_S = 5.0
_FLUSH_POLL_S = 0.05
_URGENT_KINDS = (duties.KIND, ownership.KIND, journal.HEAD_KIND, records.KIND)


def _host_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class Daemon:
    """One entry instance with its sockets.

    Args:
        settings: Its settings.
        reactor: The reactor.

    Raises:
        tls.TlsFilesError: A file of the settings' table tls cannot be used.
    """

    def __init__(self, settings: settings_module.Settings, reactor: typing.Any) -> None:
        self._settings = settings
        self._reactor = reactor
        own = settings.instance
        incarnation = ids.Incarnation(secrets.token_hex(ids.INCARNATION_LENGTH // 2))
        identity = peers.Identity(own.name, incarnation, settings.security.peer_key.encode())
        self._contexts = tls.load(settings.tls)
        self._hub = peers.PeerHub(
            reactor,
            identity,
            self._received,
            codec,
            self._greet,
            self._contexts.peers if self._contexts else None,
        )
        self._client = backends.BackendClient(reactor)
        api = objectapi.HttpObjectStore(
            settings.store.url, own.name, settings.store.timeout_s, reactor
        )
        store = budgeted_store.BudgetedStore(api, reactor, _URGENT_KINDS)
        ports = instance.Ports(
            reactor, time.time, store, self._client, self._hub, settings.limits
        )
        self._instance = instance.Instance(own, incarnation, ports)
        self._listeners: list[typing.Any] = []
        gathered = metrics.create(settings.metrics)
        self._accounting = accounting.Accounting(
            reactor, gathered, self._instance, lambda: self._site.open_connections
        )
        self._site = self._frontend().site(settings.limits)

    @property
    def phase(self) -> members.Phase:
        """Return the phase of this instance."""
        return self._instance.phase

    async def start(self) -> None:
        """Listen, and begin to follow the object API and the peers.

        Raises:
            twisted.internet.error.CannotListenError: An address is in use.
        """
        own = self._settings.instance
        self._hub.listen(*_host_port(own.peers))
        self._listen(self._site, own.http)
        self._listen(self._operator_api().site(), own.operators)
        self._instance.start()
        self._accounting.start()

    async def stop(self) -> None:
        """Leave without cutting a request, then close all sockets; once only."""
        if self._site.leaving:
            return
        self._site.leaving = True
        await self._instance.stop(self._stop_accepting)
        await self._flush_answers()
        await self._hub.stop()
        await self._client.stop()
        self._accounting.stop()

    def _stop_accepting(self) -> None:
        for listener in self._listeners:
            listener.stopListening()

    async def _flush_answers(self) -> None:
        """Wait until callers have taken their answers."""
        give_up_at = self._reactor.seconds() + _FLUSH_LIMIT_S
        self._site.close_idle()
        while self._site.open_connections and self._reactor.seconds() < give_up_at:
            await task.deferLater(self._reactor, _FLUSH_POLL_S, lambda: None)

    def _received(self, sender: ids.InstanceId, message: messages.Message) -> None:
        self._instance.received(sender, message)

    def _greet(self, address: str) -> None:
        self._instance.greet(address)

    def _listen(self, site: typing.Any, address: str) -> None:
        host, port = _host_port(address)
        context = self._contexts.server if self._contexts else None
        self._listeners.append(sockets.listen(self._reactor, host, port, site, context))

    def _frontend(self) -> frontend.Frontend:
        return frontend.Frontend(
            frontend.Handlers(
                config=lambda: self._instance.config,
                look_up=self._accounting.look_up,
                run=self._instance.run,
                cancel=self._instance.cancel,
                ready=lambda: self._instance.ready,
                seconds=self._reactor.seconds,
                call_later=self._reactor.callLater,
                ended=self._accounting.ended,
            )
        )

    def _operator_api(self) -> operators.OperatorApi:
        return operators.OperatorApi(
            self._settings.security.operators,
            self._accounting.submit,
            self._instance.in_force,
            self._settings.security.readers,
        )
