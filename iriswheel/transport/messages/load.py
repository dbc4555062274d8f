"""The message that carries the load of workers between nodes and core machines."""

import typing

import iriswheel.transport.messages.base as message_base

# Worker id, requests running there, prompt tokens that it has still to prefill, suspicion that it is faulty (percent).
LoadRow: typing.TypeAlias = tuple[str, int, int, int]


class LoadReport(message_base.Message, tag="Loads", frozen=True):
    """The load of requests in flight, by pool and worker.

    A node sends its core machine the node's own load. Core machines send each other the sum over their nodes. A core
    machine sends a node the sum over all other nodes. Unless `complete`, only rows that changed are sent.
    """

    sender: str
    complete: bool
    rows: dict[str, list[LoadRow]]  # pool -> rows
