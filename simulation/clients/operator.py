"""Operators: they send configurations until they have a clear answer, and read them back."""

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

FIRST_RETRY_WAIT_US = 100 * units.MILLISECOND_US
MAX_RETRY_WAIT_US = units.SECOND_US
CLEAR_ERRORS = (400, 409, 412, 413, 422)
TEMPORARY_ERRORS = (408, 429)
MAX_UNEXPECTED_ERRORS = 3  # other answers 4xx until an operator gives up
LOGGED_BYTES = 200

Document = dict[str, typing.Any]
Hook = collections.abc.Callable[[], object]

log = loguru.logger.bind(part="users")


class Operator:
    """Someone who changes the configuration.

    Attributes:
        first_address: The address that the next change is sent to first.
        lost_share: The share of acknowledgements that are lost on their way.
        last_address: The address that acknowledged last.
        on_send: Called once each, at the next change.
        on_acknowledged: Called once each, at the next acknowledgement.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        event_log: event_log.EventLog,
        addresses: collections.abc.Callable[[], list[control_call.Address]],
        name: str,
    ) -> None:
        """Make an operator who calls at these addresses of core machines."""
        self.runtime, self.event_log, self.addresses, self.name = runtime, event_log, addresses, name
        self.changes = 0
        self.orders = 0
        self.first_address: control_call.Address | None = None
        self.last_address: control_call.Address | None = None
        self.lost_share = 0.0
        self.on_send: list[Hook] = []
        self.on_acknowledged: list[Hook] = []

    # ---- calls --------------------------------------------------------------------------

    async def call_until_clear(
        self, call: control_call.Call, seconds: float = 60, send: str = ""
    ) -> control_call.Answer:
        """Call one core machine after the other until an answer is clear, or the time is up.

        Args:
            call: What is sent.
            seconds: How long to try.
            send: The name of the change in the event log.
        """
        until, wait_us, unexpected_errors = self.runtime.now() + seconds * units.SECOND_US, FIRST_RETRY_WAIT_US, 0
        turn = self.runtime.rng.randrange(100)
        while self.runtime.now() < until:
            addresses = self.addresses()
            address, self.first_address = self.first_address or addresses[turn % len(addresses)], None
            answer = await control_call.send(self.runtime, call, address)
            status, body = answer.status, answer.body
            if status == 200 and call.method != "GET":
                self.last_address = address
                status = self._acknowledged(status, send)
            if status == 200 or status in CLEAR_ERRORS:
                return control_call.Answer(status, body)
            if 400 <= status < 500 and status not in TEMPORARY_ERRORS:
                unexpected_errors += 1
                if unexpected_errors == MAX_UNEXPECTED_ERRORS:
                    return control_call.Answer(status, body)
            turn += 1
            await self.runtime.sleep(wait_us)
            wait_us = min(MAX_RETRY_WAIT_US, wait_us * 3 // 2)
        return control_call.UNCLEAR

    def _acknowledged(self, status: int, send: str) -> int:
        """The status that the operator sees of an acknowledgement: 0 where it is lost on its way."""
        if self.lost_share and self.runtime.rng.random() < self.lost_share:
            self.event_log.put(self.runtime.now(), "acknowledgement_lost", send=send)
            return 0
        hooks, self.on_acknowledged = self.on_acknowledged, []
        for hook in hooks:
            hook()
        return status

    # ---- changes ------------------------------------------------------------------------

    async def put(self, document: Document, base: int, valid: bool = True, seconds: float = 60) -> int:
        """Send a whole configuration on top of a version: the status, 0 without a clear answer."""
        return await self._send("PUT", document, document, base, valid=valid, seconds=seconds)

    async def patch(
        self, change: Document, document: Document, base: int, valid: bool = True, seconds: float = 60
    ) -> int:
        """Send a change, which makes `document` out of the version `base`: the status, 0 without a clear answer."""
        return await self._send("PATCH", change, document, base, valid=valid, seconds=seconds)

    async def _send(
        self, method: str, body: Document, document: Document, base: int, *, valid: bool, seconds: float
    ) -> int:
        version = document[platform_names.CONFIGURATION["version"]]
        self.changes += 1
        hooks, self.on_send = self.on_send, []
        for hook in hooks:
            hook()
        names = dict(version=version, base=base, send=f"{self.name}-{self.changes}")
        self.event_log.put(self.runtime.now(), "config_sent", doc=document, valid=valid, **names)
        headers, raw = [("If-Match", str(base))], json.dumps(body).encode()
        call = control_call.Call(method, platform_names.PATHS["blueprint"], headers, raw)
        answer = await self.call_until_clear(call, seconds, names["send"])
        status, text = answer.status, answer.body[:LOGGED_BYTES].decode("latin-1")
        self.event_log.put(self.runtime.now(), "config_answer", code=status, text=text, **names)
        return status

    async def order_evacuation(self, zone: str, *, begins: bool, seconds: float) -> int:
        """Let a zone be evacuated, or take that back: the status, 0 without a clear answer."""
        self.orders += 1
        fields = dict(zone=zone, begins=begins, send=f"{self.name}-order-{self.orders}")
        self.event_log.put(self.runtime.now(), "evacuation_sent", **fields)
        path = platform_names.PATHS["evacuation"] + zone
        call = control_call.Call("POST" if begins else "DELETE", path, [])
        answer = await self.call_until_clear(call, seconds, f"{self.name}-order-{self.orders}")
        self.event_log.put(self.runtime.now(), "evacuation_answer", code=answer.status, **fields)
        return answer.status

    async def read(self, seconds: float = 20) -> Document | None:
        """Read the newest configuration back; None without a clear answer."""
        started_at = self.runtime.now()
        call = control_call.Call("GET", platform_names.PATHS["blueprint"], [])
        answer = await self.call_until_clear(call, seconds)
        status, raw = answer.status, answer.body
        document = json.loads(raw) if status == 200 else None
        version = document.get(platform_names.CONFIGURATION["version"]) if document is not None else None
        self.event_log.put(
            self.runtime.now(),
            "config_read",
            code=status,
            doc=document,
            version=version,
            began=started_at,
            who=self.name,
        )
        return document
