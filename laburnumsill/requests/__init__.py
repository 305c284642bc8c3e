"""The request pipeline and the policies behind it.

`router.RequestRouter` takes a request through the filters, one a module:
`read`, `classify`, `admit`, `claim`, `choose`, `dispatch`, `settle`,
`answer`. `once` joins those of requests that run once only, `accept` and
`durable` are for durable ones. `choose`, `limit`, `health` and `budget` hold
the policies.
"""
