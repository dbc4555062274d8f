"""Cluster membership: live nodes, assignments of roles to nodes, leases of nodes, and tables of worker load."""
