"""Admission, placement, preemption and the life cycle of gangs.

A guaranteed job runs on the cells of its account's guarantee. A borrowing
job, or borrower, runs on capacity that no guaranteed job uses, and may be
preempted when the capacity is reclaimed.
"""
