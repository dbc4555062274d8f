"""The scenarios that the simulator plays against a whole cluster, by kind of fault.

A scenario is a function of a cluster that has begun to serve: it lets time pass and brings about its faults.
`simulation.scenarios.registry` lists all of them by name.
"""
