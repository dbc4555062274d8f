"""What the data plane uses of the node process that it runs in; `node.node.Node` provides it.

The data plane is imported by the node and does not import it.
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
    """A process that takes part in the membership."""

    @property
    def member_record(self) -> message.Member | None:
        """This process's own member record; None before it has started."""


class FleetView(typing.Protocol):
    """What a node knows of the fleet: its slice of the configuration, the membership, the workers."""

    @property
    def applied_index(self) -> int:
        """The log index of the configuration that is applied here."""

    @property
    def items(self) -> configuration.Items | None:
        """The slice of the configuration as it came; None before the first."""

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
        """What a client may send, and whether it needs a key."""

    @property
    def membership(self) -> message.Membership:
        """The newest membership."""

    @property
    def workers(self) -> list[message.Worker]:
        """The workers as they were last listed."""

    @property
    def workers_by_id(self) -> dict[str, message.Worker]:
        """The listed workers, by id."""

    def find_route(self, host: str, path: str) -> configuration.Route | None:
        """Return the route for a host and a path, or None."""

    def find_tenant(self, key_digest: str) -> tuple[str, configuration.Tenant] | None:
        """Return the name and the item of the tenant that has a key, or None."""

    def keys_may_be_revoked(self) -> bool:
        """Whether a key that this node knows may have been taken away longer ago than is allowed."""

    def assignment(self, key: str) -> message.RoleAssignment | None:
        """Return a role's assignment, or None."""

    def member(self, identifier: str) -> message.Member | None:
        """Return a member, or None."""

    def accepts_requests(self, worker: str) -> bool:
        """Whether new requests may go to a worker: it is listed as ready, and its zone is not evacuated."""

    def drain_deadline_passed(self, worker: str) -> bool:
        """Whether the drain time of a worker that leaves or is gone is over."""

    def selected_by_owner(self, name: str) -> bool:
        """Whether a pool's workers are chosen by its owner."""

    def needs_rejoin(self) -> bool:
        """Whether this process did not run for a while and has not rejoined yet."""

    def configuration_may_be_stale(self) -> bool:
        """Whether this node may have missed a change that is in force on other nodes."""

    def has_worker_update(self) -> bool:
        """Whether the worker list is recent enough to send requests by."""


class LoadReporter(typing.Protocol):
    """Reports this node's load to the other nodes."""

    @property
    def report_now(self) -> scheduler.Signal:
        """Woken for a report at once."""

    def mark_changed(self) -> None:
        """Note that the load changed."""


class LocalPoolOwner(typing.Protocol):
    """A pool owner in this process."""

    async def select_worker(
        self, request: message.SelectWorker, /
    ) -> message.SelectionGranted | message.SelectionDenied:
        """Choose a worker for a request, or deny one."""


class RateLimiter(typing.Protocol):
    """Charges requests to the rate limits of their tenants, over all nodes together."""

    async def charge(self, tenant: str, cost: float) -> typing.Any:  # noqa: ANN401 - only given back to `refund`
        """Charge a request; raises `errors.ServiceError` where the tenant is beyond its limit."""

    def refund(self, charge: typing.Any) -> None:  # noqa: ANN401 - what `charge` returned
        """Take back the charge of a request that did not run."""


class Startup(typing.Protocol):
    """The first seconds of a node's process."""

    async def hold(self, left_us: int | None) -> None:
        """Hold a request until the node serves, within a part of the time that the request has left."""


class DataPlaneNode(MemberProcess, typing.Protocol):
    """The node process, as far as the path of a request needs it."""

    @property
    def runtime(self) -> scheduler.Runtime:
        """Clock, timers, tasks."""

    @property
    def options(self) -> options.Options:
        """The options of the process."""

    @property
    def edge_protocol(self) -> edge_protocol.EdgeProtocol:
        """The format of clients' and workers' requests and answers."""

    @property
    def dispatcher(self) -> dispatch.Dispatcher:
        """Sends requests to workers that pool owners select, to peers and to the platform."""

    @property
    def reachability(self) -> health.Reachability:
        """Which workers are reached from here."""

    @property
    def follower(self) -> FleetView:
        """What this node knows of the fleet."""

    @property
    def gateway(self) -> gateway.Gateway:
        """The entry point for clients, which owns the retry budgets."""

    @property
    def loads(self) -> LoadReporter:
        """Reports the load of this node's attempts."""

    @property
    def peers(self) -> peers.Peers:
        """Connections to other processes."""

    @property
    def rate_limiter(self) -> RateLimiter:
        """Charges requests to their tenants."""

    @property
    def startup(self) -> Startup:
        """Whether the node has had all that it serves by since its process started."""

    @property
    def pool_owners(self) -> collections.abc.Mapping[str, LocalPoolOwner]:
        """The pool owners whose role is here, by pool."""

    @property
    def grants(self) -> dict[str, message.WorkerGrant]:
        """The grants of attempts under way here, by attempt id."""

    @property
    def abandoned_attempts(self) -> dict[str, owner_client.AbandonedAttempt]:
        """The attempts that this node gave up without a send, by attempt id."""

    @property
    def draining(self) -> bool:
        """Whether the node is not ready any more, but still serves whoever comes."""

    @property
    def refusing_requests(self) -> bool:
        """Whether new requests get an error: the drain is nearly over."""

    @property
    def stopped(self) -> bool:
        """Whether the tasks of this node are to end."""

    @property
    def options_reloaded_at_us(self) -> int | None:
        """When the options were last reloaded; None where they never were."""

    drain_noticed_at_us: int | None  # when the platform first heard that this node drains; set by the data plane

    def ready(self) -> tuple[bool, str]:
        """Whether clients should be sent here, and why not."""

    def state(self) -> dict[str, typing.Any]:
        """Return what the node shows of itself."""

    def tell_member(self, identifier: str, notice: message.Message) -> None:
        """Send a member a notice without an answer."""
