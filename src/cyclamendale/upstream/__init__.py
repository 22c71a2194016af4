"""Upstream side: the gate and the HTTP client of one upstream."""
