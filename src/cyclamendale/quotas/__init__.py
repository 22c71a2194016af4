"""Quota decisions: shares, leases, draws and borrowing."""
