"""What anti-entropy of the replicated counters costs after a network partition, also with other algorithms.

    python -m benchmarks.counter_repair

Five core machines hold the same adds of ten minutes. A partition separates two of them from the other three, each side
accepts adds at half of RATE, and the partition heals. The printed time is that of the simulated network and disks; the
processor time is not part of it and is printed beside it. The costs of other algorithms are computed for the same adds:
the bytes that one pair of machines exchanges to find out which adds differ, without the differing adds themselves.
"""

from __future__ import annotations

import collections
import collections.abc
import hashlib
import math
import random
import time
import typing

import loguru
import msgspec

from iriswheel.replicated_counters import add_log, counter_state
from iriswheel.runtime import units
from iriswheel.transport import message
from simulation import counter_cluster, server_model

RATE = 40  # adds per second
SHARED_S = 600  # seconds of adds that all machines hold before the partition
CUTS_S = (1, 20, 3600)  # durations of the partition
HASH_BYTES = 8
FANOUT = 16  # children of an inner node of the Merkle tree
LEAF_ADDS = 16  # maximum number of adds below a leaf of the Merkle tree
BUCKET_S = 1  # length of a time bucket, of which each has one digest
SYMBOL_BYTES = 2 * HASH_BYTES + 2  # coded symbol of a rateless sketch: sum of ids, sum of their hashes, count
SKETCH_LIMIT = 10_000  # adds of one side; above this, peeling a sketch would take minutes
SIDES = (("c1", "c2"), ("c3", "c4", "c5"))  # the machines on either side of the partition
DEADLINE_S = 60  # limit for the repair


class TimedAdd(typing.NamedTuple):
    """An add, and the second in which it was accepted."""

    add_id: counter_state.AddId
    add: message.CounterAdd
    second: int


def make_adds(
    names: collections.abc.Sequence[str], seconds: range, rate: int, generator: random.Random
) -> list[TimedAdd]:
    """Make adds that some machines accept in turn; each period of seconds is another incarnation of the machines."""
    counts: collections.Counter[str] = collections.Counter()
    adds = []
    for second in seconds:
        for number in range(rate):
            origin = f"{names[(second * rate + number) % len(names)]:0>16}-{seconds.start:012x}"
            counts[origin] += 1
            add = message.CounterAdd(counts[origin], f"t{number % 2}", f"{generator.getrandbits(64):016x}", number % 9)
            adds.append(TimedAdd(counter_state.AddId(origin, add.sequence), add, second))
    return adds


# ---- the algorithm of iriswheel, simulated --------------------------------------------------------------


class Repair(typing.NamedTuple):
    """The cost of a repair."""

    seconds: float  # simulated time until all machines read the same sum
    processor_seconds: float
    digest_bytes: int  # bytes of messages without adds and of all responses
    add_bytes: int  # bytes of messages with adds
    lacking: int  # adds that machines lacked, summed over the machines
    carried: int  # adds in all messages, duplicates included


class TrafficCount:
    """Counts the bytes and adds that replicators send, by replacing the method with which they call other machines."""

    def __init__(self) -> None:
        self.digest_bytes = self.add_bytes = self.carried = 0

    def attach(self, core: server_model.SimulatedCore) -> None:
        """Count the calls of one machine to others from now on."""
        peers = core.peers
        call = peers.call

        async def counting(host: str, port: int, content: message.Message, timeout_us: int) -> typing.Any:  # noqa: ANN401 - same signature as the replaced method
            if not isinstance(content, message.ReplicateAdds):
                return await call(host, port, content, timeout_us)
            response = await call(host, port, content, timeout_us)
            size = len(msgspec.msgpack.encode(content))
            self.carried += sum(len(batch.adds) for batch in content.batches)
            self.add_bytes += size if content.batches else 0
            self.digest_bytes += 0 if content.batches else size
            self.digest_bytes += len(msgspec.msgpack.encode(response))
            return response

        peers.call = counting  # type: ignore[method-assign]


def store_add(core: server_model.SimulatedCore, each: TimedAdd) -> None:
    """Put an add into a machine's memory and onto its disk."""
    counters = core.replicated_counters
    counters.state.insert(each.add_id.origin, each.add)
    counters.disk_log.synced.add(each.add_id)
    core.process.host.synced[add_log.storage_key(each.add_id)] = add_log.encode_add(each.add)


def simulate_repair(shared: list[TimedAdd], sides: list[list[TimedAdd]], *, live: bool) -> Repair:
    """Give the adds to partitioned machines, heal the partition, and measure the repair.

    Args:
        shared: The adds that all machines hold.
        sides: The adds that only the machines of one side hold, for each side.
        live: Whether the processes that accepted the sides' adds are still running. Otherwise these adds belong to
            earlier incarnations, and every machine that holds them offers them to the others.
    """
    cluster = counter_cluster.CounterCluster()
    cluster.cut(*SIDES[0])
    cluster.advance(5)
    origins = {f"{name:0>16}": core.replicated_counters.origin for name, core in cluster.cores.items()}
    for names, own in zip(SIDES, sides, strict=True):
        for name in names:
            for each in shared:
                store_add(cluster.cores[name], each)
            for each in own:
                origin = origins[each.add_id.origin.partition("-")[0]] if live else each.add_id.origin
                store_add(cluster.cores[name], each._replace(add_id=each.add_id._replace(origin=origin)))
            cluster.cores[name].replicated_counters.start()
    cluster.advance(3)
    traffic = TrafficCount()
    for core in cluster.cores.values():
        traffic.attach(core)
    cluster.world.heal()
    healed_at, began = cluster.world.time, time.process_time()
    wanted = {sum(each.add.amount for each in shared + sides[0] + sides[1] if each.add.name == "t0")}
    counters = [core.replicated_counters for core in cluster.cores.values()]
    cluster.advance_until(lambda: {each.sum_of("t0") for each in counters} == wanted, DEADLINE_S)
    seconds = (cluster.world.time - healed_at) / units.SECOND_US
    processor_seconds = time.process_time() - began
    lacking = len(sides[0]) * len(SIDES[1]) + len(sides[1]) * len(SIDES[0])
    return Repair(seconds, processor_seconds, traffic.digest_bytes, traffic.add_bytes, lacking, traffic.carried)


# ---- other algorithms, computed ----------------------------------------------------------------------


def digest_of(add_id: counter_state.AddId) -> int:
    """A digest of an add's identity, as an integer."""
    raw = hashlib.blake2b(f"{add_id.origin}/{add_id.sequence}".encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(raw, "big")


def interval_bytes(adds: list[TimedAdd]) -> int:
    """Bytes of the intervals of sequence numbers by origin, as iriswheel sends them."""
    held = counter_state.HeldAdds()
    for each in adds:
        held.add(each.add_id)
    return len(msgspec.msgpack.encode(held.to_intervals()))


def whole_state_bytes(adds: list[TimedAdd]) -> int:
    """Bytes of all adds."""
    return sum(len(msgspec.msgpack.encode(each.add)) for each in adds)


class TreeCost(typing.NamedTuple):
    """The cost of a comparison of two Merkle trees."""

    bytes: int
    rounds: int


def split(digests: set[int], shift: int) -> list[set[int]]:
    """Distribute digests over the FANOUT children of a tree node."""
    children: list[set[int]] = [set() for _ in range(FANOUT)]
    for digest in digests:
        children[digest >> shift & (FANOUT - 1)].add(digest)
    return children


def merkle_cost(first: list[int], second: list[int]) -> TreeCost:
    """The cost of comparing the Merkle trees of two sets of digests, from the root down, level by level."""
    total, rounds = HASH_BYTES, 1
    bits, fan_bits = HASH_BYTES * 8, int(math.log2(FANOUT))
    level = [(set(first), set(second))]
    depth = 0
    while level:
        depth += 1
        rounds += 1
        below = []
        for first_digests, second_digests in level:
            if max(len(first_digests), len(second_digests)) <= LEAF_ADDS:
                total += HASH_BYTES * len(first_digests)
                continue
            total += HASH_BYTES * FANOUT
            children: tuple[list[set[int]], list[set[int]]] = (
                [set() for _ in range(FANOUT)],
                [set() for _ in range(FANOUT)],
            )
            for side, digests in zip(children, (first_digests, second_digests), strict=True):
                for digest in digests:
                    side[digest >> (bits - fan_bits * depth) & (FANOUT - 1)].add(digest)
            below += [pair for pair in zip(*children, strict=True) if pair[0] != pair[1]]
        level = below
    return TreeCost(total, rounds)


def time_bucket_bytes(first: list[TimedAdd], second: list[TimedAdd]) -> int:
    """Bytes of the digests of all time buckets, and of the ids in the buckets that differ."""
    buckets: collections.defaultdict[int, tuple[set[int], set[int]]] = collections.defaultdict(lambda: (set(), set()))
    for index, adds in enumerate((first, second)):
        for each in adds:
            buckets[each.second // BUCKET_S][index].add(digest_of(each.add_id))
    differing = sum(
        len(first_digests) for first_digests, second_digests in buckets.values() if first_digests != second_digests
    )
    return HASH_BYTES * (len(buckets) + differing)


def symbol_indexes(item: int, count: int) -> collections.abc.Iterator[int]:
    """Indexes of a rateless sketch's coded symbols that contain an item: index i has probability 1 / (1 + i / 2)."""
    generator = random.Random(item)
    index = 0
    while index < count:
        yield index
        drawn = generator.random()
        index += max(1, math.ceil((index + 1.5) * (1 / math.sqrt(1 - drawn) - 1)))


def can_decode(items: list[int], count: int) -> bool:
    """Whether peeling recovers all items of a difference from a sketch with the given number of symbols."""
    members: list[set[int]] = [set() for _ in range(count)]
    for item in items:
        for index in symbol_indexes(item, count):
            members[index].add(item)
    decodable = [index for index in range(count) if len(members[index]) == 1]
    found = 0
    while decodable:
        index = decodable.pop()
        if len(members[index]) != 1:
            continue
        (item,) = members[index]
        found += 1
        for other_index in symbol_indexes(item, count):
            members[other_index].discard(item)
            if len(members[other_index]) == 1:
                decodable.append(other_index)
    return found == len(items)


def sketch_bytes(difference: list[int]) -> int:
    """Bytes of the smallest rateless sketch that can be decoded, tried in steps of a twentieth of the difference."""
    count = len(difference)
    while not can_decode(difference, count):
        count += max(1, len(difference) // 20)
    return count * SYMBOL_BYTES


def differing(sides: list[list[TimedAdd]]) -> list[int]:
    """The digests of all adds that only one side holds."""
    return [digest_of(each.add_id) for side in sides for each in side]


def print_cut(cut_s: int, generator: random.Random) -> None:
    """Print the costs of the repair after a partition of the given duration."""
    shared = make_adds(sorted(counter_cluster.MACHINES), range(SHARED_S), RATE, generator)
    seconds = range(SHARED_S, SHARED_S + cut_s)
    sides = [make_adds(names, seconds, RATE // 2, generator) for names in SIDES]
    first, second = shared + sides[0], shared + sides[1]
    tree = merkle_cost(*([digest_of(each.add_id) for each in adds] for adds in (first, second)))
    print(f"cut of {cut_s} s")
    print(f"  accepted by live processes: {simulate_repair(shared, sides, live=True)}")
    print(f"  accepted by earlier ones: {simulate_repair(shared, sides, live=False)}")
    print("  bytes of one pair to find the difference:")
    print(f"  intervals by origin: {interval_bytes(first)}")
    print(f"  Merkle tree: {tree.bytes} in {tree.rounds} rounds")
    print(f"  digests by time: {time_bucket_bytes(first, second)}")
    if len(sides[0]) <= SKETCH_LIMIT:
        print(f"  rateless sketch: {sketch_bytes(differing(sides))}")
    print(f"  whole state: {whole_state_bytes(first)}", flush=True)


def main() -> None:
    """Print a paragraph for each duration of the partition."""
    loguru.logger.remove()
    generator = random.Random(1)
    for cut_s in CUTS_S:
        print_cut(cut_s, generator)


if __name__ == "__main__":
    main()
