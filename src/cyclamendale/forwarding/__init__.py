"""Caller-side forwarding: retries, hedges and outcomes."""
