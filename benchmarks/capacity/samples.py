"""Generated members, workers, role assignments, sessions and configurations of any size."""

from __future__ import annotations

import types
import typing

from twisted.internet import task

import iriswheel.membership.assignments as role_assignments
from iriswheel.dataplane import sessions
from iriswheel.membership import membership_manager
from iriswheel.node import node
from iriswheel.runtime import options, scheduler, units
from iriswheel.transport import message

ZONES = 10
POOLS = 29
NEVER_US = 10**13  # an interval longer than any run
LONG_PROMPT_TOKENS, LONG_PROMPT_SHARE = (
    3_720,
    0.064,
)  # prompt tokens of a long prompt, share of long prompts: the users' present mix

Items = dict[str, dict[str, typing.Any]]  # a configuration's items by key, "section/name"


def members(count: int) -> list[message.Member]:
    """Members whose names are as long as those of a real site.

    >>> len(members(3))
    3
    """
    return [
        message.Member(
            f"edge-zone{k % ZONES}-{k}-{k:012x}",
            f"edge-zone{k % ZONES}-{k}",
            f"zone{k % ZONES}",
            f"10.1.{k // 250}.{k % 250}",
            7300,
            8263,
        )
        for k in range(count)
    ]


def workers(count: int, pools: int = POOLS) -> list[message.Worker]:
    """Workers as the platform lists them.

    >>> workers(1)[0].pool
    'model-0'
    """
    return [
        message.Worker(
            f"i-{k:08x}", f"10.128.{k // 250}.{k % 250}", 8080, f"model-{k % pools}", "ready", 3 * units.SECOND_US
        )
        for k in range(count)
    ]


def assignments(keys: list[str], candidates: list[message.Member]) -> list[message.RoleAssignment]:
    """Active role assignments, one for each key, with their replicas among the candidates.

    >>> [d.key for d in assignments(["list"], members(3))]
    ['list']
    """
    out = []
    for key in keys:
        holder, copies = role_assignments.choose_group(key, candidates, None)
        out.append(message.RoleAssignment(key, (3, 17), holder, copies, [holder, *copies], True))
    return out


def assignment_keys(pools: int) -> list[str]:
    """The keys of the role assignments of a fleet with the given number of pools.

    >>> assignment_keys(1)
    ['list', 'pool/model-0']
    """
    return ["list", *(f"pool/model-{k}" for k in range(pools))]


def memberships(member_count: int, worker_count: int, pool_count: int) -> message.Membership:
    """A membership with the given numbers of members, workers and pools.

    >>> len(memberships(8, 20, 2).assignments)
    3
    """
    made = members(member_count)
    voters = [message.Voter(f"{k:016x}", f"10.2.0.{k}", 7300, f"zone{k}") for k in range(5)]
    return message.Membership(
        (3, 17),
        made,
        workers(worker_count, max(1, pool_count)),
        assignments(assignment_keys(pool_count), made),
        voters,
        (3, 1, 40),
    )


def session_table(count: int, worker_count: int = 90) -> sessions.SessionTable[str]:
    """A pool's open sessions, spread over its workers.

    >>> len(session_table(10).records)
    10
    """
    table: sessions.SessionTable[str] = sessions.SessionTable()
    # A high version, as in a pool that has served for a while: the encoded size of a version grows with its value,
    # and a record's size must not depend on how many sessions a timing has opened before.
    table.version = 1 << 20
    for k in range(count):
        table.open(f"{k:024x}", f"i-{k % worker_count:08x}", 0, 600 * units.SECOND_US, 100)
    return table


def idle_node(zone: str = "zone0") -> node.Node:
    """A node without a fleet, none of whose periodic tasks runs.

    >>> idle_node().follower.applied_index
    0
    """
    clock = task.Clock()
    runtime = scheduler.Runtime(clock, now=lambda: int(clock.seconds() * units.SECOND_US), seed=1)
    clock.advance(1000)
    node_options = options.Options(
        "node", name="edge-zone0-0", host="10.1.0.0", zone=zone, seeds=["10.2.0.0:7300"], platform="10.3.0.1:80"
    )
    made = node.Node(runtime, node_options)
    made.member_record = members(1)[0]
    return made


def membership_manager_at_tail(
    member_count: int, pool_count: int, cores: int = 5
) -> membership_manager.MembershipManager:
    """A tail's membership manager that has issued its first membership.

    >>> len(membership_manager_at_tail(8, 2).latest.members)
    8
    """
    clock = [1000 * units.SECOND_US]
    runtime = types.SimpleNamespace(now=lambda: clock[0])
    view = message.View(3, [message.Voter(f"c{k}", f"10.2.0.{k}", 7300, f"zone{k}") for k in range(cores)], [])
    consensus = types.SimpleNamespace(view=view, is_tail=lambda: True, holds_lease=lambda: True)
    manager = membership_manager.MembershipManager(
        runtime, consensus, lambda: [f"model-{k}" for k in range(pool_count)]
    )
    manager.begin_view()
    for member in members(member_count):
        manager.seen[member.id] = membership_manager.SeenMember(clock[0], member, "c0")
    manager.issue_if_changed()
    clock[0] += units.SECOND_US // 2
    manager.issue_if_changed()
    return manager


def configuration_items(routes: int, tenants: int = 470, pools: int = POOLS, election: str = "warden") -> Items:
    """The items of a configuration with the given number of routes.

    >>> sorted(configuration_items(1, 1, 1))
    ['pools/model-0', 'routes/r0', 'terms/default', 'terms/t0']
    """
    items: Items = {
        f"pools/model-{k}": {"cap": 0, "slots": 64, "long_slots": 16, "election": election} for k in range(pools)
    }
    items["terms/default"] = {}
    items.update({f"terms/t{k}": {"lifetime_us": 600 * units.SECOND_US} for k in range(min(routes, tenants))})
    for k in range(routes):
        items[f"routes/r{k}"] = {
            "path": f"/{k:06x}/{k % 97:02x}/",
            "pool": f"model-{k % pools}",
            "terms": f"t{k % tenants}",
            "zones": [] if k % 4 else [f"zone{k % ZONES}"],
        }
    return items
