"""The simulator: a virtual network, a simulated cluster with its faults, and the checks over many seeds."""
