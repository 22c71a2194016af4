"""Publication of the configuration and its distribution between nodes."""
