"""The deployments that can be simulated: the zones of their machines, their load, and the bounds in their settings."""

from __future__ import annotations

import dataclasses
import typing

from simulation.clients import request_kinds
from simulation.workers import cold_start

LONG = request_kinds.RequestKind(
    "bundle",
    host="long.example",
    path="/lohu/",
    aim_ms=800,
    deadline_ms=10_000,
    max_sends=1,
    urgency=1,
    value=2.0,
    late_value=0.6,
    share=5.9,
    parts=(request_kinds.PartKind(13_300, 0.7, 44, 0.3),),
    unique_tokens=request_kinds.SizeKind(3_720, 1.1, 53_000),
    events=request_kinds.SizeKind(30, 1.4, 120),
    body_bytes=34_000,
)
SHORT = request_kinds.RequestKind("phrase", host="short.example", path="/pufi/", resumable=True, share=86.0)
DIRECT = request_kinds.RequestKind("direct", category="may", deadline_ms=3_000, aim_ms=3_000, body_bytes=8)


@dataclasses.dataclass
class Shape:
    """A deployment: the zones of its nodes, cores and workers, and its load.

    Attributes:
        nodes: The zone of each node.
        cores: The zone of each core machine.
        workers: The zone of each worker.
        rate: Requests per second of all zones together.
        kinds: The kinds of requests that clients send.
        retry_slack: The value of `retry_slack` in the bounds of the settings.
        bounds: The bounds of the settings that differ from the defaults in `settings_files.bounds`.
        tolerated_losses: How many core machines may be lost at once.
        engine_parameters: The parameters of the workers' inference engines that differ from the defaults.
        connections: How many connections a worker accepts.
        cold: How workers warm up after a start; None where they are never cold.
        tolerated_zones: How many zones may be lost at once.

    >>> SHAPES["swan"].rate
    122.0
    """

    nodes: list[str]
    cores: list[str]
    workers: list[str]
    rate: float
    kinds: tuple[request_kinds.RequestKind, ...]
    retry_slack: int
    bounds: dict[str, int] = dataclasses.field(default_factory=dict)
    tolerated_losses: int = 1
    engine_parameters: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    connections: int = 360
    cold: cold_start.ColdBounds | None = None
    tolerated_zones: int = 0

    @property
    def tolerates_zone_loss(self) -> bool:
        """Whether the deployment must tolerate that a zone is lost or cut off from the others."""
        return self.tolerated_zones > 0

    def zones(self) -> list[str]:
        """The zones that have nodes, in alphabetical order."""
        return sorted(set(self.nodes))


SHAPES = {
    "magnolia": Shape(
        nodes=["mobile", "mobile", "biloxi", "biloxi", "baton", "pensacola"],
        cores=["mobile", "biloxi", "baton"],
        workers=["mobile", "mobile", "biloxi", "baton", "pensacola"],
        rate=92.0,
        kinds=(LONG, SHORT),
        retry_slack=52,
    ),
    "swan": Shape(
        nodes=["osborne"] * 3 + ["malaga"] * 3 + ["kewdale"] * 2,
        cores=["osborne", "malaga", "kewdale"],
        workers=["osborne", "osborne", "malaga", "malaga", "kewdale", "kewdale"],
        rate=122.0,
        kinds=(
            dataclasses.replace(LONG, late_value=0.2, share=7.9),
            dataclasses.replace(SHORT, late_value=0.3, share=114.0),
        ),
        retry_slack=56,
    ),
    "grown": Shape(
        nodes=["osborne"] * 21 + ["malaga"] * 21 + ["kewdale"] * 21,
        cores=["osborne", "osborne", "malaga", "malaga", "kewdale"],
        workers=["osborne", "malaga", "kewdale"] * 12,
        rate=399.0,
        kinds=(
            dataclasses.replace(
                LONG,
                late_value=0.2,
                share=42.8,
                aim_ms=863,
                pause_ms=250,
                event_tokens=6,
                deadline_ms=8_634,
                parts=(request_kinds.PartKind(13_300, 0.7, 323, 0.62),),
                events=request_kinds.SizeKind(20, 1.4, 80),
                body_bytes=17_000,
            ),
            dataclasses.replace(
                SHORT,
                late_value=0.3,
                share=356.0,
                aim_ms=423,
                pause_ms=250,
                event_tokens=6,
                deadline_ms=4_235,
                parts=(request_kinds.PartKind(55, 0.4, 40, 0.0), request_kinds.PartKind(37, 0.7, 6_000, 0.62)),
                events=request_kinds.SizeKind(8, 1.4, 30),
                body_bytes=380,
            ),
        ),
        retry_slack=166,
        bounds=dict(
            contact_ms=4000,
            ack_deadline_ms=5000,
            settle_s=6,
            drain_deadline_ms=4000,
            apply_deadline_ms=2500,
            stretch_ms=6000,
            recovery_s=15,
            pass_ms=200,
        ),
        tolerated_losses=2,
        engine_parameters=dict(capacity=16, kv_capacity=378_000, event_tokens=6),
        connections=510,
    ),
    "apart": Shape(
        nodes=["osborne"] * 3 + ["malaga"] * 3 + ["kewdale"] * 2,
        cores=["osborne", "osborne", "malaga", "malaga", "kewdale"],
        workers=["osborne", "malaga", "kewdale"] * 2,
        rate=90.0,
        kinds=(
            dataclasses.replace(
                LONG,
                late_value=0.2,
                share=44.1,
                aim_ms=863,
                pause_ms=300,
                event_tokens=7,
                deadline_ms=8_634,
                parts=(request_kinds.PartKind(13_300, 0.7, 30, 0.3),),
                events=request_kinds.SizeKind(17, 1.4, 68),
                body_bytes=17_000,
            ),
            dataclasses.replace(
                SHORT,
                late_value=0.3,
                share=314.0,
                aim_ms=423,
                pause_ms=300,
                event_tokens=7,
                deadline_ms=4_235,
                parts=(request_kinds.PartKind(55, 0.4, 4, 0.0), request_kinds.PartKind(37, 0.7, 560, 0.3)),
                events=request_kinds.SizeKind(6, 1.4, 26),
                body_bytes=380,
            ),
        ),
        retry_slack=52,
        bounds=dict(
            contact_ms=4000,
            ack_deadline_ms=5000,
            settle_s=6,
            drain_deadline_ms=4000,
            apply_deadline_ms=2500,
            stretch_ms=6000,
            recovery_s=15,
            pass_ms=200,
            evacuate_deadline_ms=5000,
            merge_ms=3000,
        ),
        tolerated_losses=2,
        tolerated_zones=1,
        engine_parameters=dict(
            capacity=12, waiting_limit=36, kv_capacity=331_000, event_tokens=7, report_lag_us=100_000
        ),
        connections=490,
        cold=cold_start.ColdBounds(warmup_s=3.0, requests_per_s=16.0),
    ),
}
