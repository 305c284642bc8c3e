"""Explains from the logs of a site's VMs why its jobs were late."""
