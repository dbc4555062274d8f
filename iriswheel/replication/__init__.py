"""Chain replication of the configuration between core machines: log, state, snapshots, sender, receiver, head, tail."""
