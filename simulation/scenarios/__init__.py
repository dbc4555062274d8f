"""The scenarios that the simulator plays against a whole cluster; each module holds those of one kind of fault.

A scenario is a function that takes a serving cluster, advances the simulated time and injects faults.
`simulation.scenarios.registry` lists all scenarios by name.
"""
