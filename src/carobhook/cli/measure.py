"""Command `measure`, which simulates scheduling policies under load on virtual time."""

import json
import typing
from collections.abc import Collection, Iterator, Mapping
from typing import Annotated

import typer

if typing.TYPE_CHECKING:
    from carobhook.emulator import model, simulation

_HEADING = (
    "load  policy                   in time  to ideal  by value  worst kind"
    "  route  account  refused  refusals  p99 ms"
)


def measure(
    load: Annotated[
        list[float],
        typer.Option("--load", min=0.05, help="Share of what the slots bear; may be repeated."),
    ] = [0.5, 0.9, 1.2, 1.5, 2.0, 2.5],  # noqa: B006 - the default is never mutated.
    seed: Annotated[int, typer.Option("--seed")] = 1,
    servers: Annotated[int, typer.Option("--servers", min=1)] = 12,
    slots: Annotated[int, typer.Option("--slots", min=1)] = 4,
    instances: Annotated[int, typer.Option("--instances", min=1)] = 9,
    length_s: Annotated[float, typer.Option("--length", min=1.0, help="Seconds.")] = 30.0,
    customers: Annotated[
        bool,
        typer.Option(
            "--customers",
            help="Load of two customers with accounts, one of which floods, and with clients "
            "that come back; 30 servers of 2 slots.",
        ),
    ] = False,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object a row.")
    ] = False,
) -> None:
    """Compare the dispatcher with a baseline and an ideal scheduler under load.

    Each row has the share of requests answered in time, its ratio to the ideal scheduler's, the
    ratio by value to the ideal scheduler by value, the share of the worst kind, the ratios of
    the worst route and the worst account (those that flood left out) to the share of all, and
    the time that one answer in a hundred exceeds.
    """
    # Imported here, because other commands do not need the emulator.
    from carobhook.emulator import model, simulation

    if not as_json:
        typer.echo(_HEADING)
    for load_level in load:
        if customers:
            scenario = model.customer_scenario(load_level, seed, length_s)
        else:
            scenario = model.Scenario(load_level, seed, servers, slots, instances, length_s)
        outcomes = {
            policy: simulation.simulate_groups(scenario, policy)
            for policy in simulation.POLICIES
        }
        for row in _rows(scenario, outcomes):
            typer.echo(json.dumps(row) if as_json else _format_row(row))


def _rows(
    scenario: "model.Scenario", outcomes: "Mapping[str, simulation.Outcomes]"
) -> Iterator[dict[str, typing.Any]]:
    """Yield one row for each policy.

    Args:
        scenario: Servers and load.
        outcomes: Statistics of each policy.
    """
    flooding = [account.name for account in scenario.accounts if account.flood_factor > 1]
    ideal_in_time = outcomes["ideal"].overall.in_time
    ideal_value = outcomes["ideal-by-value"].overall.value
    for policy, outcome in outcomes.items():
        figures = _figures(outcome, flooding, ideal_in_time, ideal_value)
        yield {"load": scenario.load, "policy": policy, **figures}


def _figures(
    outcome: "simulation.Outcomes",
    flooding: Collection[str],
    ideal_in_time: int,
    ideal_value: float,
) -> dict[str, float]:
    """Return the figures of one row."""
    overall = outcome.overall
    worst_kind = min(stats.share_in_time for stats in outcome.by_kind.values())
    return {
        "in_time": round(overall.share_in_time, 3),
        "to_ideal": round(overall.in_time / max(1, ideal_in_time), 3),
        "by_value": round(overall.value / max(1.0, ideal_value), 3),
        "worst_kind": round(worst_kind, 3),
        "worst_route": round(outcome.worst_kind_ratio(), 3),
        "worst_account": round(outcome.worst_account_ratio(flooding), 3),
        "refused": round(overall.refused / max(1, overall.total), 3),
        "refusals": overall.refusals,
        "p99_ms": round(overall.p99_s() * 1000),
    }


def _format_row(row: dict[str, typing.Any]) -> str:
    """Return a row as a line of the table."""
    return (
        f"{row['load']:<5g} {row['policy']:<24} {row['in_time']:>7}  {row['to_ideal']:>8}  "
        f"{row['by_value']:>8}  {row['worst_kind']:>10}  {row['worst_route']:>5}  "
        f"{row['worst_account']:>7}  {row['refused']:>7}  {row['refusals']:>8}  "
        f"{row['p99_ms']:>6}"
    )
