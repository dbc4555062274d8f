"""The benchmark `sizes`, which measures a simulated cluster in a long run, with the shortest run."""

from typing import ClassVar

import pytest

from benchmarks import simulated_costs
from iriswheel.runtime import units
from simulation import simulated_cluster


class RecordedCluster(simulated_cluster.SimulatedCluster):
    """A cluster that adds itself to a list when it begins, so that the test can inspect it."""

    made: ClassVar[list["RecordedCluster"]] = []

    def begin(self) -> None:
        self.made.append(self)
        super().begin()


class TestSizes:
    def test_the_load_lasts_for_the_whole_run_and_the_sizes_of_kept_data_are_printed(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        monkeypatch.setattr(simulated_cluster, "SimulatedCluster", RecordedCluster)
        monkeypatch.setattr(simulated_costs, "REPORT_MINUTES", 1)
        simulated_costs.sizes(minutes=1, shape="small")
        (cluster,) = RecordedCluster.made
        assert cluster.load.duration_us == 60 * units.SECOND_US
        line = capsys.readouterr().out
        assert line.startswith("1 min: claims ")
        held = dict(part.rsplit(" ", 1) for part in line.removeprefix("1 min: ").strip().split(", "))
        assert len(held) == 23
        assert int(held["sessions"]) > 0
        assert int(held["entries"]) > 0
