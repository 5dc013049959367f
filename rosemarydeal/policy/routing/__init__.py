"""Decides which service, and which upstream of it, a request goes to."""
