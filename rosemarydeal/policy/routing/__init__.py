"""Choice of the service, and of its upstream, for a request."""
