"""HTTP entry for requests of callers and onward calls of the upstream."""
