"""Thrift messages between processes, and their encoding and framing."""
