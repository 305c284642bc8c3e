"""The HTTP request pipeline: a reverse proxy with at-most-once requests.

`router.RequestRouter` passes a request through the pipeline's filters, each
in a module of its own: `classify`, `read`, `admit`, `claim`, `dispatch`,
`settle` and `answer`. `once` runs the filters of at-most-once requests;
`accept` and `durable` handle durable requests. The policies are load
balancing (`choose`), concurrency limits (`limit`), outlier ejection
(`health`) and the retry budget (`budget`).
"""
