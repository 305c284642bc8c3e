"""Configuration models, overlay merge and versions; no I/O."""
