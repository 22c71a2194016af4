"""Publishing configuration and spreading it between nodes."""
