"""Interfaces and clients of the platform's table and object store."""
