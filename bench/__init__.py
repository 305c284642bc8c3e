"""Measurements; each program prints a table and writes JSON."""
