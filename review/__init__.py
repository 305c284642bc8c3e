"""Cases of the review."""
