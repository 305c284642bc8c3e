"""Announcements of backend servers and workers, and their expiry.

`table.MemberTable` is the whole of it for other subpackages, with
`changes.Change` for observers and `usage.UsageReport` for reports.
"""
