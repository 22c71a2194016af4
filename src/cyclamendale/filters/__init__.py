"""Filters that each request passes before it is forwarded."""
