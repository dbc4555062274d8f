"""Interfaces of the node process, `node.node.Node`, that the data plane uses.

The node imports the data plane; with these interfaces the data plane need not import the node.
"""

from __future__ import annotations

import collections.abc
import typing

if typing.TYPE_CHECKING:
    from iriswheel.configuration import configuration
    from iriswheel.dataplane import dispatch, edge_protocol, gateway, health, owner_client
    from iriswheel.runtime import options, scheduler
    from iriswheel.transport import message, peers


class MemberProcess(typing.Protocol):
    """A process that is, or will be, a member of the fleet."""

    @property
    def member_record(self) -> message.Member | None:
        """The member record of this process; None before it has started."""


class FleetView(typing.Protocol):
    """A node's view of the fleet: its slice of the configuration, the membership and the workers."""

    @property
    def applied_index(self) -> int:
        """The log index of the configuration that this node has applied."""

    @property
    def items(self) -> configuration.Items | None:
        """The node's slice of the configuration as received; None before the first one arrived."""

    @property
    def routes(self) -> dict[str, configuration.Route]:
        """The routes, by name."""

    @property
    def pools(self) -> dict[str, configuration.Pool]:
        """The pools, by name."""

    @property
    def terms(self) -> dict[str, configuration.Terms]:
        """The session terms, by name."""

    @property
    def limits(self) -> configuration.Limits:
        """The limits on clients' requests, and whether a request needs a key."""

    @property
    def membership(self) -> message.Membership:
        """The newest known membership."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers of the last received worker list."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""

    def find_route(self, host: str, path: str) -> configuration.Route | None:
        """Return the route for a host and a path, or None if no route matches."""

    def find_tenant(self, key_digest: str) -> tuple[str, configuration.Tenant] | None:
        """Return the name and the configuration of the tenant with a key, or None if no tenant has it."""

    def keys_may_be_revoked(self) -> bool:
        """Whether a key known here may have been revoked longer ago than the allowed revocation time."""

    def assignment(self, key: str) -> message.RoleAssignment | None:
        """Return the assignment of a role by the role's key, or None if it is not assigned."""

    def member(self, identifier: str) -> message.Member | None:
        """Return the member with an id, or None."""

    def accepts_requests(self, worker: str) -> bool:
        """Whether new requests may go to a worker: it is listed as ready, and its zone is not evacuated."""

    def drain_deadline_passed(self, worker: str) -> bool:
        """Whether a worker is leaving or gone and its drain time is over."""

    def selected_by_owner(self, name: str) -> bool:
        """Whether the owner of a pool selects the workers for requests."""

    def needs_rejoin(self) -> bool:
        """Whether this process was frozen for a while and has not rejoined the fleet yet."""

    def configuration_may_be_stale(self) -> bool:
        """Whether this node may have missed a configuration change that is in force on other nodes."""

    def has_worker_update(self) -> bool:
        """Whether the worker list is recent enough for sending requests."""


class LoadReporter(typing.Protocol):
    """Reports this node's load to the other nodes."""

    @property
    def report_now(self) -> scheduler.Signal:
        """The signal that causes a report at once."""

    def mark_changed(self) -> None:
        """Note that the load changed, so that the next periodic report includes it."""


class LocalPoolOwner(typing.Protocol):
    """The owner of a pool whose role is held by this process."""

    async def select_worker(
        self, request: message.SelectWorker, /
    ) -> message.SelectionGranted | message.SelectionDenied:
        """Grant a worker for a request, or deny the request."""


class RateLimiter(typing.Protocol):
    """Charges requests to their tenants' rate limits, which hold over all nodes together."""

    async def charge(self, tenant: str, cost: float) -> typing.Any:  # noqa: ANN401 - opaque; only passed to `refund`
        """Charge a request; raises `errors.ServiceError` if the tenant exceeds its limit."""

    def refund(self, charge: typing.Any) -> None:  # noqa: ANN401 - what `charge` returned
        """Refund the charge of a request that did not run."""


class Startup(typing.Protocol):
    """The start of a node's process, until the node has all that it needs to serve requests."""

    async def hold(self, left_us: int | None) -> None:
        """Hold a request until the start is complete, but only for a part of the time to the request's deadline."""


class DataPlaneNode(MemberProcess, typing.Protocol):
    """The node process, as far as the handling of requests uses it."""

    @property
    def runtime(self) -> scheduler.Runtime:
        """The source of the time, timers and tasks."""

    @property
    def options(self) -> options.Options:
        """The options that the process was started with or last reloaded."""

    @property
    def edge_protocol(self) -> edge_protocol.EdgeProtocol:
        """The format of the requests and answers of clients and workers."""

    @property
    def dispatcher(self) -> dispatch.Dispatcher:
        """Sends requests to workers that pool owners selected, to peers and to the platform."""

    @property
    def reachability(self) -> health.Reachability:
        """The record of this node's contact with the workers."""

    @property
    def follower(self) -> FleetView:
        """This node's view of the fleet."""

    @property
    def gateway(self) -> gateway.Gateway:
        """The entry point for clients' requests, which owns the retry budgets."""

    @property
    def loads(self) -> LoadReporter:
        """Reports the load of this node's attempts to the other nodes."""

    @property
    def peers(self) -> peers.Peers:
        """The connections to other processes of the fleet."""

    @property
    def rate_limiter(self) -> RateLimiter:
        """Charges requests to their tenants' rate limits."""

    @property
    def startup(self) -> Startup:
        """Holds requests that arrive before the node has all that it needs to serve them."""

    @property
    def pool_owners(self) -> collections.abc.Mapping[str, LocalPoolOwner]:
        """The pool owners whose role this process holds, by pool name."""

    @property
    def grants(self) -> dict[str, message.WorkerGrant]:
        """The grants of this node's attempts in flight, by attempt id."""

    @property
    def abandoned_attempts(self) -> dict[str, owner_client.AbandonedAttempt]:
        """The attempts that this node gave up before they were sent, by attempt id."""

    @property
    def draining(self) -> bool:
        """Whether the node drains: it reports itself as not ready, but still serves new requests."""

    @property
    def refusing_requests(self) -> bool:
        """Whether the node refuses new requests, because its drain is nearly over."""

    @property
    def stopped(self) -> bool:
        """Whether the node has stopped, so that its tasks must end."""

    @property
    def options_reloaded_at_us(self) -> int | None:
        """The time of the last reload of the options; None if they were never reloaded."""

    drain_noticed_at_us: int | None  # time of the first answer "not ready" while draining; set by the data plane

    def ready(self) -> tuple[bool, str]:
        """Whether the node is ready for clients' requests, and the reason if it is not."""

    def state(self) -> dict[str, typing.Any]:
        """Return the node's state as `GET /state` shows it."""

    def tell_member(self, identifier: str, notice: message.Message) -> None:
        """Send a member a notice that has no answer."""
