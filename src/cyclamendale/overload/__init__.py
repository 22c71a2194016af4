"""Overload decisions: limits, queueing, shedding and balancing."""
