"""Measurements of the policy code and the data path."""
