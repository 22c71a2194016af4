"""Overload control: limits, queueing, shedding and load balancing."""
