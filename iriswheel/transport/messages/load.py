"""The message that carries the load of workers between nodes and cores."""

import typing

import iriswheel.transport.messages.base as message_base

# Worker, requests running there, prompt tokens not read yet, suspicion in percent.
LoadRow: typing.TypeAlias = tuple[str, int, int, int]


class LoadReport(message_base.Message, tag="Loads", frozen=True):
    """Load in flight.

    From a node to its core: its own. Between cores: the sum of a core's nodes. From a core to a
    node: the sum of all other nodes. Only what changed, unless `complete`.
    """

    sender: str
    complete: bool
    rows: dict[str, list[LoadRow]]  # by pool
