"""Interfaces to the platform's table and object store."""
