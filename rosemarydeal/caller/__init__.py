"""The client library for callers."""
