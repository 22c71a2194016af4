"""Adapter for the users' platform: its names, formats and HTTP APIs."""
