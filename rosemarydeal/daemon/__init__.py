"""The router process that runs beside each upstream."""
