"""Simulated operators: they send configurations until they get a definite answer, and read them back."""

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
DEFINITE_ERRORS = (400, 409, 412, 413, 422)  # statuses that mean the change was definitely not made
TEMPORARY_ERRORS = (408, 429)
MAX_UNEXPECTED_ERRORS = 3  # number of other 4xx answers after which an operator gives up
LOGGED_BYTES = 200  # bytes of an answer's body that are logged

Document = dict[str, typing.Any]
Hook = collections.abc.Callable[[], object]

log = loguru.logger.bind(part="users")


class Operator:
    """An operator who changes the configuration.

    Attributes:
        first_address: The address that the next call is sent to first; None for a random one.
        lost_share: The share of acknowledgements that are lost before they reach the operator.
        last_address: The address that sent the last acknowledgement.
        on_send: Hooks that are called once each, when the next change is sent.
        on_acknowledged: Hooks that are called once each, at the next acknowledgement.
    """

    def __init__(
        self,
        runtime: scheduler.Runtime,
        event_log: event_log.EventLog,
        addresses: collections.abc.Callable[[], list[control_call.Address]],
        name: str,
    ) -> None:
        """Create an operator who calls the control addresses of core machines that `addresses` returns."""
        self.runtime, self.event_log, self.addresses, self.name = runtime, event_log, addresses, name
        self.change_count = 0
        self.order_count = 0
        self.first_address: control_call.Address | None = None
        self.last_address: control_call.Address | None = None
        self.lost_share = 0.0
        self.on_send: list[Hook] = []
        self.on_acknowledged: list[Hook] = []

    # ---- calls --------------------------------------------------------------------------

    async def call_until_definite(
        self, call: control_call.Call, seconds: float = 60, send: str = ""
    ) -> control_call.Answer:
        """Call one core machine after the other until an answer is definite or the time is up.

        Args:
            call: The call to send.
            seconds: The time limit.
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
            if status == 200 or status in DEFINITE_ERRORS:
                return control_call.Answer(status, body)
            if 400 <= status < 500 and status not in TEMPORARY_ERRORS:
                unexpected_errors += 1
                if unexpected_errors == MAX_UNEXPECTED_ERRORS:
                    return control_call.Answer(status, body)
            turn += 1
            await self.runtime.sleep(wait_us)
            wait_us = min(MAX_RETRY_WAIT_US, wait_us * 3 // 2)
        return control_call.NO_DEFINITE_ANSWER

    def _acknowledged(self, status: int, send: str) -> int:
        """The status that the operator gets for an acknowledgement: 0 if the acknowledgement is lost."""
        if self.lost_share and self.runtime.rng.random() < self.lost_share:
            self.event_log.put(self.runtime.now(), "acknowledgement_lost", send=send)
            return 0
        hooks, self.on_acknowledged = self.on_acknowledged, []
        for hook in hooks:
            hook()
        return status

    # ---- changes ------------------------------------------------------------------------

    async def put(self, document: Document, base: int, valid: bool = True, seconds: float = 60) -> int:
        """Replace the configuration of version `base`; returns the status, or 0 without a definite answer."""
        return await self._send("PUT", document, document, base, valid=valid, seconds=seconds)

    async def patch(
        self, change: Document, document: Document, base: int, valid: bool = True, seconds: float = 60
    ) -> int:
        """Patch version `base`, which becomes `document`; returns the status, or 0 without a definite answer."""
        return await self._send("PATCH", change, document, base, valid=valid, seconds=seconds)

    async def _send(
        self, method: str, body: Document, document: Document, base: int, *, valid: bool, seconds: float
    ) -> int:
        version = document[platform_names.CONFIGURATION["version"]]
        self.change_count += 1
        hooks, self.on_send = self.on_send, []
        for hook in hooks:
            hook()
        names = dict(version=version, base=base, send=f"{self.name}-{self.change_count}")
        self.event_log.put(self.runtime.now(), "config_sent", doc=document, valid=valid, **names)
        headers, raw = [("If-Match", str(base))], json.dumps(body).encode()
        call = control_call.Call(method, platform_names.PATHS["blueprint"], headers, raw)
        answer = await self.call_until_definite(call, seconds, names["send"])
        status, text = answer.status, answer.body[:LOGGED_BYTES].decode("latin-1")
        self.event_log.put(self.runtime.now(), "config_answer", code=status, text=text, **names)
        return status

    async def order_evacuation(self, zone: str, *, begins: bool, seconds: float) -> int:
        """Order or end the evacuation of a zone; returns the status, or 0 without a definite answer."""
        self.order_count += 1
        fields = dict(zone=zone, begins=begins, send=f"{self.name}-order-{self.order_count}")
        self.event_log.put(self.runtime.now(), "evacuation_sent", **fields)
        path = platform_names.PATHS["evacuation"] + zone
        call = control_call.Call("POST" if begins else "DELETE", path, [])
        answer = await self.call_until_definite(call, seconds, f"{self.name}-order-{self.order_count}")
        self.event_log.put(self.runtime.now(), "evacuation_answer", code=answer.status, **fields)
        return answer.status

    async def read(self, seconds: float = 20) -> Document | None:
        """Read the current configuration; None without a definite answer."""
        started_at = self.runtime.now()
        call = control_call.Call("GET", platform_names.PATHS["blueprint"], [])
        answer = await self.call_until_definite(call, seconds)
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
