"""Jobs of many tasks on one site's workers: ledger, planner, orders.

A job is a number of occurrences, each a directed acyclic graph of steps, each
a number of tasks. A task is run by a worker under a lease; a run that does
not end well is followed by another one. `ledger` is the replicated record of
all that, `planner` decides what runs where, and `scheduler` carries it out on
the VM that leads.
"""
