"""The HTTP request pipeline: a reverse proxy with at-most-once requests.

`router.RequestRouter` passes a request through the pipeline's filters, each
in a module of its own: `classify`, `read_body`, `admit`, `claim`, `dispatch`,
`settle` and `answer`. `at_most_once` runs the filters of at-most-once
requests; `accept` and `durable` handle durable requests. The policies are
load balancing (`choose`), concurrency limits (`limit`), outlier ejection
(`outlier_ejection`) and the retry budget (`retry_budget`).
"""
