"""Probes: requests for the newest probe routes at each ready node, which show the configuration that it serves."""

from __future__ import annotations

import json
import typing

import loguru
from twisted.web import http_headers

from iriswheel.dataplane import dispatch, edge_protocol
from iriswheel.runtime import units

if typing.TYPE_CHECKING:
    from iriswheel.runtime import scheduler
    from simulation import simulated_cluster

INTERVAL_US = units.SECOND_US
TIMEOUT_US = 8 * units.SECOND_US
HTTP_OK = 200

log = loguru.logger.bind(part="cluster")


class Prober:
    """Sends probes to the nodes of a cluster, and logs their answers."""

    def __init__(self, cluster: simulated_cluster.SimulatedCluster) -> None:
        self.cluster = cluster
        self.sent = 0

    async def run(self, runtime: scheduler.Runtime) -> None:
        """Each second, request the newest two probe routes and the cluster's `extra_probe_paths` at all ready nodes."""
        cluster = self.cluster
        agent = dispatch.Dispatcher(runtime).unpooled_agent
        while cluster.probing:
            await runtime.sleep(INTERVAL_US)
            for name in [name for name in sorted(cluster.nodes) if cluster.is_ready(name)]:
                newest = [f"/p/{probe}" for probe in (cluster.newest_probe, cluster.newest_probe - 1) if probe >= 0]
                for path in newest + cluster.extra_probe_paths:
                    runtime.spawn(self.probe(runtime, agent, name, path), log)

    async def probe(self, runtime: scheduler.Runtime, agent: dispatch.HttpAgent, name: str, path: str) -> None:
        """Request one path at one node, and log the answer."""
        started_at = runtime.now()
        self.sent += 1
        identifier = f"p{self.sent}"
        host, port = self.cluster.platform.nodes[name]
        row = dict(node=f"{host}:{port}", zone=self.cluster.places[name].zone, path=path, exchange=identifier)
        headers = http_headers.Headers(
            {edge_protocol.MAY_REPEAT_HEADER: ["yes"], edge_protocol.REQUEST_ID_HEADER: [identifier]}
        )
        url = f"http://{host}:{port}{path}".encode()
        try:
            response = await runtime.within(agent.request(b"POST", url, headers, dispatch.Body(b"probe")), TIMEOUT_US)
        except Exception:  # any failure means that the probe got no answer
            self.cluster.event_log.put(
                started_at, "probe", **row, status=0, worker=None, done=runtime.now(), code="lost"
            )
            return
        targets = response.headers.getRawHeaders(edge_protocol.TARGET_WORKER_HEADER)
        worker = targets[0] if targets else None
        answer = dict(**row, status=response.code, worker=worker, done=runtime.now())

        def log_answer(raw: bytes | None) -> None:
            code = json.loads(raw)["code"] if raw and response.code != HTTP_OK else ""
            self.cluster.event_log.put(started_at, "probe", code=code, **answer)

        response.deliverBody(dispatch.BodyCollector(log_answer))
