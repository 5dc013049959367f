"""Ownership of keys by upstreams: assignment, leases and transfers."""
