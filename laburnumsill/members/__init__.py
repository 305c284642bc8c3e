"""Announcements of backend servers and workers, and their expiry."""
