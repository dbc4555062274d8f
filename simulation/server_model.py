"""The product's core and node servers, each with a reference to the simulated process that it runs in."""

from __future__ import annotations

import typing

from iriswheel.control import core
from iriswheel.node import node
from simulation import disk_model

if typing.TYPE_CHECKING:
    from iriswheel.dataplane import edge_protocol
    from iriswheel.runtime import options, scheduler
    from simulation import process_model


class SimulatedCore(core.Core):
    """A core that stores its data on the disk of its process's host."""

    def __init__(
        self, process: process_model.SimulatedProcess, runtime: scheduler.Runtime, core_options: options.Options
    ) -> None:
        super().__init__(runtime, disk_model.Disk(process), core_options)
        self.process = process


class SimulatedNode(node.Node):
    """A node that runs in a simulated process."""

    def __init__(
        self,
        process: process_model.SimulatedProcess,
        runtime: scheduler.Runtime,
        node_options: options.Options,
        formats: edge_protocol.EdgeProtocol | None = None,
    ) -> None:
        super().__init__(runtime, node_options, formats=formats)
        self.process = process
