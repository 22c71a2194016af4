"""Thrift-based protocol between nodes."""
