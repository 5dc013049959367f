"""Decides which upstream owns which keys, for how long, and what moves."""
