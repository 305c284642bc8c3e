"""The two replicated state machines, root and domain; no I/O."""
