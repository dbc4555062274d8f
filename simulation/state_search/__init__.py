"""Exhaustive state search of view consensus, chain replication and read leases, up to a given depth."""
