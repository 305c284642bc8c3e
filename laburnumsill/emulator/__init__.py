"""An emulated site: workers, jobs and troubles in virtual time.

The real scheduler, ledger and sessions run against emulated workers that
keep leases, fences, gangs and ends the way the users' workers do, with orders
lost, late and repeated. Hundreds of seeds run in seconds; `oracle` checks
what must always hold from what the workers see.
"""
