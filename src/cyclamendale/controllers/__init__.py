"""Controllers: long-lived state of a node and the I/O that drives it."""
