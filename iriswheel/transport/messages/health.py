"""Messages between nodes about workers that one of them does not reach: probes and relays."""

import enum

import iriswheel.transport.messages.base as message_base
import iriswheel.transport.messages.membership as membership_messages


class ProbeOutcome(enum.StrEnum):
    """How a worker answered a probe; the field on the wire stays a plain string."""

    ANSWERED = "answer"
    UNRESPONSIVE = "mute"  # it takes the connection and says nothing
    NOT_REACHED = "none"


class ProbeRequest(message_base.Message, tag="Probe", frozen=True):
    """A pool owner asks another node: does this worker answer you?"""

    worker: membership_messages.Worker


class ProbeResponse(message_base.Message, tag="Probed", frozen=True):
    """The answer to `ProbeRequest`."""

    outcome: str  # a `ProbeOutcome`
    load: tuple[int, int] | None  # requests running and queued, where the worker told them


class WorkerUnreachable(message_base.Message, tag="Dark", frozen=True):
    """Nobody reaches this worker: who waits for a first byte from it waits in vain."""

    worker: str


class RelayRequest(message_base.Message, tag="Pass", frozen=True):
    """Ask a member to relay one request to a worker that this node does not reach."""

    worker: str


class RelayResponse(message_base.Message, tag="Passed", frozen=True):
    """The answer to `RelayRequest`."""

    token: str  # admits one request at the member's HTTP port; "" where it can't relay
