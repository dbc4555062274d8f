"""The command line of the measurements whose results docs/measurements.md records.

python -m benchmarks.measure hop
python -m benchmarks.measure saturate
python -m benchmarks.measure selections
python -m benchmarks.measure slices
python -m benchmarks.measure recovery
python -m benchmarks.measure capacity
"""

from __future__ import annotations

import defopt

from benchmarks import process_costs, simulated_costs


def capacity(*, small: bool = False) -> None:
    """Run all measurements of docs/CAPACITY.md, one after the other; benchmarks.capacity runs them one by one.

    :param small: measure at a few small sizes only
    """
    import benchmarks.capacity.__main__ as slopes

    slopes.everything(small=small)


if __name__ == "__main__":
    defopt.run(
        [
            process_costs.hop,
            process_costs.saturate,
            process_costs.selections,
            simulated_costs.slices,
            simulated_costs.recovery,
            simulated_costs.scale,
            simulated_costs.sizes,
            capacity,
        ]
    )
