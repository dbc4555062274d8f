"""The figures of docs/measurements.md, each a command.

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
    """The slopes of docs/CAPACITY.md, one after the other; benchmarks/capacity has them singly.

    :param small: a few sizes only
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
