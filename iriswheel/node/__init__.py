"""The node process: its session with a core machine, and the state that it follows."""
