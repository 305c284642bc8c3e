"""The adapter to the users' platform: their wire in, our types out.

Only this folder knows the platform's names. It translates: no decision, no
state and no retry is made here. Where a name on the wire misleads, the field
that it is decoded into says what it holds, and a comment says why.

The platform's words are machine, zone, tenant and executor; the project's are
VM, failure domain, client account and worker (or backend server).
"""
