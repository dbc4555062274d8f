"""The kinds of requests that clients send, and the random sizes of their contents."""

from __future__ import annotations

import dataclasses
import math
import random
import typing


class PartKind(typing.NamedTuple):
    """A level of a prompt that requests share.

    Attributes:
        mean_tokens: Mean length of a part.
        spread: Standard deviation of the length's logarithm.
        variants: How many different parts there are.
        skew: From 0 (all alike) to 1 (only the first): how much more often the first variants come.
    """

    mean_tokens: int
    spread: float
    variants: int
    skew: float


class SizeKind(typing.NamedTuple):
    """A random size: its mean, the standard deviation of its logarithm, and its upper limit."""

    mean: int
    spread: float
    maximum: int


OWN_TOKENS = SizeKind(290, 1.4, 1800)
EVENT_COUNT = SizeKind(11, 1.4, 45)


@dataclasses.dataclass
class RequestKind:
    """A kind of request.

    Attributes:
        name: Its name in the event log.
        host: The host that requests name.
        path: The path of the route.
        category: Whether an answer is a stream; otherwise whether a request may run more than once.
        resumable: Whether a stream may be resumed after its last event.
        urgency: The urgency of the route.
        aim_ms: Within what time the first bytes of an answer are worth the full value.
        pause_ms: The longest pause between events that is worth it.
        deadline_ms: After what time an answer is worth nothing.
        sends: How often the fleet may send a request to workers.
        more_attempts: How often a client tries again.
        value: What a request is worth whose answer is in aim.
        late_value: What it is worth when late.
        share: The share of this kind among all requests, against the shares of others.
        parts: The shared parts of a prompt, from the outermost on.
        own: The tokens of the part that a request shares with no other.
        events: How many events an answer has.
        event_tokens: Tokens of an event.
        body_bytes: Mean length of the request's body.

    >>> RequestKind("desk").category
    'stream'
    """

    name: str
    host: str = "desk.example"
    path: str = "/desk/"
    category: typing.Literal["stream", "may", "once"] = "stream"
    resumable: bool = False
    urgency: int = 0
    aim_ms: int = 400
    pause_ms: int = 200
    deadline_ms: int = 5_000
    max_sends: int = 2
    max_retries: int = 1
    value: float = 3.0
    late_value: float = 0.9
    share: float = 1.0
    parts: tuple[PartKind, ...] = (PartKind(55, 0.4, 40, 0.0), PartKind(37, 0.7, 1400, 0.3))
    own: SizeKind = OWN_TOKENS
    events: SizeKind = EVENT_COUNT
    event_tokens: int = 4
    body_bytes: int = 770

    @property
    def is_stream(self) -> bool:
        """Whether its answer is a stream of events."""
        return self.category == "stream"

    @property
    def is_idempotent(self) -> bool:
        """Whether a client may send it again though it may have run."""
        return self.category == "may" or self.resumable


def draw(rng: random.Random, mean: float, spread: float, maximum: float = 1e9) -> int:
    """A random size, log-normal round a mean, at least 1.

    >>> import random
    >>> draw(random.Random(1), 50, 0)
    50
    """
    if not spread:
        return max(1, round(mean))
    return max(1, min(round(maximum), round(rng.lognormvariate(math.log(mean) - spread**2 / 2, spread))))


def draw_variant(rng: random.Random, variants: int, skew: float) -> int:
    """One of so many variants, the first ones more often.

    >>> import random
    >>> draw_variant(random.Random(1), 1, 0.3)
    0
    """
    return min(variants - 1, int(variants * rng.random() ** (1 / (1 - skew)))) if skew < 1 else 0
