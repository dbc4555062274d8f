"""The kinds of requests that clients send, and the random sizes of their contents."""

from __future__ import annotations

import dataclasses
import math
import random
import typing


class PartKind(typing.NamedTuple):
    """One level of the prompt prefixes that requests share.

    Attributes:
        mean_tokens: Mean length of a part.
        spread: Standard deviation of the logarithm of the length.
        variants: The number of different parts on this level.
        skew: The preference for the first variants, from 0 (all equally frequent) to 1 (only the first).
    """

    mean_tokens: int
    spread: float
    variants: int
    skew: float


class SizeKind(typing.NamedTuple):
    """A log-normal distribution of sizes: mean, standard deviation of the logarithm, and upper limit."""

    mean: int
    spread: float
    maximum: int


UNIQUE_TOKENS = SizeKind(290, 1.4, 1800)
EVENT_COUNT = SizeKind(11, 1.4, 45)


@dataclasses.dataclass
class RequestKind:
    """A kind of request, and the route that serves it.

    Attributes:
        name: Its name in the event log.
        host: The value of the Host header.
        path: The path of the route.
        category: "stream" for a streamed answer; otherwise "may" or "once": it may run repeatedly, or only once.
        resumable: Whether a stream may be resumed after its last event.
        urgency: The urgency of the route.
        aim_ms: The time limit for the first bytes of an answer that earns the full value.
        pause_ms: The longest pause between two events of an answer that earns the full value.
        deadline_ms: The time after which an answer earns nothing.
        max_sends: How many times the fleet may send a request to a worker.
        max_retries: How many times a client retries a request.
        value: The value earned by an answer that keeps `aim_ms` and `pause_ms`.
        late_value: The value earned by an answer that does not, but comes before the deadline.
        share: The weight of this kind among all requests.
        parts: The shared prefixes of a prompt, the first one first.
        unique_tokens: The size in tokens of the last part of a prompt, which no other request shares.
        events: The number of events of an answer.
        event_tokens: The number of tokens in an event.
        body_bytes: The mean length of the request body.

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
    unique_tokens: SizeKind = UNIQUE_TOKENS
    events: SizeKind = EVENT_COUNT
    event_tokens: int = 4
    body_bytes: int = 770

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.category == "stream"

    @property
    def is_idempotent(self) -> bool:
        """Whether a client may retry a request that may already have run."""
        return self.category == "may" or self.resumable


def draw(rng: random.Random, mean: float, spread: float, maximum: float = 1e9) -> int:
    """A random size of at least 1, log-normally distributed with a mean.

    >>> import random
    >>> draw(random.Random(1), 50, 0)
    50
    """
    if not spread:
        return max(1, round(mean))
    return max(1, min(round(maximum), round(rng.lognormvariate(math.log(mean) - spread**2 / 2, spread))))


def draw_variant(rng: random.Random, variants: int, skew: float) -> int:
    """The index of a random variant; the larger the skew, the more frequent the first ones are.

    >>> import random
    >>> draw_variant(random.Random(1), 1, 0.3)
    0
    """
    return min(variants - 1, int(variants * rng.random() ** (1 / (1 - skew)))) if skew < 1 else 0
