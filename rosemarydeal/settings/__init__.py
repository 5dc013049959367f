"""Reads, checks and inherits settings."""
