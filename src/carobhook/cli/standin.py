"""Commands `standin ...`, which run stand-ins of the store, backend servers and clients."""

import json
import pathlib
import random
from typing import Annotated

import typer

from carobhook.cli import exits

app = typer.Typer(
    help="Small stand-ins for tests and the demo; not for production.", no_args_is_help=True
)

_Host = Annotated[str, typer.Option("--host", help="Address to listen on.")]


@app.command(name="store")
def store(
    host: _Host = "127.0.0.1",
    port: Annotated[int, typer.Option("--port", min=1, max=65535)] = 18300,
    config: Annotated[
        pathlib.Path | None,
        typer.Option("--config", help="JSON file with the first routing configuration."),
    ] = None,
) -> None:
    """Run the platform's store in memory."""
    from twisted.internet import reactor

    from carobhook.cli import reactor_runner
    from carobhook.platform import names
    from carobhook.standins import memory_store, platform_store

    spec = None
    if config is not None:
        try:
            spec = json.loads(config.read_text("utf-8"))
        except (OSError, ValueError) as error:
            exits.exit_with(exits.Exit.USAGE, f"error: --config {config}: {error}")

    async def _start() -> None:
        server = platform_store.PlatformStoreServer(reactor, memory_store.MemoryStore())
        server.listen(host, port)
        if spec is not None:
            server.put(names.CONFIG_KIND, names.CONFIG_NAME, spec)

    reactor_runner.run_until_stopped(reactor, _start)


@app.command(name="servers")
def servers(
    store_address: Annotated[str, typer.Option("--store", help="HOST:PORT of the store.")],
    file: Annotated[
        pathlib.Path,
        typer.Option(
            "--file",
            help="JSON list of servers: name, service, zone, address, slots, work_s.",
        ),
    ],
) -> None:
    """Run backend servers that enter themselves into the store."""
    from twisted.internet import reactor

    from carobhook.cli import reactor_runner
    from carobhook.platform import store as store_module
    from carobhook.standins import service_group

    try:
        plans = service_group.read_plans(file)
    except (OSError, ValueError) as error:
        exits.exit_with(exits.Exit.USAGE, f"error: --file {file}: {error}")

    async def _start() -> None:
        client = store_module.PlatformStore(reactor, store_address, 2.0)
        await service_group.ServiceGroup(reactor, client).start(plans)

    reactor_runner.run_until_stopped(reactor, _start)


@app.command(name="clients")
def clients(
    *,
    directory: Annotated[
        list[str], typer.Option("--directory", metavar="HOST:PORT", help="May be repeated.")
    ],
    host: Annotated[str, typer.Option("--host", help="Host of the requests.")],
    repeatable: Annotated[
        list[str], typer.Option("--repeatable", help="Path prefix; may be repeated.")
    ] = [],  # noqa: B006 - the default is never mutated.
    once: Annotated[
        list[str],
        typer.Option("--once", help="Path prefix of what may run once; may be repeated."),
    ] = [],  # noqa: B006 - never mutated.
    region: Annotated[str, typer.Option("--region")] = "",
    failure_domain: Annotated[str, typer.Option("--failure-domain")] = "",
    rate: Annotated[float, typer.Option("--rate", min=0.01, help="Requests a second.")] = 20.0,
    duration_s: Annotated[float, typer.Option("--duration", min=0.1, help="Seconds.")] = 10.0,
    seed: Annotated[int, typer.Option("--seed")] = 0,
    key: Annotated[str, typer.Option("--key", help="Key of the client account.")] = "",
) -> None:
    """Send requests at an open rate, then print a report as JSON."""
    from twisted.internet import defer, reactor, task

    from carobhook.platform import names
    from carobhook.standins import platform_client

    plans = [platform_client.RequestPlan(host, prefix) for prefix in repeatable]
    plans += [platform_client.RequestPlan(host, prefix, repeatable=False) for prefix in once]
    if not plans:
        exits.exit_with(exits.Exit.USAGE, "error: give --repeatable or --once at least once")
    headers = ((names.API_KEY.encode(), key.encode()),) if key else ()
    client = platform_client.PlatformClient(
        reactor, directory, region, failure_domain, random.Random(seed), headers
    )

    async def _run(_reactor: object) -> None:
        await client.run(plans, rate, duration_s)
        typer.echo(client.report.to_json())
        client.stop()

    task.react(lambda loop: defer.ensureDeferred(_run(loop)))
