"""Configuration models, loading from TOML, overlays and differences."""
