"""The HTTP interface for callers, operators and members."""
