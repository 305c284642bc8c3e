"""Fakes that run as processes and the fault-injecting TCP proxy."""
