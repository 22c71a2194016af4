"""Thrift protocol between nodes."""
