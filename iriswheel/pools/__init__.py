"""Pool ownership: one node at a time selects the workers of a pool, and replicates its records to other nodes."""
