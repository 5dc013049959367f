"""The demonstration that runs both deployments on loopback."""
