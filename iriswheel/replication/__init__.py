"""Chain replication of the configuration: log, state, snapshots, sender, receiver, head and tail."""
