"""Measurements on real processes and on the simulator, each a command."""
