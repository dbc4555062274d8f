"""Fleet-wide rate limits of tenants: each tenant's token bucket is kept by one node, its owner."""
