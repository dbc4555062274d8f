"""The slopes of docs/CAPACITY.md: state, messages, processor time and memory, by what they grow with.

    python -m benchmarks.capacity lists        memberships and worker lists: bytes, reading, taking, memory
    python -m benchmarks.capacity tail         what a tail does over and over
    python -m benchmarks.capacity records      sessions in one holder, to a million
    python -m benchmarks.capacity selections     selections at a pool owner
    python -m benchmarks.capacity prefixes     shared prefix parts, to 1.5 million
    python -m benchmarks.capacity routes       routes at the core and at a node
    python -m benchmarks.capacity placements     selections at a node, what its placement holds, its upkeep
    python -m benchmarks.capacity sockets      what a message costs over a real connection
    python -m benchmarks.capacity fleet        hollow nodes and workers over the simulated network
    python -m benchmarks.capacity streams      requests and their streams through nodes that elect
    python -m benchmarks.capacity exchange    how much a load request by change has to tell
    python -m benchmarks.capacity losses       the same, while members come and go
    python -m benchmarks.capacity target DIR   the users' target, by the values that the runs left there (--out)

Processor time is real time of this thread's own work over that of a stated loop (`loop`),
measured right before it, so that figures of different machines can be set side by side.
"""
