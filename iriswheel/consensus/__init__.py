"""Consensus of the core machines on the view: which machines vote, and the order of the replicas in the chain."""
