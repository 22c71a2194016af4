"""Runs fleets of node processes under planned work and checks promises."""
