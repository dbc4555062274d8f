"""Cluster membership: live nodes, role assignments, leases."""
