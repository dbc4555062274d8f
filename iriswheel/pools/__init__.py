"""Ownership of pools: the one node that selects a pool's workers, and replicas of its records."""
