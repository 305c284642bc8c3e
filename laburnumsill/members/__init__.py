"""Registration and failure detection of backend servers and workers.

Other subpackages use `table.MemberTable`, the `changes.Change` that its
observers receive, and `usage.UsageReport`.
"""
