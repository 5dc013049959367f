"""Behaviour tests; `python -m features.run` runs them all."""
