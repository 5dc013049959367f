"""Measures the policy code in virtual time with small fakes at its interfaces."""
