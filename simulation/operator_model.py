"""Operators of a simulated cluster: they plan, confirm and read back configurations, and log the answers."""

from __future__ import annotations

import json
import typing

from twisted.internet import defer

from iriswheel.cli import command
from iriswheel.runtime import units
from iriswheel.verification import linearizability
from simulation import addresses

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler
    from simulation import simulated_cluster

HTTP_OK = 200
HTTP_SERVER_ERROR = 500
HTTP_GATEWAY_TIMEOUT = 504  # logged for a request that got no answer

QUERY_TIMEOUT_US = 6 * units.SECOND_US
RETRY_US = 300 * units.MILLISECOND_US  # wait between attempts to plan or confirm
NUMBERED_RETRY_US = 100 * units.MILLISECOND_US
READ_RETRY_US = 500 * units.MILLISECOND_US
STALE_PLAN_ATTEMPTS = 40

PLAN_IS_OVER = ("base_moved", "not_found")  # error codes after which a plan can no longer be confirmed

Document = dict[str, typing.Any]  # a configuration, or an answer, as JSON


class Operator:
    """A person who changes the configuration through the HTTP interface of the cores."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster, runtime: scheduler.Runtime, name: str) -> None:
        self.cluster, self.runtime, self.name = cluster, runtime, name

    # ---- plans -------------------------------------------------------------------------------------

    async def change(self, document: Document, attempts: int = 40, patch: bool = False) -> int:
        """Plan a configuration and confirm the plan, with retries.

        Args:
            document: The configuration to apply; the path of its route `probe` contains the number of the change.
            attempts: The maximum number of plans, and of attempts to confirm each plan.
            patch: Whether to send the difference to the current configuration as a JSON Patch.

        Returns:
            The version of the confirmed configuration, or 0 if no plan was confirmed.
        """
        probe = _probe_number(document)
        self.cluster.event_log.put(self.runtime.now(), "wanted", probe=probe, who=self.name)
        for _ in range(attempts):
            intent = await self._patch_to(document) if patch else {"blueprint": document}
            status, plan = await self.query("POST", "/plans", intent)
            if status != HTTP_OK:
                await self.runtime.sleep(RETRY_US)
                continue
            version = await self._confirm(plan, document, attempts)
            if version is not None:
                return version
        return 0

    async def _patch_to(self, document: Document) -> Document:
        status, present = await self.query("GET", "/blueprint")
        return {
            "base": present.get("stamp"),
            "patch": [
                {"op": "replace", "path": f"/{kind}", "value": document.get(kind, {})}
                for kind in ("pools", "routes", "terms")
                if status == HTTP_OK and present["blueprint"].get(kind) != document.get(kind)
            ],
        }

    async def _confirm(self, plan: Document, document: Document, attempts: int) -> int | None:
        """Confirm a plan: the version of the configuration, or None if the plan was not confirmed."""
        probe = _probe_number(document)
        self._log_confirm_sent(plan, document)
        for _ in range(attempts):
            status, response = await self.query("POST", f"/plans/{plan['id']}/confirm", {})
            if status == HTTP_OK:
                self._log_confirmed(plan, response, probe)
                self.cluster.newest_probe = max(self.cluster.newest_probe, probe)
                version: int = response["stamp"]
                return version
            self.cluster.event_log.put(
                self.runtime.now(),
                "confirm_refused",
                plan=plan["id"],
                code=response.get("code"),
                verdict=response.get("verdict"),
                who=self.name,
            )
            if response.get("code") in PLAN_IS_OVER:
                return None
            await self.runtime.sleep(RETRY_US)
        return None

    async def stale_plans(self, document: Document) -> None:
        """Make two plans on the same base, then confirm each of them twice.

        Only the first confirmed plan can succeed; the other plan's base is then out of date.
        """
        other = json.loads(json.dumps(document))
        other["routes"]["late"] = {"path": "/late", "pool": self.cluster.pool}
        plans = []
        for wanted in (document, other):
            plan = await self._plan(wanted)
            if plan is not None:
                plans.append((plan, wanted))
        for plan, wanted in plans + plans:
            await self._confirm_again(plan, wanted)
        self.cluster.newest_probe = max(self.cluster.newest_probe, _probe_number(document))

    async def _plan(self, document: Document) -> Document | None:
        for _ in range(STALE_PLAN_ATTEMPTS):
            status, plan = await self.query("POST", "/plans", {"blueprint": document})
            if status == HTTP_OK:
                return plan
            await self.runtime.sleep(RETRY_US)
        return None

    async def _confirm_again(self, plan: Document, document: Document) -> None:
        self._log_confirm_sent(plan, document)
        for _ in range(STALE_PLAN_ATTEMPTS):
            status, response = await self.query("POST", f"/plans/{plan['id']}/confirm", {})
            if status == HTTP_OK:
                self._log_confirmed(plan, response, _probe_number(document))
            if status == HTTP_OK or response.get("code") in PLAN_IS_OVER:
                return
            await self.runtime.sleep(RETRY_US)

    def _log_confirm_sent(self, plan: Document, document: Document) -> None:
        self.cluster.event_log.put(
            self.runtime.now(),
            "confirm_sent",
            plan=plan["id"],
            base=plan["base"],
            probe=_probe_number(document),
            who=self.name,
            blueprint=document,
        )

    def _log_confirmed(self, plan: Document, response: Document, probe: int) -> None:
        self.cluster.event_log.put(
            self.runtime.now(),
            "confirmed",
            plan=plan["id"],
            stamp=response["stamp"],
            probe=probe,
            who=self.name,
        )

    # ---- numbered changes, reads and requests -------------------------------------------------------------

    async def submit_numbered(
        self,
        number: int,
        built_on: int,
        content: Document,
        attempts: int = 60,
        answer_timeout_us: int = units.SECOND_US,
    ) -> int:
        """Submit a numbered change; after a 5xx status or no answer, send it to the next core.

        Args:
            number: The change's number.
            built_on: The number of the change that this change is based on.
            content: The changed part of the configuration.
            attempts: The maximum number of times to send the change.
            answer_timeout_us: The time limit of each answer.

        Returns:
            The last status: 200, a 4xx status that ended the call, or 0 if no attempt got a definite answer.
        """
        document = {"number": number, "built_on": built_on, **content}
        core_addresses = self._core_addresses()
        self.cluster.numbered_calls += 1
        row = dict(call=f"{self.name}-{self.cluster.numbered_calls}", number=number, built_on=built_on, who=self.name)
        self.cluster.event_log.put(self.runtime.now(), "number_sent", content=linearizability.digest(content), **row)
        for attempt in range(attempts):
            address = core_addresses[attempt % len(core_addresses)]
            status, _ = await self._send([address], "POST", "/changes", document, answer_timeout_us)
            if status < HTTP_SERVER_ERROR:
                self.cluster.event_log.put(self.runtime.now(), "numbered", status=status, **row)
                return status
            await self.runtime.sleep(NUMBERED_RETRY_US)
        return 0

    async def read(self, attempts: int = 60) -> None:
        """Read the current configuration, and log it."""
        started_at = self.runtime.now()
        for _ in range(attempts):
            status, document = await self.query("GET", "/blueprint")
            if status == HTTP_OK:
                row = dict(stamp=document["stamp"], blueprint=document["blueprint"], began=started_at, who=self.name)
                self.cluster.event_log.put(self.runtime.now(), "read", **row)
                return
            await self.runtime.sleep(READ_RETRY_US)

    async def query(self, method: str, path: str, document: Document | None = None) -> tuple[int, Document]:
        """Send a request to the cores in random order until one answers: the status and the JSON of the answer."""
        return await self._send(self._core_addresses(), method, path, document, QUERY_TIMEOUT_US)

    def _core_addresses(self) -> list[str]:
        """The HTTP addresses of all cores, in a random order."""
        core_addresses = [f"{self.cluster.places[name].host}:{addresses.HTTP_PORT}" for name in self.cluster.cores]
        self.runtime.rng.shuffle(core_addresses)
        return core_addresses

    async def _send(
        self, core_addresses: list[str], method: str, path: str, document: Document | None, timeout_us: int
    ) -> tuple[int, Document]:
        request = command.send_request(self.runtime, core_addresses, method, path, document)
        try:
            return await self.runtime.within(defer.ensureDeferred(request), timeout_us)
        except Exception as error:  # after any failure the operator does not know whether the request was executed
            code = {"code": "unknown_outcome", "verdict": "may_have_run", "text": repr(error)}
            return HTTP_GATEWAY_TIMEOUT, code


def _probe_number(document: Document) -> int:
    """The number of a change: the end of the path of its route `probe`."""
    return int(document["routes"]["probe"]["path"].removeprefix("/p/"))
