"""The search of all interleavings of the view agreement, the chain and its leases, up to a stated depth."""
