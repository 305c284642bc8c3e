"""Errors, ids, clocks and interfaces that every other subpackage rests on."""
