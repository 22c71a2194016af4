"""Benchmarks and simulations of decisions and costs; one module each."""
