"""Decides how often a request is attempted, and how it ends."""
