"""Measurements of decisions and costs; one module a rig."""
