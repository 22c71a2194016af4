"""Finds causes in the logs of all nodes; reads no node and changes nothing."""
