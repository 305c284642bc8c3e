"""Admission, planning, reclaim and the life cycle of gangs."""
