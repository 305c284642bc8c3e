from laburnumsill.batch import leases


def test_a_lease_lasts_longer_on_a_worker_whose_clock_stood_still():
    """Its machine was suspended for five seconds and has answered since."""
    book = leases.LeaseBook(10_000, now=100.0)
    book.observe(5_000, received_at=100.0)
    book.granted(14_700)
    book.observe(6_000, received_at=106.0)
    left_s = (14_700 - 6_000) / 1000
    assert book.over_at >= 106.0 + left_s
    assert book.over_at <= 106.0 + left_s / (1 - leases.CLOCK_DRIFT) + 0.001
