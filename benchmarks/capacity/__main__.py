"""The command line of the capacity measurements; the package's docstring describes each command."""

from __future__ import annotations

import collections.abc
import functools
import typing

import defopt
import loguru

from benchmarks.capacity import fleet_costs, loss_costs, membership_costs, node_costs, pool_owner_costs, target_costs


class Step(typing.NamedTuple):
    """One measurement of `everything`: its printed title, and the functions that run it in full or at small sizes."""

    title: str
    full: collections.abc.Callable[[], None]
    small: collections.abc.Callable[[], None]


STEPS = (
    Step(
        "lists",
        membership_costs.lists,
        functools.partial(membership_costs.lists, sizes=[8, 32], listed=[36, 260], pools=[1, 8], repeats=2),
    ),
    Step(
        "tail", membership_costs.tail, functools.partial(membership_costs.tail, sizes=[8, 32], pools=[1, 8], repeats=2)
    ),
    Step(
        "records",
        pool_owner_costs.records,
        functools.partial(pool_owner_costs.records, sizes=[1_000, 10_000], repeats=2),
    ),
    Step(
        "elects",
        pool_owner_costs.selections,
        functools.partial(pool_owner_costs.selections, listed=[9, 90], sizes=[1_000, 10_000], repeats=2),
    ),
    Step(
        "prefixes",
        pool_owner_costs.prefixes,
        functools.partial(pool_owner_costs.prefixes, sizes=[15_000, 150_000], repeats=2),
    ),
    Step("routes", node_costs.routes, functools.partial(node_costs.routes, sizes=[100, 500], repeats=2)),
    Step(
        "places",
        node_costs.placements,
        functools.partial(
            node_costs.placements,
            listed=[9, 90],
            keys=[16, 64],
            parts=[2_600, 5_200],
            sizes=[1_000, 2_000],
            pools=[1, 2],
            repeats=2,
        ),
    ),
    Step(
        "fleet", fleet_costs.fleet, functools.partial(fleet_costs.fleet, sizes=[8, 16], listed=[36, 72], pools=[1, 2])
    ),
    Step("losses", loss_costs.losses, functools.partial(loss_costs.losses, sizes=[8, 16], repeats=1)),
    Step("exchange", fleet_costs.exchange, functools.partial(fleet_costs.exchange, listed=26, rate=30, seconds=2)),
    Step(
        "streams",
        fleet_costs.streams,
        functools.partial(fleet_costs.streams, rates=[5, 10], events=[12, 24], repeats=1),
    ),
    Step("sockets", node_costs.sockets, functools.partial(node_costs.sockets, sizes=[0, 100], calls=100, repeats=2)),
)


def everything(*, small: bool = False) -> None:
    """Run all measurements, one after the other.

    :param small: measure at a few small sizes only
    """
    loguru.logger.remove()
    for step in STEPS:
        print(step.title)
        measure = step.small if small else step.full
        measure()


def main() -> None:
    """Run the measurement that the command line names."""
    loguru.logger.remove()
    defopt.run(
        [
            membership_costs.lists,
            membership_costs.tail,
            pool_owner_costs.records,
            pool_owner_costs.selections,
            pool_owner_costs.prefixes,
            node_costs.routes,
            node_costs.placements,
            node_costs.sockets,
            fleet_costs.fleet,
            fleet_costs.streams,
            fleet_costs.exchange,
            loss_costs.losses,
            everything,
            target_costs.target,
        ]
    )


if __name__ == "__main__":
    main()
