"""The node process: its session with a core machine, its replica of the fleet's state, and its start and stop."""
