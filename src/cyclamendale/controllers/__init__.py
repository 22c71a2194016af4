"""Controllers: long-lived state and the I/O that drives it."""
