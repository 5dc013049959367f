"""Retries and outcomes of callers' requests."""
