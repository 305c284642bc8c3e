"""Stand-ins and a small site for the scripts of the review."""
