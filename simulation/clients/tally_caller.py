"""Simulated applications that add to tallies, which are replicated counters, and read them.

They call the control addresses of core machines, the nearest one first.
"""

from __future__ import annotations

import collections.abc
import json
import typing

import loguru

from iriswheel.runtime import units
from simulation import event_log, platform_names
from simulation.clients import control_call

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler

CALL_TIMEOUT_US = 6 * units.SECOND_US  # time limit of a call with all its retries
RETRY_WAIT_US = 100 * units.MILLISECOND_US
MEAN_PAUSE_US = 250 * units.MILLISECOND_US  # between two calls of one application
READ_SHARE = 0.4  # share of reads among all calls
LARGEST_AMOUNT = 9
NEXT_ADDRESS_STATUSES = (0, 429)  # statuses, besides all 5xx, after which the next address is tried

Hook = collections.abc.Callable[[str], object]
Addresses = collections.abc.Callable[[], list[control_call.Address]]

log = loguru.logger.bind(part="users")


class TallyCaller:
    """One application: it adds to some tallies and reads them, one call at a time.

    Each attempt of a call is logged as an event `tally_try`.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        event_log: event_log.EventLog,
        addresses: Addresses,
        name: str,
        tallies: collections.abc.Sequence[str],
    ) -> None:
        """Create an application.

        Args:
            runtime: The clock and the source of random numbers.
            event_log: The event log.
            addresses: Returns the current control addresses, the nearest first.
            name: The name of the application in the event log.
            tallies: The names of the tallies that it uses.
        """
        self.runtime, self.event_log, self.addresses = runtime, event_log, addresses
        self.name, self.tallies = name, tallies
        self.call_count = 0
        self.on_acknowledged: list[Hook] = []  # each called once with the host that acknowledges the next add

    async def run(self, until: int) -> None:
        """Make random calls until a time in microseconds."""
        rng = self.runtime.rng
        while self.runtime.now() < until:
            await self.runtime.sleep(int(rng.expovariate(1 / MEAN_PAUSE_US)))
            tally = rng.choice(self.tallies)
            if rng.random() < READ_SHARE:
                await self.read(tally)
            else:
                await self.add(tally, 1 + rng.randrange(LARGEST_AMOUNT))

    async def add(self, tally: str, amount: int) -> bool:
        """Add to a tally, with retries under the same id; returns whether the add was acknowledged."""
        names = platform_names.TALLY
        identifier = f"{self.runtime.rng.getrandbits(64):016x}"
        raw = json.dumps({names["id"]: identifier, names["amount"]: amount}).encode()
        fields = dict(op="add", tally=tally, id=identifier, amount=amount)
        call = control_call.Call("POST", _path(tally), [], raw)
        return await self._send(call, fields, CALL_TIMEOUT_US) is not None

    async def read(self, tally: str, timeout_us: int = CALL_TIMEOUT_US, purpose: str = "read") -> int | None:
        """Read the sum of a tally; None if no answer came in time.

        Args:
            tally: The name of the tally.
            timeout_us: The time limit of the call with all its retries.
            purpose: "read", or "final" for the reads at the end of the simulated day.
        """
        call = control_call.Call("GET", _path(tally), [])
        body = await self._send(call, dict(op=purpose, tally=tally), timeout_us)
        return None if body is None else _sum_of(body)

    async def _send(self, call: control_call.Call, fields: dict[str, typing.Any], timeout_us: int) -> bytes | None:
        """Call one address after the other until one answers; returns the body of the answer, or None."""
        until, turn = self.runtime.now() + timeout_us, 0
        self.call_count += 1
        while self.runtime.now() < until:
            addresses = self.addresses()
            began = self.runtime.now()
            answer = await control_call.send(self.runtime, call, addresses[turn % len(addresses)])
            self.event_log.put(
                self.runtime.now(),
                "tally_try",
                call=f"{self.name}-{self.call_count}",
                began=began,
                host=answer.host,
                code=answer.status,
                sent=answer.was_sent,
                sum=_sum_of(answer.body) if call.method == "GET" and answer.status == 200 else None,
                **fields,
            )
            if answer.status == 200:
                self._call_hooks(call, answer.host)
                return answer.body
            if answer.status not in NEXT_ADDRESS_STATUSES and answer.status < 500:
                return None
            turn += 1
            await self.runtime.sleep(RETRY_WAIT_US)
        return None

    def _call_hooks(self, call: control_call.Call, host: str) -> None:
        if call.method == "POST":
            hooks, self.on_acknowledged = self.on_acknowledged, []
            for hook in hooks:
                hook(host)


def _path(tally: str) -> str:
    return platform_names.PATHS["tallies"] + tally


def _sum_of(body: bytes) -> int | None:
    """The sum in an answer, or None if the answer contains no sum.

    >>> _sum_of(b'{"sum": 1873}'), _sum_of(b"[]")
    (1873, None)
    """
    try:
        document = json.loads(body)
    except ValueError:
        return None
    found = document.get(platform_names.TALLY["sum"]) if isinstance(document, dict) else None
    return found if type(found) is int else None
