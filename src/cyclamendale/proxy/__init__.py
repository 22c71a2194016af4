"""The request path: HTTP from callers, node to node, HTTP to upstreams."""
