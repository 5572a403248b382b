"""Command `measure`, which simulates scheduling policies under load on virtual time."""

import json
from typing import Annotated

import typer


def measure(
    load: Annotated[
        list[float],
        typer.Option("--load", min=0.05, help="Share of what the slots bear; may be repeated."),
    ] = [0.5, 0.9, 1.2, 1.5, 2.5],  # noqa: B006 - the default is never mutated.
    seed: Annotated[int, typer.Option("--seed")] = 1,
    servers: Annotated[int, typer.Option("--servers", min=1)] = 12,
    slots: Annotated[int, typer.Option("--slots", min=1)] = 4,
    instances: Annotated[int, typer.Option("--instances", min=1)] = 9,
    length_s: Annotated[float, typer.Option("--length", min=1.0, help="Seconds.")] = 30.0,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object a row.")
    ] = False,
) -> None:
    """Compare the dispatcher with a baseline and an ideal scheduler under load.

    Each row has the share of requests answered in time, its ratio to the ideal scheduler's, the
    share of the worst kind, and the time that one answer in a hundred exceeds.
    """
    # Imported here, because other commands do not need the emulator.
    from carobhook.emulator import model, simulation

    if not as_json:
        typer.echo("load  policy      in time  to ideal  worst kind  refused  p99 ms")
    for load_level in load:
        scenario = model.Scenario(load_level, seed, servers, slots, instances, length_s)
        ideal_in_time = simulation.simulate(scenario, "ideal")[""].in_time
        for policy in simulation.POLICIES:
            by_kind = simulation.simulate(scenario, policy)
            overall = by_kind.pop("")
            worst = min(stats.share_in_time for stats in by_kind.values())
            row = {
                "load": load_level,
                "policy": policy,
                "in_time": round(overall.share_in_time, 3),
                "to_ideal": round(overall.in_time / max(1, ideal_in_time), 3),
                "worst_kind": round(worst, 3),
                "refused": round(overall.refused / max(1, overall.total), 3),
                "p99_ms": round(overall.p99_s() * 1000),
            }
            if as_json:
                typer.echo(json.dumps(row))
            else:
                typer.echo(
                    f"{load_level:<5g} {policy:<11} {row['in_time']:>7}  {row['to_ideal']:>8}  "
                    f"{row['worst_kind']:>10}  {row['refused']:>7}  {row['p99_ms']:>6}"
                )
