"""Fakes, test benches and small fleets that the tests share."""
