"""Stand-ins for what the users' platform runs: workers round an engine's model, and its list of workers."""
