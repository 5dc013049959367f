"""In-process stand-ins for the platform and the upstreams, for tests and demos."""
