"""The command line of the capacity measurements; the package says what each command measures."""

from __future__ import annotations

import defopt
import loguru

from benchmarks.capacity import fleet_costs, loss_costs, membership_costs, node_costs, pool_owner_costs, target_costs


def everything(*, small: bool = False) -> None:
    """All of them, one after the other.

    :param small: a few sizes only
    """
    loguru.logger.remove()
    print("lists")
    membership_costs.lists(**dict(sizes=[8, 32], listed=[36, 260], pools=[1, 8], repeats=2) if small else {})
    print("tail")
    membership_costs.tail(**dict(sizes=[8, 32], pools=[1, 8], repeats=2) if small else {})
    print("records")
    pool_owner_costs.records(**dict(sizes=[1_000, 10_000], repeats=2) if small else {})
    print("elects")
    pool_owner_costs.selections(**dict(listed=[9, 90], sizes=[1_000, 10_000], repeats=2) if small else {})
    print("prefixes")
    pool_owner_costs.prefixes(**dict(sizes=[15_000, 150_000], repeats=2) if small else {})
    print("routes")
    node_costs.routes(**dict(sizes=[100, 500], repeats=2) if small else {})
    print("places")
    node_costs.placements(
        **dict(listed=[9, 90], keys=[16, 64], parts=[2_600, 5_200], sizes=[1_000, 2_000], pools=[1, 2], repeats=2)
        if small
        else {}
    )
    print("fleet")
    fleet_costs.fleet(**dict(sizes=[8, 16], listed=[36, 72], pools=[1, 2]) if small else {})
    print("losses")
    loss_costs.losses(**dict(sizes=[8, 16], repeats=1) if small else {})
    print("exchange")
    fleet_costs.exchange(**dict(listed=26, rate=30, seconds=2) if small else {})
    print("streams")
    fleet_costs.streams(**dict(rates=[5, 10], events=[12, 24], repeats=1) if small else {})
    print("sockets")
    node_costs.sockets(**dict(sizes=[0, 100], calls=100, repeats=2) if small else {})


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
