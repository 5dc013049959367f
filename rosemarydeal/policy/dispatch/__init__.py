"""Decides what runs at the upstream, in which order, and what is turned away."""
