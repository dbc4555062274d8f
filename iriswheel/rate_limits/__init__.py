"""Rate limits of tenants, which hold over all nodes together: token buckets, each kept by one node."""
