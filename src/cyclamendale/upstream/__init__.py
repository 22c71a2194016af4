"""Upstream side of a node: the gate and the HTTP client."""
