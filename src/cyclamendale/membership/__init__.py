"""Gossip-based cluster membership and upstream announcements."""
