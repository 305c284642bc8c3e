"""Adapter between the users' platform protocol and the project's own types.

Only this package knows the names of the platform protocol. It translates
messages; it makes no scheduling decisions, keeps no state and never retries.
Where a name on the wire is misleading, the field it is decoded into has a
descriptive name, and a comment gives the reason.

The platform's terms are machine, zone, tenant and executor; the project's are
VM, failure domain, client account and worker (or backend server).
"""
