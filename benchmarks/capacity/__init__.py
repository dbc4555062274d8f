"""The measurements of docs/CAPACITY.md: how bytes, processor time and memory grow with the size of a fleet.

    python -m benchmarks.capacity lists        memberships and worker lists: bytes, decoding, applying, memory
    python -m benchmarks.capacity tail         periodic work of the tail
    python -m benchmarks.capacity records      session records at one pool owner, up to a million
    python -m benchmarks.capacity selections   selections of workers by a pool owner
    python -m benchmarks.capacity prefixes     shared prompt prefix parts at one pool owner, up to 1.5 million
    python -m benchmarks.capacity routes       routes at a core machine and at a node
    python -m benchmarks.capacity placements   selections of workers by a node, memory and sweeps of its placements
    python -m benchmarks.capacity sockets      one message over a real connection
    python -m benchmarks.capacity fleet        an idle fleet, or one with a hollow load, in the simulated network
    python -m benchmarks.capacity streams      requests and their response streams through nodes that select workers
    python -m benchmarks.capacity exchange     size of load reports that contain only changed rows
    python -m benchmarks.capacity losses       a fleet in which nodes, workers or core machines fail
    python -m benchmarks.capacity target DIR   what the target fleet needs, from results saved in DIR (with --out)

Each measurement prints a table of straight lines: a cost, the size that it grows with, and the slope.
Processor time is given in loops: the thread time of the measured code divided by the thread time of
a fixed loop (`measuring.loop`) that is measured right before it. This makes figures from different
machines comparable. A hollow fleet (`hollow_fleet`) runs real core machines and nodes, and its requests
are only counted where real ones would be, so that nothing is sent to the workers; `streams` alone sends
real requests through it.
"""
