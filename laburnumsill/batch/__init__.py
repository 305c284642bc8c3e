"""Scheduling of batch jobs on the workers of one site.

A job has one or more occurrences, each a directed acyclic graph of steps, and
a step has one or more tasks. A worker runs a task under a lease; a run that
fails or is stopped is followed by another run. `ledger` is the replicated state
of jobs, runs and workers, `planner` decides which worker runs which task, and
`scheduler` executes the plans on the leader.
"""
