"""The lean request path: HTTP in, node to node, HTTP out."""
