"""Errors, ids, clocks and interfaces that all other subpackages use."""
