"""Settings, logging and the assembly of one daemon."""
