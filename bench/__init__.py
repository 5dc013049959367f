"""Benchmarks of the policies in virtual time, and of whole processes."""
