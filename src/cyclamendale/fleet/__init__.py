"""A fleet node: discovery, reports between nodes, configuration, routing."""
