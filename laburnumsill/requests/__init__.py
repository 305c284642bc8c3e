"""The HTTP request pipeline: a reverse proxy with at-most-once requests.

`router.RequestRouter` passes a request through the pipeline's filters, each
in a module of its own: `classify`, `read_body`, `admit`, `claim`, `dispatch`,
`settle` and `answer`. `at_most_once` runs the filters of at-most-once
requests; `accept` and `durable_dispatch` handle durable requests. The
policies are load balancing (`load_balancing`), concurrency limits
(`concurrency_limits`), outlier ejection (`outlier_ejection`) and the retry
budget (`retry_budget`).
"""
