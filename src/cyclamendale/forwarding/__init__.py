"""Caller-side forwarding of calls: target choice, retries and hedges."""
