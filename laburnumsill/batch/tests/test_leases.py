from laburnumsill.batch import leases


def test_expiry_is_delayed_while_the_clock_of_a_worker_stands_still():
    """The worker's machine was suspended for five seconds, then answered."""
    lease_book = leases.LeaseBook(10_000, now=100.0)
    lease_book.observe(5_000, received_at=100.0)
    lease_book.granted(14_700)
    lease_book.observe(6_000, received_at=106.0)
    left_s = (14_700 - 6_000) / 1000
    assert lease_book.over_at >= 106.0 + left_s
    assert (
        lease_book.over_at <= 106.0 + left_s / (1 - leases.CLOCK_DRIFT) + 0.001
    )
