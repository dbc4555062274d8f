"""Benchmarks on real processes and on the simulator; each is a command that prints its results."""
