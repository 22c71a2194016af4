"""Cluster membership and upstream announcements."""
