from laburnumsill.batch import leases


def test_expiry_is_delayed_while_the_clock_of_a_worker_stands_still():
    """The worker's machine was suspended for five seconds, then answered."""
    tracker = leases.LeaseTracker(10_000, now=100.0)
    tracker.observe_clock(5_000, received_at=100.0)
    tracker.record_grant(14_700)
    tracker.observe_clock(6_000, received_at=106.0)
    left_s = (14_700 - 6_000) / 1000
    assert tracker.expires_at >= 106.0 + left_s
    assert (
        tracker.expires_at <= 106.0 + left_s / (1 - leases.CLOCK_DRIFT) + 0.001
    )
