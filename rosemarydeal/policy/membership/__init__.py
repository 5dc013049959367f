"""Membership of the fleet: which processes do work on behalf of others."""
