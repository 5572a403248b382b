"""Runs the demo deployment in one process."""

import random
from typing import Any

import attrs
import typer
from twisted.internet import defer

from carobhook import demo, entry_settings, events, logs
from carobhook.platform import names, store
from carobhook.standins import memory_store, platform_client, platform_store, service_group
from carobhook.transport import entry_daemon

_REQUESTS_PER_S = 10.0
# Duration of one run of the client; a new run follows until the demo stops.
_TRAFFIC_RUN_S = 60.0
_STORE_TIMEOUT_S = 2.0


@attrs.define
class LocalDemo:
    """The store, backend servers, entry instances and clients of the demo in one reactor."""

    _reactor: Any
    _layout: demo.Layout
    _daemons: list[entry_daemon.EntryDaemon] = attrs.field(factory=list, init=False)
    _stopping: bool = attrs.field(default=False, init=False)

    async def start(self) -> None:
        """Start the deployment, print how to use it and start sending traffic."""
        store_server = platform_store.PlatformStoreServer(
            self._reactor, memory_store.MemoryStore()
        )
        store_server.listen(demo.HOST, self._layout.ports.store)
        store_server.put(names.CONFIG_KIND, names.CONFIG_NAME, demo.config())
        store_client = store.PlatformStore(
            self._reactor, self._layout.store_address, _STORE_TIMEOUT_S
        )
        await service_group.ServiceGroup(self._reactor, store_client).start(
            self._layout.servers
        )
        for index in range(len(self._layout.instances)):
            settings = entry_settings.loads(self._layout.settings_text(index))
            daemon = entry_daemon.EntryDaemon(settings, self._reactor)
            await daemon.start()
            self._daemons.append(daemon)
        typer.echo(self._layout.guide_text(self._layout.token))
        defer.ensureDeferred(self._send_traffic()).addErrback(_log_failure)

    async def stop(self) -> None:
        """Stop every entry instance gracefully."""
        typer.echo("stopping")
        self._stopping = True
        await defer.DeferredList(
            [defer.ensureDeferred(daemon.stop()) for daemon in self._daemons]
        )

    async def _send_traffic(self) -> None:
        """Send requests at a low rate until the demo stops."""
        client = platform_client.PlatformClient(
            self._reactor, self._layout.directory_addresses, "addis", "addis-a", random.Random()
        )
        while not self._stopping:
            await client.run(demo.request_plans(), _REQUESTS_PER_S, _TRAFFIC_RUN_S)


def _log_failure(reason: Any) -> None:
    logs.error(events.Event.UNHANDLED_ERROR, text=reason.getErrorMessage())
