"""HTTP clients for workers and backend servers."""
