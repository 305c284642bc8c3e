"""An emulated site: workers, jobs and injected faults in virtual time.

The real scheduler, ledger and worker sessions run against emulated workers.
These implement leases, fencing, gangs and lists of ended runs as the users'
workers do, and their orders may be lost, delayed or repeated. Hundreds of
seeds run in seconds. `oracle` checks the invariants against the events on the
workers and the states that callers see.
"""
