"""A router for servers that own their keys exclusively."""
