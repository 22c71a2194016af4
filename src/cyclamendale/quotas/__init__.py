"""Customer quotas: shares, leases, token grants and loans."""
