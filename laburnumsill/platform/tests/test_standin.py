"""What stands in for the platform's executors behaves as they do."""

from laburnumsill.platform.tests import standin


async def gone():
    """Receives that the caller has gone."""
    return {"type": "http.disconnect"}


async def test_a_caller_that_goes_away_ends_its_call_quietly():
    sent = []

    async def send(message):
        sent.append(message)

    app = standin.ExecutorApp(worker=None)
    scope = {"type": "http", "method": "POST", "path": "/-/hold"}
    await app({**scope, "headers": []}, gone, send)
    assert not sent
    assert not app.calls
