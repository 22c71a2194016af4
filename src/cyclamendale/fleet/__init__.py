"""Nodes that find each other through the store and act together."""
