"""Why jobs were late: read from the structured logs of a site's VMs."""
