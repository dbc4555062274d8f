"""The address of the platform that nodes poll for the worker list."""

import dataclasses

import pytest

from iriswheel.node import platform_listing
from iriswheel.transport import message
from simulation import simulated_cluster


def test_nodes_poll_the_platform_address_of_the_reloaded_options(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = simulated_cluster.SimulatedCluster(3, "small", long_rate=0, short_rate=0, conversations=0)
    cluster.probing = False
    cluster.begin()
    cluster.advance(1)
    asked: set[tuple[str, int]] = set()

    async def note(_listing: platform_listing.PlatformListing, host: str, port: int) -> list[message.Worker]:
        asked.add((host, port))
        raise ValueError("there is no list")

    monkeypatch.setattr(platform_listing.PlatformListing, "_fetch_all", note)
    for node in cluster.nodes.values():
        node.reload_options(dataclasses.replace(node.options, platform="10.0.9.9:9000"))
    cluster.advance(3)
    assert asked == {("10.0.9.9", 9000)}
